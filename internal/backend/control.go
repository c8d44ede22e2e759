package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// cancelStream tells a model engine to stop a run. Its outcome does not
// matter: a run that goes on is never read again.
func (c *Client) cancelStream(s core.StopAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	u := fmt.Sprintf("http://%s/v1/streams/%s/%d",
		s.Backend.Address, url.PathEscape(string(streamOf(s.Request, s.Stream))), s.Attempt)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, u, nil)
	if err != nil {
		return
	}
	if resp, err := c.http.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// exportRequest is the body of POST /v1/kv/export.
type exportRequest struct {
	RequestID entity.RequestID     `json:"request_id"`
	Attempt   entity.AttemptNumber `json:"attempt"`
}

// exportReply is its reply.
type exportReply struct {
	Handle string `json:"kv_handle"`
}

// Export asks a model engine to export the KV cache of a run and reports the
// handle, or none.
func (c *Client) Export(e core.Export) {
	c.wg.Go(func() {
		handle, _ := c.export(e)
		c.report(core.Exported{Request: e.Request, Attempt: e.Attempt, Handle: handle})
	})
}

// export makes the call of Export.
func (c *Client) export(e core.Export) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	body, err := json.Marshal(exportRequest{RequestID: streamOf(e.Request, e.Stream), Attempt: e.Attempt})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Backend.Address+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("export answered %d", resp.StatusCode)
	}
	var reply exportReply
	err = json.NewDecoder(resp.Body).Decode(&reply)
	return reply.Handle, err
}
