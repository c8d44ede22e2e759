package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one client attempt and its result.
type call struct {
	id, path  string
	daemon    *daemon
	sent      time.Time
	took      time.Duration // until the whole answer, or until the client gave up
	status    int           // 0: no complete answer
	left      bool          // the client's time was over
	signature string
}

// client is a sound client: it waits for a connection for one second and for an answer until its deadline.
type client struct {
	world *world
	http  *http.Client
	key   string
}

func newClient(w *world, key string) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{world: w, key: key, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second,
	}}}
}

// send sends one request and notes it. Header holds further fields, as pairs.
func (c *client) send(d *daemon, method, path, id string, deadline time.Duration, header ...string) call {
	out := call{id: id, path: path, daemon: d, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, nil)
	if err != nil {
		return out
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("X-Api-Key", c.key)
	r.Header.Set("Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := c.http.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			out.status, out.signature = resp.StatusCode, resp.Header.Get("Server-Signature")
		}
	}
	out.took = time.Since(out.sent)
	out.left = ctx.Err() != nil
	problem := ""
	if err != nil {
		problem = ", " + strings.ReplaceAll(err.Error(), "\n", " ")
	}
	c.world.note("%s %s %s at %s sent at %.3f: status %d after %d ms%s", c.key, id, path, d.name,
		out.sent.Sub(c.world.start).Seconds(), out.status, out.took.Milliseconds(), problem)
	return out
}

// results collects calls.
type results struct {
	mu    sync.Mutex
	calls []call
}

func (r *results) add(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// sendSteadily sends requests at equal intervals, in turn to all daemons, and waits for the last of them.
func sendSteadily(w *world, c *client, out *results, name, path string, interval, deadline, lasting time.Duration) {
	var sending sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(lasting)
	for n := 0; time.Now().Before(end); n++ {
		d := w.daemons[n%len(w.daemons)]
		id := fmt.Sprintf("%s-%d", name, n)
		sending.Go(func() { out.add(c.send(d, http.MethodGet, path, id, deadline)) })
		<-ticker.C
	}
	sending.Wait()
}
