package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	headerRequest = "X-Request-Id"
	headerAttempt = "X-Attempt"
	// maxEvent bounds one server-sent event in bytes.
	maxEvent = 64 << 10
)

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// completionRequest is the body of POST /v1/completions.
type completionRequest struct {
	Model     string               `json:"model,omitempty"`
	Prompt    string               `json:"prompt"`
	MaxTokens int                  `json:"max_tokens"`
	Seed      uint64               `json:"seed,omitempty"`
	Stream    bool                 `json:"stream"`
	Priority  entity.Priority      `json:"priority"`
	RequestID entity.RequestID     `json:"request_id"`
	Attempt   entity.AttemptNumber `json:"attempt"`
	Prefix    []string             `json:"prefix,omitempty"`
	KVHandle  string               `json:"kv_handle,omitempty"`
}

// chunk is one event of a completion stream.
type chunk struct {
	ID      entity.RequestID     `json:"id"`
	Attempt entity.AttemptNumber `json:"attempt"`
	Choices []choice             `json:"choices"`
	Usage   *core.Usage          `json:"usage"`
}

// choice is the one choice of a chunk.
type choice struct {
	Text         string  `json:"text"`
	TokenIndex   int     `json:"token_index"`
	FinishReason *string `json:"finish_reason"`
}

// runCompletion sends or resumes a completion and reads its stream.
func (c *Client) runCompletion(ctx context.Context, d *core.Dispatch) core.Input {
	resp, failure := c.send(ctx, d, completionCall)
	if failure != nil {
		return *failure
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return badStatus(d, resp)
	}
	return c.readStream(d, resp.Body)
}

// streamID returns the name of the stream on the engine.
func streamID(d *core.Dispatch) entity.RequestID { return streamOf(d.Request, d.Stream) }

// streamOf returns the request that started a stream.
func streamOf(request, stream entity.RequestID) entity.RequestID {
	if stream != "" {
		return stream
	}
	return request
}

// completionCall builds the HTTP request.
func completionCall(ctx context.Context, d *core.Dispatch) (*http.Request, error) {
	if d.Resume {
		return http.NewRequestWithContext(ctx, http.MethodGet, resumeURL(d), &emptyBody{})
	}
	w := d.Work.Completion
	body, err := json.Marshal(completionRequest{
		Model: w.Model, Prompt: w.Prompt, MaxTokens: w.MaxTokens, Seed: w.Seed, Stream: true,
		Priority: d.Work.Priority, RequestID: d.Request, Attempt: d.Attempt,
		Prefix: d.Prefix, KVHandle: d.KVHandle,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Backend.Address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // without it, the transport cannot send the body again
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerRequest, string(d.Request))
	req.Header.Set(headerAttempt, strconv.Itoa(int(d.Attempt)))
	return req, nil
}

// resumeURL names the stream of an attempt from its first unknown token on.
func resumeURL(d *core.Dispatch) string {
	return fmt.Sprintf("http://%s/v1/streams/%s/%d?after=%d",
		d.Backend.Address, url.PathEscape(string(streamID(d))), d.Attempt, len(d.Prefix))
}

// emptyBody is a body without content. Unlike no body at all, it keeps the
// transport from sending a request with a safe method a second time.
type emptyBody struct{}

// Read is for io.Reader.
func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// crossed reports whether a response echoes other ids than were sent.
func crossed(d *core.Dispatch, resp *http.Response) bool {
	id, n := resp.Header.Get(headerRequest), resp.Header.Get(headerAttempt)
	if id != "" && id != string(streamID(d)) {
		return true
	}
	return n != "" && n != strconv.Itoa(int(d.Attempt))
}

// readStream reads events up to the final one. A stream that ends before is
// truncated.
func (c *Client) readStream(d *core.Dispatch, body io.Reader) core.Input {
	var last *chunk
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEvent)
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		data := bytes.TrimSpace(line[len(dataPrefix):])
		if bytes.Equal(data, doneData) {
			return streamEnd(d, last)
		}
		ch, err := parseChunk(data)
		if err != nil {
			return unsound(d, err.Error())
		}
		if ch.ID != streamID(d) || ch.Attempt != d.Attempt {
			return unsound(d, "an event belongs to another request")
		}
		if ch.Choices[0].FinishReason != nil {
			last = ch
			continue
		}
		c.report(core.AttemptTokens{
			Request: d.Request, Attempt: d.Attempt,
			First: ch.Choices[0].TokenIndex, Tokens: []string{ch.Choices[0].Text},
		})
	}
	f := unsound(d, truncation(scanner.Err()).Error())
	f.BackendDied = d.Resume && died(d, io.ErrUnexpectedEOF)
	return f
}

// truncation names why a stream ended early.
func truncation(err error) error {
	if err == nil {
		return errors.New("the stream ended before its final event")
	}
	return fmt.Errorf("the stream broke: %w", err)
}

// parseChunk decodes one event.
func parseChunk(data []byte) (*chunk, error) {
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return nil, fmt.Errorf("malformed event: %w", err)
	}
	if len(ch.Choices) != 1 {
		return nil, fmt.Errorf("event with %d choices", len(ch.Choices))
	}
	return &ch, nil
}

// streamEnd builds the event of a whole stream.
func streamEnd(d *core.Dispatch, last *chunk) core.Input {
	if last == nil {
		return unsound(d, "the stream has no finish reason")
	}
	a := core.Answer{FinishReason: *last.Choices[0].FinishReason}
	if last.Usage != nil {
		a.Usage = *last.Usage
	}
	return core.AttemptDone{Request: d.Request, Attempt: d.Attempt, Answer: a}
}
