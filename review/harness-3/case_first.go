package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["first-process-killed"] = firstProcessKilled
}

// firstProcessKilled starts a deployment. One machine's process is killed and started again before the operator
// writes the first configuration, and another machine's is killed later, under streams. CHECK=1 leaves the first
// kill out.
func firstProcessKilled(c *rig) error {
	for _, id := range []string{"app-1", "llm-1", "llm-2", "llm-3"} {
		w, err := c.addWorker(id, id[:3])
		if err != nil {
			return err
		}
		w.gap, w.events = 50*time.Millisecond, 60
	}
	const (
		apart    = 250 * time.Millisecond // machines start within 0.3 s of each other
		restart  = 500 * time.Millisecond
		streams  = 24
		attempts = 2 // a client's first try at taking a stream up, and its retry
	)
	for n := range 3 {
		if _, err := c.startGateway(); err != nil {
			return err
		}
		if n == 0 {
			time.Sleep(apart)
		}
	}
	kill := func(g *gatewayProcess) error {
		c.logf("%s is killed", g.name)
		g.signal(syscall.SIGKILL)
		<-g.done
		time.Sleep(restart)
		c.logf("%s is started again", g.name)
		return g.start()
	}
	time.Sleep(2 * time.Second)
	if c.trouble && os.Getenv("CHECK") == "" {
		if err := kill(c.gateways[0]); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	c.logf("the operator writes the first configuration")
	c.store.put("op", "config", configuration(1, usualTenants))
	if err := c.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	lost, others := c.gateways[1], []*gatewayProcess{c.gateways[0], c.gateways[2]}
	var mu sync.Mutex
	broken, again, goesOn, fresh, begun := 0, 0, 0, 0, 0
	var all sync.WaitGroup
	header := func(n int) map[string]string {
		return map[string]string{"Token-Count": "2000,300", "Model": "m", "Prompt-Prefix": fmt.Sprintf("a1:500,%x:1500", 0x1000+n)}
	}
	for n := range streams {
		all.Go(func() {
			q := call{gateway: lost, id: c.nextID("s"), path: "/book/x", key: "k1", deadline: 12 * time.Second, body: "hi", header: header(n)}
			r := q.send(context.Background())
			events := strings.Count(r.body, "\n\n")
			if r.status != http.StatusOK || r.complete || events == 0 {
				c.logf("%s: %s", q.id, r)
				return
			}
			mu.Lock()
			broken++
			mu.Unlock()
			on := false
			for try := range attempts {
				t := call{gateway: others[(n+try)%2], id: c.nextID("t"), path: q.path, key: q.key, deadline: q.deadline - r.took, body: q.body, header: header(n)}
				t.header["Last-Event-Id"], t.header["Resumes"] = strconv.Itoa(events), q.id
				r2 := t.send(context.Background())
				on = r2.status == http.StatusOK && strings.Contains(r2.body, "\n\n")
				c.logf("%s broke off after event %d; taken up as %s at %s: %s", q.id, events, t.id, t.gateway.name, r2)
				mu.Lock()
				again++
				if on {
					goesOn++
				}
				mu.Unlock()
				if on {
					return
				}
				wait, err := strconv.ParseFloat(r2.header.Get("Retry-After"), 64)
				if err != nil {
					return
				}
				time.Sleep(time.Duration(wait * float64(time.Second)))
			}
		})
	}
	time.Sleep(time.Second)
	if c.trouble {
		all.Go(func() { _ = kill(lost) })
	}
	time.Sleep(200 * time.Millisecond)
	for n := range streams {
		all.Go(func() {
			q := call{gateway: others[n%2], id: c.nextID("n"), path: "/book/x", key: "k1", deadline: 12 * time.Second, body: "hi", header: header(streams + n)}
			r := q.send(context.Background())
			mu.Lock()
			defer mu.Unlock()
			fresh++
			if r.status == http.StatusOK && strings.Contains(r.body, "\n\n") {
				begun++
			}
		})
	}
	all.Wait()
	c.logf("%d streams broke off; taken up %d times, %d went on; %d new ones sent, %d began", broken, again, goesOn, fresh, begun)
	if again >= 12 && 2*goesOn*fresh < begun*again {
		c.breakf("LOST: of %d streams taken up again %d went on, of %d new ones %d began", again, goesOn, fresh, begun)
	}
	return nil
}
