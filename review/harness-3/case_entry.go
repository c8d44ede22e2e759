package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["odd-entry"] = oddEntry
}

// oddEntry has another writer add entries of a service that the configuration does not name, at the
// addresses of the workers. Then one worker breaks off the streams that it has, as workers do at times, and
// clients whose answers end early take them up again.
func oddEntry(c *rig) error {
	workers, err := c.usualFleet(2)
	if err != nil {
		return err
	}
	models := []*worker{workers["llm-1"], workers["llm-2"], workers["llm-3"]}
	for _, w := range models {
		w.gap, w.events = 50*time.Millisecond, 60
	}
	time.Sleep(4 * time.Second)
	if c.trouble {
		for i, w := range models {
			c.store.put("servers", fmt.Sprintf("other-%d", i+1), fmt.Sprintf(`{"service":"other","address":%q,"zone":"z1","version":"v1","slots":%d,"state":"ready","coldMs":0,"seq":1,"born":%d}`, w.address, w.slots, c.started.UnixMilli()))
		}
		c.logf("another writer has added three entries of the service \"other\", which no configuration names")
	}
	time.Sleep(500 * time.Millisecond)
	type count struct{ sent, begun, goesOn, broken int }
	var fresh, again count
	var mu sync.Mutex
	var all sync.WaitGroup
	const streams = 66
	for n := range streams {
		all.Go(func() {
			g, other := c.gateways[n%2], c.gateways[(n+1)%2]
			q := call{gateway: g, id: c.nextID("s"), path: "/book/x", key: "k1", deadline: 12 * time.Second, body: "hi", header: map[string]string{"Token-Count": "2000,300", "Model": "m", "Prompt-Prefix": fmt.Sprintf("a1:500,%x:1500", 0x1000+n)}}
			r := q.send(context.Background())
			mu.Lock()
			fresh.sent++
			if strings.Contains(r.body, "\n\n") {
				fresh.begun++
			}
			if !r.complete && r.status == http.StatusOK {
				fresh.broken++
			}
			mu.Unlock()
			if r.status != http.StatusOK || r.complete {
				if r.status != http.StatusOK {
					c.logf("%s: %s", q.id, r)
				}
				return
			}
			last := strings.Count(r.body, "\n\n")
			again1 := call{gateway: other, id: c.nextID("t"), path: q.path, key: q.key, deadline: q.deadline - r.took, body: q.body, header: map[string]string{"Last-Event-Id": strconv.Itoa(last), "Resumes": q.id}}
			for k, v := range q.header {
				again1.header[k] = v
			}
			r2 := again1.send(context.Background())
			c.logf("%s broke off after event %d (%s); taken up as %s at %s: %s", q.id, last, r.took.Round(time.Millisecond), again1.id, other.name, r2)
			mu.Lock()
			defer mu.Unlock()
			again.sent++
			if r2.status == http.StatusOK && strings.Contains(r2.body, "\n\n") {
				again.goesOn++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	c.logf("llm-1 breaks off the streams that it has")
	models[0].breakOff()
	all.Wait()
	c.logf("new streams: %d sent, %d began, %d broken off; taken up again: %d sent, %d went on", fresh.sent, fresh.begun, fresh.broken, again.sent, again.goesOn)
	if again.sent >= 12 && 2*again.goesOn*fresh.sent < fresh.begun*again.sent {
		c.breakf("LOST: of %d streams taken up again %d went on, of %d new ones %d began", again.sent, again.goesOn, fresh.sent, fresh.begun)
	}
	return nil
}
