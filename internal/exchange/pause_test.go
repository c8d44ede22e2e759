package exchange

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// TestPause_SoundServersAreNotTakenForDead: engines fall silent for a second or so, one after the
// other: what they run stands still meanwhile, but they take connections. No death may be concluded
// from it, the repeats must keep to the retry budget, and nearly all requests be answered.
func TestPause_SoundServersAreNotTakenForDead(t *testing.T) {
	pauses := map[string]func(*testFleet) time.Duration{
		"half a second": func(*testFleet) time.Duration { return 500 * time.Millisecond },
		"a second":      func(*testFleet) time.Duration { return time.Second },
		"0.2 to 1.6 s":  func(f *testFleet) time.Duration { return 200*time.Millisecond + f.random(1400*time.Millisecond) },
	}
	for name, pause := range pauses {
		for _, daemons := range []int{3, 9, 89} {
			t.Run(fmt.Sprintf("%s/daemons=%d", name, daemons), func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t, 1, daemons, 8)
				until := map[*fleetServer]time.Time{}
				f.onRun = func(_ *fleetRun, s *fleetServer, start, end *time.Duration) Outcome {
					if left := until[s].Sub(f.now); left > 0 {
						*start, *end = *start+left, *end+left
					}
					return Answered
				}
				f.every(2*time.Second, func() {
					engines := f.engines()
					until[engines[f.rng.IntN(len(engines))]] = f.now.Add(pause(f))
				})
				arrivals, answered, ended, deaths := 0, 0, 0, 0
				f.onArrival = func(arrival) { arrivals++ }
				f.onEnd = func(_ entity.RequestID, ok bool) {
					ended++
					if ok {
						answered++
					}
				}
				f.onTick = func(_ *fleetDaemon, c *Core) {
					for _, e := range c.TakeEvents() {
						if e.Number == event.ServerDeathProved {
							deaths++
						}
					}
				}
				f.every(4*time.Millisecond, func() {
					req := testRequest("", "/talk/x", "k3")
					req.Patience = 5 * time.Second
					f.send(f.daemons[f.rng.IntN(len(f.daemons))], req)
				})
				f.run(20 * time.Second)
				t.Logf("%d requests, %d arrivals, %d of %d answered, %d deaths", f.sent, arrivals, answered, ended, deaths)
				if deaths > 0 {
					t.Errorf("%d deaths concluded from pauses", deaths)
				}
				if allowed := f.sent + int(f.retries.ratio*float64(f.sent)+f.retries.reserve); arrivals > allowed {
					t.Errorf("%d arrivals of %d requests, %d allowed", arrivals, f.sent, allowed)
				}
				if answered < ended*99/100 {
					t.Errorf("%d of %d requests answered", answered, ended)
				}
			})
		}
	}
}

// TestGivesUpSilent_StreamWaitsOutAPause: a stream has got no event for far longer than its objective. While its
// server may only stand still, it must not run elsewhere too; a server that has died is not waited for.
func TestGivesUpSilent_StreamWaitsOutAPause(t *testing.T) {
	const usualPause = 1400 * time.Millisecond
	c := newTestCore(t, "a")
	ticket := mustAdmit(t, c, zero, testRequest("r", "/talk/x", "k3"))
	mustPlace(t, c, zero, ticket)
	if c.GivesUpSilent(at(usualPause), ticket) {
		t.Errorf("given up after %v, the time for which a sound server may fall silent", usualPause)
	}
	if !c.GivesUpSilent(at(2*usualPause), ticket) {
		t.Errorf("not given up after %v, though there are other servers", 2*usualPause)
	}
	c.noteAnswering(at(usualPause-100*time.Millisecond), ticket.process)
	if !c.GivesUpSilent(at(usualPause), ticket) {
		t.Error("a server that answers other requests is waited for")
	}
	c = newTestCore(t, "b")
	ticket = mustAdmit(t, c, zero, testRequest("r", "/talk/x", "k3"))
	mustPlace(t, c, zero, ticket)
	c.recordDeath(at(time.Second), at(time.Second), ticket.process, proofRefused)
	if !c.GivesUpSilent(at(usualPause), ticket) {
		t.Error("a server that has died is waited for")
	}
}

// TestGivesUpSilent_OnlyWithinTheRetryBudget: a server that is silent may answer yet. It must not be given up for a
// retry that the budget does not allow, which would end the request.
func TestGivesUpSilent_OnlyWithinTheRetryBudget(t *testing.T) {
	c := newTestCore(t, "a")
	silent := at(400 * time.Millisecond)
	givenUp := 0
	for i := range 200 {
		ticket := mustAdmit(t, c, zero, testRequest(strconv.Itoa(i), "/get/x", "k3"))
		mustPlace(t, c, zero, ticket)
		if !c.GivesUpSilent(silent, ticket) {
			c.Ended(silent, ticket, Answered)
			continue
		}
		givenUp++
		if refusal := c.Ended(silent, ticket, Silent); refusal != nil {
			t.Fatalf("refused after a server was given up for another one: %+v", *refusal)
		}
		if _, refusal := c.Place(silent, ticket); refusal != nil {
			t.Fatalf("refused after a server was given up for another one: %+v", *refusal)
		}
		c.Ended(silent, ticket, Answered)
	}
	if givenUp == 0 || givenUp > 50 {
		t.Errorf("%d of 200 requests were repeated, the contract permits 50", givenUp)
	}
}
