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
	// maxEventBytes is the largest accepted line of an event stream.
	maxEventBytes = 64 << 10
)

var (
	eventDataPrefix = []byte("data:")
	streamEndMarker = []byte("[DONE]")
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

// chunk is the data of one event of a completion stream.
type chunk struct {
	ID      entity.RequestID     `json:"id"`
	Attempt entity.AttemptNumber `json:"attempt"`
	Choices []choice             `json:"choices"`
	Usage   *core.Usage          `json:"usage"`
}

// choice is the only choice of a chunk: a token, or the end of the answer.
type choice struct {
	Text         string  `json:"text"`
	TokenIndex   int     `json:"token_index"`   // position of the token in the answer, from 1
	FinishReason *string `json:"finish_reason"` // nil except in the last chunk
}

// runCompletion starts or resumes a completion on a model engine, reads its stream
// and returns the event that ends the attempt.
func (c *Client) runCompletion(ctx context.Context, d *core.Dispatch) core.Input {
	resp, failure := c.sendOnce(ctx, d, buildCompletionRequest)
	if failure != nil {
		return *failure
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return statusFailure(d, resp)
	}
	return c.readStream(d, resp.Body)
}

// streamID returns the request ID under which the model engine knows the stream of
// a dispatch.
func streamID(d *core.Dispatch) entity.RequestID { return resolveStreamID(d.Request, d.Stream) }

// resolveStreamID returns the ID of the request that started a stream: stream, or
// request if stream is empty.
func resolveStreamID(request, stream entity.RequestID) entity.RequestID {
	if stream != "" {
		return stream
	}
	return request
}

// buildCompletionRequest builds the HTTP request that starts or resumes a completion.
func buildCompletionRequest(ctx context.Context, d *core.Dispatch) (*http.Request, error) {
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

// resumeURL returns the URL of an attempt's stream, starting after the tokens that
// are already known.
func resumeURL(d *core.Dispatch) string {
	return fmt.Sprintf("http://%s/v1/streams/%s/%d?after=%d",
		d.Backend.Address, url.PathEscape(string(streamID(d))), d.Attempt, len(d.Prefix))
}

// emptyBody is a request body without content. If there is no body at all, Go's
// transport may send a request with a safe method a second time.
type emptyBody struct{}

// Read implements io.Reader.
func (*emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// hasForeignIDs reports whether the request ID or attempt number in a response's
// headers differs from the one that was sent.
func hasForeignIDs(d *core.Dispatch, resp *http.Response) bool {
	id, n := resp.Header.Get(headerRequest), resp.Header.Get(headerAttempt)
	if id != "" && id != string(streamID(d)) {
		return true
	}
	return n != "" && n != strconv.Itoa(int(d.Attempt))
}

// readStream reads and reports token events up to the final event and returns the
// event that ends the attempt. A stream without a final event is a failure.
func (c *Client) readStream(d *core.Dispatch, body io.Reader) core.Input {
	var last *chunk
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.HasPrefix(line, eventDataPrefix) {
			continue
		}
		data := bytes.TrimSpace(line[len(eventDataPrefix):])
		if bytes.Equal(data, streamEndMarker) {
			return completedStream(d, last)
		}
		ch, err := parseChunk(data)
		if err != nil {
			return invalidReply(d, err.Error())
		}
		if ch.ID != streamID(d) || ch.Attempt != d.Attempt {
			return invalidReply(d, "an event belongs to another request")
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
	f := invalidReply(d, truncationError(scanner.Err()).Error())
	f.BackendDied = d.Resume && backendProcessGone(d, io.ErrUnexpectedEOF)
	return f
}

// truncationError returns why a stream ended before its final event; err is the
// read error, or nil at the end of the response.
func truncationError(err error) error {
	if err == nil {
		return errors.New("the stream ended before its final event")
	}
	return fmt.Errorf("the stream broke: %w", err)
}

// parseChunk decodes the data of one event of a completion stream.
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

// completedStream returns the event for a stream that was read to its end. last is
// the chunk with the finish reason, or nil if there was none.
func completedStream(d *core.Dispatch, last *chunk) core.Input {
	if last == nil {
		return invalidReply(d, "the stream has no finish reason")
	}
	a := core.Answer{FinishReason: *last.Choices[0].FinishReason}
	if last.Usage != nil {
		a.Usage = *last.Usage
	}
	return core.AttemptDone{Request: d.Request, Attempt: d.Attempt, Answer: a}
}
