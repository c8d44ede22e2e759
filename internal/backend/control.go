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

// cancelStream requests that a model engine stop a run. It ignores errors: if the
// run continues, its output is not read.
func (c *Client) cancelStream(s core.StopAttempt) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	u := fmt.Sprintf("http://%s/v1/streams/%s/%d",
		s.Backend.Address, url.PathEscape(string(resolveStreamID(s.Request, s.Stream))), s.Attempt)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, u, nil)
	if err != nil {
		return
	}
	if resp, err := c.pooledHTTP.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// exportRequest is the body of POST /v1/kv/export.
type exportRequest struct {
	RequestID entity.RequestID     `json:"request_id"`
	Attempt   entity.AttemptNumber `json:"attempt"`
}

// exportReply is the body of the reply to POST /v1/kv/export.
type exportReply struct {
	Handle string `json:"kv_handle"`
}

// ExportKVCache requests that a model engine export the KV cache of a run, and reports the
// handle of the export, or an empty one if the export failed. It does not wait.
func (c *Client) ExportKVCache(e core.Export) {
	c.wg.Go(func() {
		handle, _ := c.requestKVExport(e)
		c.report(core.ExportResult{Request: e.Request, Attempt: e.Attempt, Handle: handle})
	})
}

// requestKVExport sends the export request and returns the handle from the reply.
func (c *Client) requestKVExport(e core.Export) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	body, err := json.Marshal(exportRequest{RequestID: resolveStreamID(e.Request, e.Stream), Attempt: e.Attempt})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Backend.Address+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.GetBody = nil
	resp, err := c.pooledHTTP.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("KV cache export answered status %d", resp.StatusCode)
	}
	var reply exportReply
	err = json.NewDecoder(resp.Body).Decode(&reply)
	return reply.Handle, err
}
