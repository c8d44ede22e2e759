package placement

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// newCopyingPlacer returns a placer whose engines copy a token in the given time.
func newCopyingPlacer(servers int, copyMillisPerToken float64) *Placer {
	p := newPlacer(servers)
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		r.CopyMillisPerToken = copyMillisPerToken
		return true
	})
	return p
}

var hotPart = Part{ID: 7, Tokens: 6000}

// placeHot places a request with the hot beginning, whose answer begins at once.
func placeHot(t *testing.T, p *Placer, now time.Time, id uint64) Choice {
	t.Helper()
	reservation, c := place(t, p, now, query(7000, hotPart, Part{ID: id, Tokens: 1000}))
	p.RecordFirstEvent(now, reservation)
	return c
}

// TestChoose_HotPromptIsCopiedToTheIdle replays a burst of requests with one beginning
// whose prompts wait at the engine that has it cached: the others copy it.
func TestChoose_HotPromptIsCopiedToTheIdle(t *testing.T) {
	p := newCopyingPlacer(2, 0.0001)
	cached := placeHot(t, p, start, 100).Server
	p.ReceiveLoads(start, "peer", []ServerLoad{{Server: cached, Waiting: waiting(0, 4, 20_000)}}, time.Minute)
	c := placeHot(t, p, start, 101)
	if c.Server == cached || c.CopyFrom != cached {
		t.Fatalf("placed on %s, copied from %q; want the idle server, copied from %s", c.Server, c.CopyFrom, cached)
	}
	if c.Uncached > 1000+hotPart.Tokens/2 {
		t.Fatalf("%d tokens count as read although 6000 of 7000 are copied", c.Uncached)
	}
	if again := placeHot(t, p, start, 102); again.Server == c.Server && again.CopyFrom != "" {
		t.Fatal("what has just been copied is copied again")
	}
}

func TestChoose_NothingIsCopied(t *testing.T) {
	for _, test := range []struct {
		name   string
		millis float64 // to copy a token
		usable func(entity.BackendServerID) bool
		prompt Query
	}{
		{"engines that cannot copy", 0, allUsable, query(7000, hotPart, Part{ID: 1, Tokens: 1000})},
		{"link slower than the reading", 10, allUsable, query(7000, hotPart, Part{ID: 1, Tokens: 1000})},
		{"source that drains or has gone", 0.0001, func(id entity.BackendServerID) bool { return id == "s1" }, query(7000, hotPart, Part{ID: 1, Tokens: 1000})},
		{"other prompt", 0.0001, allUsable, query(7000, Part{ID: 8, Tokens: 6000}, Part{ID: 1, Tokens: 1000})},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newCopyingPlacer(2, test.millis)
			p.servers.Get("s0").cache.add(start, []Part{hotPart, {ID: 100, Tokens: 1000}})
			p.ReceiveLoads(start, "peer", []ServerLoad{{Server: "s0", Waiting: waiting(0, 9, 90_000)}}, time.Minute)
			c, ok := p.Choose(start, test.prompt, test.usable)
			if !ok || c.Server != "s1" || c.CopyFrom != "" || c.Uncached != 7000 {
				t.Fatalf("got %+v, want s1 without a copy", c)
			}
		})
	}
}

// TestChoose_SmallDifferencesOfLoadCauseNoCopy: while loads are known late, requests with a
// common beginning must stay together unless another engine is much less loaded.
func TestChoose_SmallDifferencesOfLoadCauseNoCopy(t *testing.T) {
	p := newCopyingPlacer(4, 0.0001)
	cached := placeHot(t, p, start, 100).Server
	p.ReceiveLoads(start, "peer", []ServerLoad{{Server: cached, Waiting: waiting(0, 1, 2000)}}, time.Minute)
	if c := placeHot(t, p, start, 101); c.Server != cached {
		t.Fatalf("6000 tokens were copied from %s to %s because 2000 wait there", cached, c.Server)
	}
}
