package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["many-parts"] = manyParts
}

// manyParts has a few clients send requests whose prompts are listed in many small parts, as blocks of 16
// tokens are. Each request is inside the limits of the configuration. Without the trouble the prompts
// are as long, and listed in two parts.
func manyParts(c *rig) error {
	for _, id := range []string{"llm-4", "llm-5", "llm-6", "llm-7", "llm-8", "llm-9"} {
		if _, err := c.addWorker(id, "llm"); err != nil {
			return err
		}
	}
	workers, err := c.usualFleet(3)
	if err != nil {
		return err
	}
	for _, w := range workers {
		w.first, w.gap, w.events = 20*time.Millisecond, 20*time.Millisecond, 5
	}
	const (
		clients     = 100
		parts       = 1980
		partTokens  = 16
		length      = 20 * time.Second
		think       = 200 * time.Millisecond
		pace        = 100 * time.Millisecond
		timeout     = 2500 * time.Millisecond // of the route of the ordinary calls
		late        = 500 * time.Millisecond
		clientWaits = 10 * time.Second
	)
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				prefix := fmt.Sprintf("%x:%d,%x:%d", 0x10000+n, (parts-1)*partTokens, 0x20000+i, partTokens)
				if c.trouble {
					var b strings.Builder
					fmt.Fprintf(&b, ",%x:%d", 0x1000000+n*1000+i, partTokens)
					for k := range parts - 1 {
						fmt.Fprintf(&b, ",%04x:%d", (n*500+k)%0x10000, partTokens)
					}
					prefix = b.String()[1:]
				}
				q := call{gateway: c.gateways[0], id: c.nextID("p"), path: "/book/x", key: "k1", deadline: 15 * time.Second, body: "hi", header: map[string]string{"Token-Count": fmt.Sprintf("%d,25", parts*partTokens), "Model": "m", "Prompt-Prefix": prefix}}
				r := q.send(context.Background())
				c.logf("client %d, %s, head of %d bytes, %d parts: %s", n, q.id, len(q.head()), strings.Count(prefix, ",")+1, r)
				time.Sleep(think)
			}
		})
	}
	var mu sync.Mutex
	type count struct{ sent, served, unanswered, late int }
	counts := map[string]*count{}
	for _, g := range c.gateways {
		counts[g.name] = &count{}
		all.Go(func() {
			for ; time.Now().Before(end); time.Sleep(pace) {
				all.Go(func() {
					q := call{gateway: g, id: c.nextID("o"), path: "/look/x", method: http.MethodGet, key: "k2", deadline: clientWaits}
					conn, err := dial(g.front)
					if err != nil {
						c.logf("ordinary call %s at %s: %v", q.id, g.name, err)
						return
					}
					defer func() { _ = conn.Close() }()
					r := q.sendOn(context.Background(), conn, bufio.NewReader(conn))
					if r.status != http.StatusOK || r.took > timeout {
						c.logf("ordinary call %s at %s: %s", q.id, g.name, r)
					}
					mu.Lock()
					defer mu.Unlock()
					n := counts[g.name]
					n.sent++
					if r.status == http.StatusOK && r.complete {
						n.served++
					}
					if r.took > timeout {
						n.unanswered++
					}
					if r.took > timeout+late {
						n.late++
					}
				})
			}
		})
		all.Go(func() {
			unready := 0
			for ; time.Now().Before(end); time.Sleep(time.Second) {
				if !g.isReady() {
					unready++
				}
			}
			c.logf("%s: %d questions a second apart whether it is ready had no 200 within a second", g.name, unready)
		})
	}
	all.Wait()
	sum := count{}
	for _, g := range c.gateways {
		n := counts[g.name]
		c.logf("%s: %d ordinary calls, %d served; %d unanswered at the route's timeout of %v, %d of them still %v later", g.name, n.sent, n.served, n.unanswered, timeout, n.late, late)
		sum.unanswered += n.unanswered
		sum.late += n.late
	}
	if 2*sum.late > sum.unanswered {
		c.breakf("CONFIG: of %d ordinary requests that were unanswered at their route's timeoutMs, %d had no answer half a second later", sum.unanswered, sum.late)
	}
	return nil
}
