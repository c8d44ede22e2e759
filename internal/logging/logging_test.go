package logging

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

func newLog(t *testing.T, level string) (*Log, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	l, err := New(&out, Options{Level: level, Format: "json", Process: "p", DataCentre: "a"})
	if err != nil {
		t.Fatal(err)
	}
	return l, &out
}

func TestLog_EventHasNumberAndFields(t *testing.T) {
	l, out := newLog(t, "info")
	l.Event(time.Unix(1_700_000_000, 0), event.Event{Number: event.RequestAccepted, Request: "r1", Attempt: 2})
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	for field, want := range map[string]any{
		"number": 1000.0, "request": "r1", "attempt": 2.0, "process": "p", "level": "info", "msg": "request accepted",
	} {
		if line[field] != want {
			t.Errorf("field %s is %v, want %v", field, line[field], want)
		}
	}
}

func TestLog_LevelLeavesOutDebug(t *testing.T) {
	l, out := newLog(t, "info")
	l.Event(time.Now(), event.Event{Number: event.AttemptDispatched})
	if out.Len() > 0 {
		t.Fatal(out.String())
	}
}

func TestLog_FloodIsBoundedAndCounted(t *testing.T) {
	l, out := newLog(t, "info")
	now := time.Unix(1_700_000_000, 0)
	for range 10_000 {
		l.Event(now, event.Event{Number: event.RequestRefused})
	}
	if n := strings.Count(out.String(), "\n"); n != Burst {
		t.Fatalf("%d lines written at once, want %d", n, Burst)
	}
	l.Event(now, event.Event{Number: event.RequestAccepted})
	if n := strings.Count(out.String(), "\n"); n != Burst+1 {
		t.Fatal("the rate limit of one event number suppressed a line of another")
	}
	out.Reset()
	l.Event(now.Add(time.Second), event.Event{Number: event.RequestRefused})
	if !strings.Contains(out.String(), `"suppressed":9900`) {
		t.Fatal(out.String())
	}
}

func TestNew_RefusesUnknownLevel(t *testing.T) {
	if _, err := New(&bytes.Buffer{}, Options{Level: "loud"}); err == nil {
		t.Fatal("accepted")
	}
}

// BenchmarkLog_RequestLine logs the event that a gateway logs for each request. The
// events are apart by the duration given for each case: in "flood" most exceed the
// rate limit and are only counted, in "within_budget" all are written.
func BenchmarkLog_RequestLine(b *testing.B) {
	for name, interval := range map[string]time.Duration{"flood": time.Microsecond, "within_budget": 10 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			l, err := New(NewAsync(io.Discard), Options{Level: "info", Format: "json", Process: "p", DataCentre: "a"})
			if err != nil {
				b.Fatal(err)
			}
			now := time.Unix(1_700_000_000, 0)
			attrs := []event.Attr{
				event.A("status", 200), event.A("ms", int64(120)), event.A("tried", "i-0123456789 answered 119.9ms "),
				event.A("left_ms", int64(3000)), event.A("route", "r-0123456"), event.A("service", "app"),
				event.A("organisation", "org"), event.A("version", uint64(7)), event.A("version_age_ms", int64(900)),
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(interval)
				l.Event(now, event.Event{Number: event.ExchangeAnswered, Request: "8729554c3a80a99b", Attrs: attrs})
			}
		})
	}
}
