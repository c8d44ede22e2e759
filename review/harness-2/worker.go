package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a sound worker. On paths below /alert/ it writes a stream of events, on others a body.
type worker struct {
	id, service, address string
	events               int
	gap                  time.Duration // between two events, and before a plain answer
	world                *world

	mu   sync.Mutex
	runs map[string]int // by Attempt-Id
}

func (k *worker) entry() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":64,"state":"ready","coldMs":0,"seq":1,"born":%d}`,
		k.service, k.address, time.Now().UnixMilli())
}

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", k.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.mu.Lock()
	k.runs[id]++
	k.mu.Unlock()
	w.Header().Set("Server-Signature", k.id+"."+id)
	if k.events == 0 {
		time.Sleep(k.gap)
		_, _ = fmt.Fprintf(w, "%s %s", r.Method, r.RequestURI)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= k.events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(k.gap):
		case <-r.Context().Done():
			return
		}
	}
}
