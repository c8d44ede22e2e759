package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// attempt is one client attempt and what became of it.
type attempt struct {
	id        string
	to        string // address of the daemon
	sent      time.Time
	answered  time.Time
	status    int
	signature string
	events    []int    // IDs of the events that came
	versions  []string // of the workers that wrote them
	whole     bool     // the answer came to its end
	leaving   bool     // the answer says that its worker leaves
	err       error
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s to %s: status %d, %d events, whole %v, %v", a.id, a.to, a.status, len(a.events), a.whole, a.err)
}

// request describes what a client asks for.
type request struct {
	method, path string
	key          string
	deadline     time.Duration
	tokens       string // Token-Count
	prefix       string // Prompt-Prefix
	after        int    // Last-Event-Id
	resumes      string
	gap          time.Duration // a stream is abandoned after such a gap; 0: never
}

const host = "h.example"

// send sends a request on a new connection and reads the answer.
func send(to string, q request) *attempt {
	a := &attempt{id: newID(), to: to, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+to+q.path, strings.NewReader(body(q.method)))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	h := r.Header
	h["Attempt-Id"] = []string{a.id}
	h["X-Api-Key"] = []string{q.key}
	h["Request-Deadline-Ms"] = []string{strconv.FormatInt(q.deadline.Milliseconds(), 10)}
	if q.tokens != "" {
		h["Token-Count"], h["Model"], h["Prompt-Prefix"] = []string{q.tokens}, []string{"m"}, []string{q.prefix}
	}
	if q.after > 0 {
		h["Last-Event-Id"] = []string{strconv.Itoa(q.after)}
		h["Resumes"] = []string{q.resumes}
	}
	resp, err := transport.RoundTrip(r)
	a.answered = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
	a.leaving = resp.Header.Get("Server-Leaving") != ""
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(resp.Body, q.gap, cancel)
		return a
	}
	_, a.err = io.ReadAll(resp.Body)
	a.whole = a.err == nil
	a.answered = time.Now()
	return a
}

func body(method string) string {
	if method == http.MethodGet {
		return ""
	}
	return "{}"
}

// readEvents reads the events of a stream until it ends or pauses for too long.
func (a *attempt) readEvents(body io.Reader, gap time.Duration, cancel func()) {
	lines := bufio.NewScanner(body)
	var timer *time.Timer
	if gap > 0 {
		timer = time.AfterFunc(gap, cancel)
		defer timer.Stop()
	}
	id, version := 0, ""
	for lines.Scan() {
		text := lines.Text()
		switch {
		case strings.HasPrefix(text, "id: "):
			id, _ = strconv.Atoi(text[4:])
		case strings.HasPrefix(text, "data: "):
			version, _, _ = strings.Cut(text[6:], " ")
		case text == "" && id > 0:
			a.events, a.versions = append(a.events, id), append(a.versions, version)
			id = 0
			if timer != nil {
				timer.Reset(gap)
			}
		}
	}
	a.err = lines.Err()
	a.whole = a.err == nil
	a.answered = time.Now()
}

// last returns the ID of the last event that came.
func (a *attempt) last() int {
	if len(a.events) == 0 {
		return 0
	}
	return a.events[len(a.events)-1]
}

func getStatus(address, path string) (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// configuration returns the operator's configuration. The quota is far above what clients ask.
func configuration(version int, scale string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"order","host":%[2]q,"prefix":"/order/","kind":"non_idempotent","timeoutMs":2500,"sloMs":150,"priority":2,"service":"app","attempts":1},
{"name":"read","host":%[2]q,"prefix":"/read/","kind":"idempotent","timeoutMs":2500,"sloMs":150,"priority":2,"service":"app","attempts":2},
{"name":"talk","host":%[2]q,"prefix":"/talk/","kind":"streaming","timeoutMs":15000,"sloMs":1000,"priority":1,"service":"pool","attempts":2,"sticky":true,"canResume":true,"gapAimMs":250}],
"services":[{"name":"app","healthPath":"/healthz","maxConns":400},
{"name":"pool","healthPath":"/healthz","maxConns":400,"engine":{"slots":64,"kvTokens":600000,"kvBytes":18432,"linkMbps":370000,"stride":5,"moves":true,"backups":true,"handleS":4}%[3]s}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerMs":3000,"idleMs":15000},
"tenants":[{"name":"org","apiKeys":["k1"],"priority":1,"unit":"token_stream","plainTokens":200,"ratePerS":50000000,"burst":50000000}]}`,
		version, host, scale)
}
