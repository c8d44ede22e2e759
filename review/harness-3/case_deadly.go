package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	scenarios["deadly-part-of-many"] = deadlyPartOfMany
}

const (
	// deadlyPart crashes each worker that begins to write an answer on it, unless it is the last part.
	deadlyPart = "dead0f"
	// downFor is how long a worker is down after a crash.
	downFor = 2 * time.Second
)

// crashes are the crashes of workers, and the requests with the deadly part that reached them.
type crashes struct {
	mu      sync.Mutex
	at      []time.Time
	reached []time.Time
}

// addMortalWorker starts a worker that crashes on the deadly part and comes back.
func (c *rig) addMortalWorker(id string, k *crashes) (*worker, error) {
	w := &worker{rig: c, id: id, service: "llm", slots: 64, first: 50 * time.Millisecond, gap: 50 * time.Millisecond, events: 10, runs: map[string]int{}, heads: map[string]http.Header{}}
	l, err := net.Listen("tcp", c.ip+":0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	var mu sync.Mutex // guards server
	var server *http.Server
	start := func(l net.Listener) {
		mu.Lock()
		defer mu.Unlock()
		server = &http.Server{Handler: w}
		go func(s *http.Server) { _ = s.Serve(l) }(server)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.servers = append(c.servers, server)
	}
	w.handler = func(_ http.ResponseWriter, r *http.Request) bool {
		parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
		deadly := false
		for _, part := range parts[:len(parts)-1] {
			deadly = deadly || strings.HasPrefix(part, deadlyPart+":")
		}
		if !deadly {
			return false
		}
		now := time.Now()
		k.mu.Lock()
		k.reached = append(k.reached, now)
		k.mu.Unlock()
		time.Sleep(w.first)
		mu.Lock()
		crashed := server
		server = nil
		mu.Unlock()
		if crashed != nil {
			k.mu.Lock()
			k.at = append(k.at, time.Now())
			n := len(k.at)
			k.mu.Unlock()
			c.logf("%s crashes by %s, crash %d", id, r.Header.Get("Attempt-Id"), n)
			_ = crashed.Close()
			time.AfterFunc(downFor, func() {
				l, err := net.Listen("tcp", w.address)
				if err != nil {
					c.logf("%s does not come back: %v", id, err)
					return
				}
				start(l)
				w.registerBorn("ready", 1, time.Now().UnixMilli())
			})
		}
		panic(http.ErrAbortHandler)
	}
	start(l)
	w.register("ready", 1)
	return w, nil
}

// deadlyPartOfMany sends requests whose prompts have 24 parts, as those of a conversation have. The 20th part
// is the same in some of them and crashes each worker that begins to write an answer on it.
func deadlyPartOfMany(c *rig) error {
	c.store.put("op", "config", configuration(1, usualTenants))
	if _, err := c.addWorker("app-1", "app"); err != nil {
		return err
	}
	k := &crashes{}
	for n := range 6 {
		if _, err := c.addMortalWorker(fmt.Sprintf("llm-%d", n+1), k); err != nil {
			return err
		}
	}
	if err := c.startFleet(2); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	const (
		length  = 24 * time.Second
		contact = 3 * time.Second // contactMs
		allowed = 3
		place   = 20 // of the deadly part
		parts   = 24
	)
	prompt := func(n int, deadly bool) string {
		var b strings.Builder
		for p := 1; p < parts; p++ {
			switch {
			case p == place && deadly:
				fmt.Fprintf(&b, "%s:50,", deadlyPart)
			case p < 4:
				fmt.Fprintf(&b, "a%d:200,", p) // shared by all
			default:
				fmt.Fprintf(&b, "%x:50,", 0x1000000+n*parts+p)
			}
		}
		return fmt.Sprintf("%s%x:60", b.String(), 0x9000000+n)
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	sound, whole, cut := 0, 0, 0
	end := time.Now().Add(length)
	for n := 0; time.Now().Before(end); n++ {
		deadly := n%5 == 0 && c.trouble
		all.Go(func() {
			q := call{gateway: c.gateways[n%2], id: c.nextID("s"), path: "/note/x", key: "k1", deadline: 3 * time.Second, body: fmt.Sprint("question ", n), header: map[string]string{"Token-Count": "1660,50", "Model": "m", "Prompt-Prefix": prompt(n, deadly)}}
			r := q.send(context.Background())
			if deadly {
				c.logf("%s, with the deadly part: %s", q.id, r)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sound++
			switch {
			case r.status == http.StatusOK && r.complete:
				whole++
			case r.status == http.StatusOK:
				cut++
				c.logf("%s, sound: cut midway after %d events", q.id, strings.Count(r.body, "\n\n"))
			default:
				c.logf("%s, sound: %s", q.id, r)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	late := 0
	for _, at := range k.reached {
		if len(k.at) >= 5 && at.After(k.at[4].Add(contact)) {
			late++
		}
	}
	c.logf("%d crashes; %d requests with the deadly part reached workers, %d of them later than %v after the fifth crash", len(k.at), len(k.reached), late, contact)
	c.logf("%d sound requests: %d whole, %d cut midway", sound, whole, cut)
	if late > allowed {
		c.breakf("BUDGET: %d requests with the part that crashes workers reached workers later than contactMs after the fifth crash, %d allowed; %d accepted streams were cut midway", late, allowed, cut)
	}
	return nil
}
