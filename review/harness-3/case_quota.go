package main

import (
	"context"
	"sync"
	"time"
)

func init() {
	scenarios["unlimited-output"] = unlimitedOutput
}

// unlimitedOutput has one client of a tenant ask for as many output tokens as a 64-bit number holds. The
// workers reject that request as larger than their memory, so it never runs. The tenant's ordinary
// callers, who stay far below their quota, must still get answers.
func unlimitedOutput(c *rig) error {
	workers, err := c.usualFleet(2)
	if err != nil {
		return err
	}
	for _, w := range workers {
		w.memory, w.way = 909650, 2*1400*time.Microsecond
	}
	const pace, calm, watched = 20 * time.Millisecond, 4 * time.Second, 12 * time.Second
	type count struct{ sent, served, overQuota int }
	var mu sync.Mutex
	counts := map[string]*count{} // by tenant's key and phase
	var all sync.WaitGroup
	ordinary := func(phase string, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pace) {
			for _, g := range c.gateways {
				for _, key := range []string{"k1", "k2"} {
					all.Go(func() {
						q := call{gateway: g, id: c.nextID("a"), path: "/alert/x", key: key, deadline: 3 * time.Second, body: "hi", header: map[string]string{"Token-Count": "2000,25", "Model": "m", "Prompt-Prefix": "a1:500,b2:1500"}}
						r := q.send(context.Background())
						mu.Lock()
						defer mu.Unlock()
						n := counts[phase+" "+key]
						if n == nil {
							n = &count{}
							counts[phase+" "+key] = n
						}
						n.sent++
						if r.status == 200 && r.complete {
							n.served++
						}
						if r.status == 429 {
							n.overQuota++
						}
						if r.status != 200 {
							c.logf("%s: ordinary call with key %s at %s: %s", phase, key, g.name, r)
						}
					})
				}
			}
		}
		all.Wait()
	}
	ordinary("before", calm)
	if c.trouble {
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 6 {
				q := call{gateway: c.gateways[0], id: c.nextID("odd"), path: "/book/x", key: "k1", deadline: 15 * time.Second, body: "hi", header: map[string]string{"Token-Count": "2000,9223372036854775807", "Length-Hint": "380", "Model": "m", "Prompt-Prefix": "a1:500,c3:1500"}}
				c.logf("the odd request %s: Token-Count 2000,9223372036854775807: %s", q.id, q.send(context.Background()))
				runs, rejects := 0, 0
				for _, w := range workers {
					runs += w.runCount(q.id)
					rejects += w.rejectCount()
				}
				c.logf("the odd request ran %d times; %d rejections so far", runs, rejects)
				time.Sleep(437 * time.Millisecond)
			}
		}()
		defer func() { <-done }()
	}
	ordinary("after", watched)
	for _, phase := range []string{"before", "after"} {
		for _, key := range []string{"k1", "k2"} {
			n := counts[phase+" "+key]
			c.logf("%s, key %s: %d ordinary calls, %d served, %d answered 429", phase, key, n.sent, n.served, n.overQuota)
		}
	}
	one, other := counts["after k1"], counts["after k2"]
	if 4*one.served*other.sent < other.served*one.sent {
		c.breakf("the tenant's ordinary requests were served less than a quarter as often as the other tenant's: %d of %d, and %d of %d", one.served, one.sent, other.served, other.sent)
	}
	return nil
}
