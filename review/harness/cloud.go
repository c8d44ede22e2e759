package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloudCall is a call of a duty.
type cloudCall struct {
	at      time.Time
	holder  string
	token   uint64
	subject string
	body    string
}

// scaleOrder is the body of an order of workers.
type scaleOrder struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// cloud is the platform's API for singleton duties, which does not check fences.
type cloud struct {
	w       *world
	address string
	mu      sync.Mutex
	calls   []cloudCall
	onScale func(scaleOrder) // carries an order out; nil: orders are only noted
}

func newCloud(w *world) (*cloud, error) {
	l, err := listenOn("127.0.0.1")
	if err != nil {
		return nil, err
	}
	c := &cloud{w: w, address: l.Addr().String()}
	go func() { _ = http.Serve(l, c) }()
	return c, nil
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	token, tokenErr := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || tokenErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := cloudCall{at: time.Now(), holder: r.Header.Get("Lease-Holder"), token: token, subject: r.URL.Path, body: string(body)}
	var order scaleOrder
	if r.URL.Path == "/scale" {
		if err := json.Unmarshal(body, &order); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		call.subject = fmt.Sprintf("/scale %s %s", order.Service, order.Zone)
	}
	c.mu.Lock()
	c.calls = append(c.calls, call)
	onScale := c.onScale
	c.mu.Unlock()
	c.w.note("duty %s by %s with fencing token %d: %s", call.subject, call.holder, call.token, call.body)
	if order.Service != "" && onScale != nil {
		onScale(order)
	}
	w.WriteHeader(http.StatusOK)
}

func (c *cloud) allCalls() []cloudCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]cloudCall(nil), c.calls...)
}
