package exchange

import (
	"fmt"
	"testing"
	"time"
)

// loseAllServers lets all engines die one after the other, faster than any request
// completes, and come back under other IDs.
func (r *partRun) loseAllServers(pause time.Duration) {
	for _, s := range append([]*fleetServer(nil), r.servers...) {
		if s.Service != "engine" {
			continue
		}
		r.crash(s)
		r.after(3*time.Second, func() { r.replace(s, s.ID+"-next", 1) })
		r.crashes = append(r.crashes, r.now)
		r.run(pause)
	}
}

// TestCrashTrial_PoolThatDiedWholeIsServedAgain: all engines die one after the other, for
// reasons of their own, and nothing completes meanwhile. Then nearly all parts have run on
// servers that died. All must be served again soon, although refused parts don't
// complete.
func TestCrashTrial_PoolThatDiedWholeIsServedAgain(t *testing.T) {
	for _, servers := range []int{3, 6} {
		t.Run(fmt.Sprint("servers=", servers), func(t *testing.T) {
			for _, daemons := range []int{1, 3, 9} {
				for seed := uint64(1); seed <= 3; seed++ {
					t.Run(fmt.Sprintf("daemons=%d/seed=%d", daemons, seed), func(t *testing.T) {
						t.Parallel()
						r := newPartRun(t, seed, daemons, servers)
						r.runDuration = func(Request) (time.Duration, time.Duration) { return time.Second, 1500 * time.Millisecond }
						r.run(3 * time.Second)
						r.loseAllServers(120 * time.Millisecond)
						last := r.now
						r.run(20 * time.Second)
						r.checkSound(last.Add(trialLimit + time.Duration(daemons)*trialStagger))
					})
				}
			}
		})
	}
}

// trialLimit is the time from the last death within which parts that have had nothing to do
// with it must be served again, once all daemons may try them: until the first trial, the
// next request with the part, and its run.
const trialLimit = 7 * time.Second

// TestCrashTrial_PartThatCrashesIsSeldomTried: the crashing part comes for a minute, at daemons
// that are restarted in turn.
func TestCrashTrial_PartThatCrashesIsSeldomTried(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			r := newPartRun(t, seed, 9, 30)
			r.run(2 * time.Second)
			for i, d := range r.daemons {
				r.after(time.Duration(5+6*i)*time.Second, func() { r.start(d) })
			}
			r.crashServers("/talk/x", crashInterval, time.Minute)
			r.check()
		})
	}
}
