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

const maxEventSize = 1 << 20

type wholeAnswer struct {
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

// requestIn returns the id at the end of /v1/requests/{id}.
func requestIn(p string) (string, bool) {
	dir, id := path.Split(p)
	return id, dir == "/v1/requests/" && id != ""
}

// readWhole reads an answer that is not a stream.
func (e *execution) readWhole(body io.Reader) result {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerSize))
	if err != nil {
		return result{kind: resultBroken}
	}
	if e.cfg.Plain != "" {
		var a standin.PlainAnswer
		if json.Unmarshal(data, &a) != nil {
			return result{kind: resultBroken}
		}
		e.answer = a.Body + a.Variant
		return result{kind: resultWhole}
	}
	var a wholeAnswer
	if json.Unmarshal(data, &a) != nil {
		return result{kind: resultBroken}
	}
	if a.ID != "" && a.ID != e.request {
		e.violate(Crossed, "answer of request "+a.ID)
	}
	e.answer = a.Text
	return result{kind: resultWhole}
}

// sseEvent is one server-sent event.
type sseEvent struct {
	name string
	id   string
	data string
}

// readStream reads events until the stream ends.
func (e *execution) readStream(body io.Reader) result {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventSize)
	var ev sseEvent
	for lines.Scan() {
		line := lines.Text()
		if line != "" {
			ev.add(line)
			continue
		}
		if final, r := e.event(ev); final {
			return r
		}
		ev = sseEvent{}
	}
	return result{kind: resultBroken}
}

func (ev *sseEvent) add(line string) {
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

// event takes one event and says whether it is the exchange's last.
func (e *execution) event(ev sseEvent) (bool, result) {
	switch ev.name {
	case "token":
		e.token(ev)
		return false, result{}
	case "done":
		e.answer = e.text.String()
		return true, result{kind: resultWhole}
	case "moved":
		var m movedData
		if json.Unmarshal([]byte(ev.data), &m) != nil {
			return true, result{kind: resultBroken}
		}
		if m.Request != "" && m.Request != e.request {
			e.violate(Crossed, "moved event of request "+m.Request)
		}
		return true, result{kind: resultMoved, address: m.Address}
	case "error":
		var body errorReply
		_ = json.Unmarshal([]byte(ev.data), &body)
		return true, result{
			kind: resultError, code: body.Error.Code,
			verdict: verdict.Parse(body.Error.Verdict), request: e.request,
		}
	default:
		return false, result{}
	}
}

// token takes one token; its id must follow the last one's.
func (e *execution) token(ev sseEvent) {
	var t tokenData
	if json.Unmarshal([]byte(ev.data), &t) != nil {
		e.violate(Gap, "malformed token event")
		return
	}
	number, _, _ := strings.Cut(ev.id, "-")
	index, err := strconv.Atoi(number)
	switch {
	case err != nil:
		e.violate(Gap, "token without an index")
		return
	case index <= e.index:
		e.violate(Doubled, "token "+ev.id+" came again")
		return
	case index > e.index+1:
		e.violate(Gap, "token "+ev.id+" follows "+strconv.Itoa(e.index))
	}
	e.index = index
	e.lastID = ev.id
	e.text.WriteString(t.Text)
	e.timeToken(time.Now())
}
