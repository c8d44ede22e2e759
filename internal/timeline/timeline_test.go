package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

var start = time.Unix(1_700_000_000, 0)

// TestMerge_AgreesWithCause sends messages between processes whose clocks are up to
// a second fast or slow. In the merged order, every message must be sent before it
// is received.
func TestMerge_AgreesWithCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		recorders := make([]*Recorder, 3)
		skew := make([]time.Duration, 3)
		for i := range recorders {
			recorders[i] = NewRecorder(entity.InstanceID(fmt.Sprint("p", i)), "a", 0)
			skew[i] = time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "skew")) * time.Millisecond
		}
		messages := rapid.IntRange(1, 30).Draw(t, "messages")
		for m := range messages {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			request := entity.RequestID(fmt.Sprint(m))
			recorders[from].Record(now.Add(skew[from]), event.Event{Number: event.HandoffOffered, Request: request})
			stamp := recorders[from].Stamp(now.Add(skew[from]))
			now = now.Add(time.Millisecond)
			recorders[to].Observe(now.Add(skew[to]), stamp)
			recorders[to].Record(now.Add(skew[to]), event.Event{Number: event.HandoffAccepted, Request: request})
		}
		sent := map[entity.RequestID]bool{}
		merged := Merge(recorders[0].Export(Filter{}), recorders[1].Export(Filter{}), recorders[2].Export(Filter{}))
		for _, e := range merged.Entries {
			if e.Event.Number == event.HandoffAccepted && !sent[e.Event.Request] {
				t.Fatalf("message %s is received before it is sent", e.Event.Request)
			}
			sent[e.Event.Request] = true
		}
		if len(merged.Entries) != 2*messages {
			t.Fatalf("%d entries in the merged timeline", len(merged.Entries))
		}
	})
}

func TestRecorder_RingKeepsLatest(t *testing.T) {
	r := NewRecorder("p", "a", 4)
	for i := range 10 {
		r.Record(start, event.Event{Number: event.RequestAccepted, Attempt: entity.AttemptNumber(i)})
	}
	out := r.Export(Filter{})
	if out.Forgotten != 6 || len(out.Entries) != 4 {
		t.Fatalf("%d events overwritten, %d retained; want 6 and 4", out.Forgotten, len(out.Entries))
	}
	for i, e := range out.Entries {
		if int(e.Event.Attempt) != 6+i || e.Sequence != uint64(7+i) {
			t.Fatalf("entry %d is %+v", i, e)
		}
	}
	if got := r.Export(Filter{Limit: 1}).Entries; len(got) != 1 || got[0].Sequence != 10 {
		t.Fatalf("limit of 1 selects %+v, want the event with sequence 10", got)
	}
}

func TestRecorder_IgnoresStampFarAhead(t *testing.T) {
	r := NewRecorder("p", "a", 4)
	if r.Observe(start, Stamp{Micros: start.Add(time.Hour).UnixMicro()}) {
		t.Fatal("observed a timestamp that is an hour ahead")
	}
	if s := r.Stamp(start); !s.Time().Equal(start) {
		t.Fatalf("timestamp %v, want the time of the local clock", s)
	}
}

func TestFilter_Selects(t *testing.T) {
	r := NewRecorder("p", "a", 10)
	r.Record(start, event.Event{Number: event.RequestAccepted, Request: "r1", Service: "prices"})
	r.Record(start, event.Event{Number: event.AttemptDispatched, Request: "r1", Backend: "app-1"})
	r.Record(start.Add(time.Second), event.Event{Number: event.HandoffFailed, Request: "r2", Peer: "q"})
	for want, f := range map[string]Filter{
		"12": {Request: "r1"}, "1": {Service: "prices"}, "2": {Instance: "app-1"}, "3": {Instance: "q"},
		"123": {Instance: "p"}, "13": {Level: event.Info},
	} {
		got := ""
		for _, e := range r.Export(f).Entries {
			got += fmt.Sprint(e.Sequence)
		}
		if got != want {
			t.Errorf("%+v selects %q, want %q", f, got, want)
		}
	}
	if got := r.Export(Filter{Since: start.Add(time.Second)}).Entries; len(got) != 1 {
		t.Errorf("Since selects %d entries, want 1", len(got))
	}
}

func TestMerge_KeepsDoubledEntryOnceThroughJSON(t *testing.T) {
	r := NewRecorder("p", "a", 10)
	r.Record(start, event.Event{Number: event.RequestAccepted, Request: "r1"})
	data, err := json.Marshal(r.Export(Filter{}))
	if err != nil {
		t.Fatal(err)
	}
	var decoded Export
	if err := json.Unmarshal(data, &decoded); err != nil {
		t.Fatal(err)
	}
	if merged := Merge(r.Export(Filter{}), decoded); len(merged.Entries) != 1 || len(merged.Lanes) != 1 {
		t.Fatalf("%+v", merged)
	}
}

func TestWriteHTML_EscapesContent(t *testing.T) {
	r := NewRecorder("p", "a", 10)
	r.Record(start, event.Event{Number: event.RequestAccepted, Detail: "</script><script>alert(1)</script>"})
	r.Record(start, event.Event{Number: 65000, Service: "prices"})
	var out bytes.Buffer
	if err := WriteHTML(&out, Merge(r.Export(Filter{}))); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "<script>"); n != 1 {
		t.Fatalf("%d script tags in the page, want 1", n)
	}
	if strings.Contains(out.String(), "http") {
		t.Fatal("the page refers to an external resource")
	}
	out.Reset()
	if err := WriteText(&out, Merge(r.Export(Filter{}))); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "1000 request accepted") || !strings.Contains(out.String(), "65000 event of another release service=prices") {
		t.Fatalf("text:\n%s", out.String())
	}
}

func BenchmarkRecorder_Record(b *testing.B) {
	r := NewRecorder("p", "a", 0)
	e := event.Event{Number: event.RequestAccepted, Request: "r1", Service: "prices"}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(start, e)
	}
	b.ReportMetric(float64(cap(r.ring))*float64(unsafe.Sizeof(Entry{})), "ring-B")
}
