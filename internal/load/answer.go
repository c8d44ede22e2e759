package load

import (
	"bufio"
	"encoding/json"
	"io"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/standin"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const maxEventLineBytes = 1 << 20

type completeAnswer struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

type tokenData struct {
	Text string `json:"text"`
}

type movedData struct {
	Address string `json:"address"`
	Request string `json:"request"`
}

// requestIDFromPath returns the request ID of a path /v1/requests/{id}.
func requestIDFromPath(urlPath string) (string, bool) {
	dir, id := path.Split(urlPath)
	return id, dir == "/v1/requests/" && id != ""
}

// readCompleteAnswer reads an answer that is not a stream.
func (e *execution) readCompleteAnswer(body io.Reader) result {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return result{kind: resultInterrupted}
	}
	if e.cfg.PlainPath != "" {
		var a standin.PlainResponse
		if json.Unmarshal(data, &a) != nil {
			return result{kind: resultInterrupted}
		}
		e.answer = a.Body + a.Variant
		return result{kind: resultComplete}
	}
	var a completeAnswer
	if json.Unmarshal(data, &a) != nil {
		return result{kind: resultInterrupted}
	}
	if a.ID != "" && a.ID != e.requestID {
		e.recordViolation(ForeignReply, "answer of request "+a.ID)
	}
	e.answer = a.Text
	return result{kind: resultComplete}
}

// sseEvent is one server-sent event.
type sseEvent struct {
	name string
	id   string
	data string
}

// readStream reads server-sent events until the final one or the end of the
// stream.
func (e *execution) readStream(body io.Reader) result {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLineBytes)
	var ev sseEvent
	for lines.Scan() {
		line := lines.Text()
		if line != "" {
			ev.addLine(line)
			continue
		}
		if final, r := e.handleEvent(ev); final {
			return r
		}
		ev = sseEvent{}
	}
	return result{kind: resultInterrupted}
}

func (ev *sseEvent) addLine(line string) {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "event":
		ev.name = value
	case "id":
		ev.id = value
	case "data":
		ev.data += value
	}
}

// handleEvent processes one event and reports whether it is the last one of
// this HTTP response, and if so with which result.
func (e *execution) handleEvent(ev sseEvent) (bool, result) {
	switch ev.name {
	case "token":
		e.handleToken(ev)
		return false, result{}
	case "done":
		e.answer = e.streamedText.String()
		return true, result{kind: resultComplete}
	case "moved":
		var m movedData
		if json.Unmarshal([]byte(ev.data), &m) != nil {
			return true, result{kind: resultInterrupted}
		}
		if m.Request != "" && m.Request != e.requestID {
			e.recordViolation(ForeignReply, "moved event of request "+m.Request)
		}
		return true, result{kind: resultMoved, address: m.Address}
	case "error":
		var body errorReply
		_ = json.Unmarshal([]byte(ev.data), &body)
		return true, result{
			kind: resultError, code: body.Error.Code,
			verdict: verdict.Parse(body.Error.Verdict), requestID: e.requestID,
		}
	default:
		return false, result{}
	}
}

// handleToken appends one token to the text. Its index, the number at the start
// of the event ID, must be one more than that of the previous token.
func (e *execution) handleToken(ev sseEvent) {
	var t tokenData
	if json.Unmarshal([]byte(ev.data), &t) != nil {
		e.recordViolation(MissingToken, "malformed token event")
		return
	}
	number, _, _ := strings.Cut(ev.id, "-")
	index, err := strconv.Atoi(number)
	switch {
	case err != nil:
		e.recordViolation(MissingToken, "token without an index")
		return
	case index <= e.lastTokenIndex:
		e.recordViolation(DuplicateToken, "token "+ev.id+" came again")
		return
	case index > e.lastTokenIndex+1:
		e.recordViolation(MissingToken, "token "+ev.id+" follows "+strconv.Itoa(e.lastTokenIndex))
	}
	e.lastTokenIndex = index
	e.lastEventID = ev.id
	e.streamedText.WriteString(t.Text)
	e.recordTokenTime(time.Now())
}
