package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["stop-within-event"] = stopWithinEvent
}

// stopWithinEvent has one of three workers stop one in twenty of its streams in the middle of an event, and
// close the answer.
func stopWithinEvent(c *rig) error {
	workers, err := c.usualFleet(2)
	if err != nil {
		return err
	}
	const (
		streams = 240
		events  = 10
		every   = 20 // of the streams of the worker
	)
	for _, w := range workers {
		w.gap, w.events = 10*time.Millisecond, events
	}
	var mu sync.Mutex
	runs, stopped := 0, 0
	if c.trouble {
		workers["llm-1"].stops = func(r *http.Request) bool {
			mu.Lock()
			defer mu.Unlock()
			runs++
			if runs%every != 0 {
				return false
			}
			stopped++
			c.logf("llm-1 stops %s within event %d", r.Header.Get("Attempt-Id"), stopsWithin)
			return true
		}
	}
	var all sync.WaitGroup
	short, whole := 0, 0
	for n := range streams {
		all.Go(func() {
			q := call{gateway: c.gateways[n%2], id: c.nextID("s"), path: "/book/x", key: "k1", deadline: 12 * time.Second, body: "hi", header: map[string]string{"Token-Count": "2000,50", "Model": "m", "Prompt-Prefix": fmt.Sprintf("a1:500,%x:1500", 0x1000+n)}}
			r := q.send(context.Background())
			want := ""
			for k := range events {
				want += eventText(k + 1)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status == http.StatusOK && r.complete && r.body == want:
				whole++
			case r.status == http.StatusOK && r.complete:
				short++
				c.logf("%s: %s; the answer is complete by its framing and ends with %q", q.id, r, r.body[max(len(r.body)-24, 0):])
				c.breakf("ORDER: the stream of %s ends as complete after %d of %d events, within an event", q.id, strings.Count(r.body, "\n\n"), events)
			default:
				c.logf("%s: %s", q.id, r)
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	all.Wait()
	c.logf("%d streams: %d whole, %d complete by their framing and too short; the worker stopped %d", streams, whole, short, stopped)
	return nil
}
