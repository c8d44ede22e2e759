package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["long-answer-in-stop"] = longAnswerInStop
}

// longAnswerInStop stops one of two machines. Of late it has had short requests only: alerts of 3 to 8
// events. Clients that may still use the machine send it briefings after the SIGTERM, whose answers have
// up to 200 events. All requests state the maximum of their output tokens.
func longAnswerInStop(c *rig) error {
	workers, err := c.usualFleet(2)
	if err != nil {
		return err
	}
	for _, w := range workers {
		if w.service == "llm" {
			w.gap = 25 * time.Millisecond
			w.length = func(r *http.Request) int {
				if strings.HasPrefix(r.URL.Path, "/book/") {
					return 200
				}
				return 3 + w.runTotal()%6
			}
		}
	}
	stopped := c.gateways[0]
	const (
		usual     = 8 * time.Second // ordinary traffic before the stop
		pause     = 150 * time.Millisecond
		firstSent = 3200 * time.Millisecond // after the SIGTERM: what is sent by 3 s after it may be excused
		lastSent  = 4800 * time.Millisecond
		grace     = 8 * time.Second
	)
	var all sync.WaitGroup
	send := func(g *gatewayProcess, path string, note bool, since time.Time) {
		all.Go(func() {
			q := call{gateway: g, id: c.nextID("a"), path: path, key: "k1", deadline: 3 * time.Second, body: strings.Repeat("x", 200), header: map[string]string{"Token-Count": "1800,200", "Model": "m", "Prompt-Prefix": "a1:500,b2:1300"}}
			if strings.HasPrefix(path, "/book/") {
				q.deadline, q.header = 15*time.Second, map[string]string{"Token-Count": "6610,1005", "Model": "m", "Prompt-Prefix": "c3:5000,d4:1610"}
			}
			conn, err := dial(g.front)
			if err != nil {
				c.logf("%s: %v", q.id, err)
				return
			}
			defer func() { _ = conn.Close() }()
			sent := time.Now()
			r := q.sendOn(context.Background(), conn, bufio.NewReader(conn))
			events := strings.Count(r.body, "\n\n")
			runs := 0
			for _, w := range workers {
				runs += w.runCount(q.id)
			}
			if note || r.status != http.StatusOK || !r.complete {
				c.logf("%s %s at %s, sent %d ms after the SIGTERM: %s; %d events; it ran %d times", q.id, path, g.name, sent.Sub(since).Milliseconds(), r, events, runs)
			}
			if note && runs > 0 && !r.complete {
				c.breakf("LOST: %s was read whole and passed on, and its connection ended without a complete answer, %d ms after the SIGTERM", q.id, time.Since(since).Milliseconds())
			}
		})
	}
	for end := time.Now().Add(usual); time.Now().Before(end); time.Sleep(pause) {
		for _, g := range c.gateways {
			send(g, "/alert/x", false, c.started)
		}
	}
	all.Wait()
	c.logf("ordinary traffic: %d runs", workers["llm-1"].runTotal()+workers["llm-2"].runTotal()+workers["llm-3"].runTotal())
	at := time.Now()
	if c.trouble {
		c.logf("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	for time.Since(at) < lastSent {
		if time.Since(at) > firstSent {
			send(stopped, "/book/x", true, at)
		} else {
			send(stopped, "/alert/x", true, at)
		}
		time.Sleep(2 * pause)
	}
	all.Wait()
	if c.trouble {
		select {
		case <-stopped.done:
			c.logf("%s ended %d ms after the SIGTERM", stopped.name, time.Since(at).Milliseconds())
		case <-time.After(grace):
			return fmt.Errorf("%s has not ended", stopped.name)
		}
	}
	return nil
}
