package grant

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

func digestOf(i int) entity.Digest { return entity.Digest{byte(i), byte(i >> 8), 1} }

// maxFurtherDeaths bounds the servers that content kills besides those that ran
// it at the first death. 6 are for starts on daemons that have not received the
// announcement or lost it, and for other deaths at the time, which delay the
// quarantine. 1 is for the run as watched content before the run in isolation.
const maxFurtherDeaths = 6 + 1

var crashing = entity.Digest{0xff, 0xff, 0xff}

// crashWorld runs harmless requests, each with its own content, while a caller
// repeatedly sends crashing content under new request IDs.
func crashWorld(seed uint64, sends int, every time.Duration) *world {
	w := newWorld(seed, testService(12, 4))
	for i := range 6 {
		w.addNode(testLocations[i%len(testLocations)], nil)
	}
	w.syncMembers()
	w.after(30*time.Second, w.replaceDead)
	w.arrivals(40, 8*time.Second, func(i int) *request {
		r := testRequest(fmt.Sprintf("innocent-%d", i), 10+w.rng.IntN(30))
		r.acquisition.Digest = digestOf(i)
		return r
	})
	for i := range sends {
		w.after(2*time.Second+time.Duration(i)*every, func() {
			r := testRequest(fmt.Sprintf("crash-%d", i), 10)
			r.acquisition.Digest, r.crash = crashing, true
			w.nodes[w.rng.IntN(len(w.nodes))].submit(r)
		})
	}
	return w
}

// countExposed records on how many servers the content ran when it first killed
// one. No system could have protected these.
func (w *world) countExposed() {
	if w.exposedServers > 0 {
		return
	}
	for _, e := range w.engines {
		e.running.All(func(_ acquisitionKey, j *job) bool {
			if j.r.crash {
				w.exposedServers++
			}
			return !j.r.crash
		})
	}
}

// replaceDead lists new servers in place of dead ones every 5 s.
func (w *world) replaceDead() {
	w.after(5*time.Second, w.replaceDead)
	for i, b := range w.doc.BackendServers {
		if !w.engine(b.ID).dead {
			continue
		}
		next := testServer(100+len(w.engines), b.Slots)
		next.Location = b.Location
		w.addEngine(next)
		w.doc.BackendServers[i] = next
	}
	w.syncMembers()
}

func (w *world) deadEngines() int {
	n := 0
	for _, e := range w.engines {
		if e.dead {
			n++
		}
	}
	return n
}

func quarantinedDigests(w *world) []entity.Digest {
	var out []entity.Digest
	for _, r := range w.refused {
		if verdict.CodeOf(r.err) == "convicted" {
			out = append(out, r.acquisition.Digest)
		}
	}
	return out
}

func TestGrants_CrashingContentIsQuarantined(t *testing.T) {
	w := crashWorld(1, 20, time.Second)
	w.run(120 * time.Second)
	const maxCrashDeaths = 3
	if n := w.deadEngines(); n > maxCrashDeaths {
		t.Errorf("%d servers died, want at most %d", n, maxCrashDeaths)
	}
	if n := len(quarantinedDigests(w)); n != 20 {
		t.Errorf("%d of 20 crashing requests refused as quarantined content", n)
	}
	for _, r := range w.refused {
		if !r.crash || verdict.Of(r.err) != verdict.NotRun {
			t.Errorf("%s refused: %v", r.acquisition.Request, r.err)
		}
	}
	for _, n := range w.nodes {
		n.openRequests.All(func(id entity.RequestID, _ *request) bool {
			t.Errorf("%s not completed", id)
			return true
		})
	}
}

// With announced reclaims and the loss of a whole data centre during the
// crashes, few servers die of the content, and no harmless content is refused.
func TestGrants_NoInnocentIsConvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(0, 1000).Draw(t, "seed")
		w := crashWorld(seed, rapid.IntRange(1, 8).Draw(t, "sends"), time.Duration(rapid.IntRange(100, 4000).Draw(t, "every"))*time.Millisecond)
		w.loss = 0.05
		unrelatedDeaths := 0
		for range rapid.IntRange(0, 3).Draw(t, "reclaims") {
			b := w.doc.BackendServers[rapid.IntRange(0, 11).Draw(t, "server")]
			at := time.Duration(rapid.IntRange(2000, 7000).Draw(t, "at")) * time.Millisecond
			w.after(at, func() {
				for _, n := range w.nodes {
					n.g.SetDraining(w.now, b.ID, "reclaim", true)
					n.processReady()
				}
			})
			w.after(at+time.Second, func() { unrelatedDeaths += w.kill(b.ID) })
		}
		if rapid.Bool().Draw(t, "data centre lost") {
			at := time.Duration(rapid.IntRange(2000, 7000).Draw(t, "lost at")) * time.Millisecond
			w.after(at, func() {
				for _, e := range w.engines {
					if e.backend.Location == testLocations[1] {
						unrelatedDeaths += w.kill(e.backend.ID)
					}
				}
			})
		}
		w.run(60 * time.Second)
		if n := w.deadEngines() - unrelatedDeaths; n > w.exposedServers+maxFurtherDeaths {
			t.Errorf("%d servers died of the content; %d ran it at the first death", n, w.exposedServers)
		}
		for _, d := range quarantinedDigests(w) {
			if d != crashing {
				t.Errorf("harmless content %v quarantined", d[:2])
			}
		}
		for _, n := range w.nodes {
			n.openRequests.All(func(id entity.RequestID, r *request) bool {
				t.Errorf("%s not completed after %d sends", id, r.sendCount)
				return true
			})
		}
	})
}

func (w *world) kill(id entity.BackendServerID) int {
	e := w.engine(id)
	if e.dead {
		return 0
	}
	e.die()
	return 1
}
