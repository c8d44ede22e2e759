package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slowFactor and slowTime are the strength and the length of the store's slowness.
	slowFactor = 60
	slowTime   = 4500 * time.Millisecond
	// storeRead and storeWrite are the usual times of the store's answers.
	storeRead  = 4 * time.Millisecond
	storeWrite = 8 * time.Millisecond
	// poolWorkers is the number of workers, of which one is replaced.
	poolWorkers = 9
	// replacedDown is how long that one is down, and replacedLife how long its next process lives.
	replacedDown = 300 * time.Millisecond
	replacedLife = 1200 * time.Millisecond
	// burstStreams begin within burstTime of the start of its next process: 105 a second, as at the site.
	burstStreams = 60
	burstTime    = 570 * time.Millisecond
	// streamEvents is the number of events of a stream.
	streamEvents = 35
)

// slowStore is the store with the delays of its answers.
type slowStore struct {
	*store
	mu    sync.Mutex
	until time.Time // it is slow until then
}

func (s *slowStore) factor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.until) {
		return slowFactor
	}
	return 1
}

// ServeHTTP answers late: a write is done at the end of its delay, and a read is of the moment at its begin.
func (s *slowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/rows-tx" {
		time.Sleep(storeWrite * s.factor())
		s.store.ServeHTTP(w, r)
		return
	}
	s.store.ServeHTTP(&lateWriter{ResponseWriter: w, wait: func() { time.Sleep(storeRead * s.factor()) }}, r)
}

// lateWriter waits before the head of an answer.
type lateWriter struct {
	http.ResponseWriter
	wait func()
}

func (l *lateWriter) WriteHeader(status int) {
	l.wait()
	l.ResponseWriter.WriteHeader(status)
}

// engine is a worker that may start again at its address, with another version.
type engine struct {
	id, address string
	store       *slowStore

	mu      sync.Mutex
	version string
	born    int64
	server  *http.Server
}

func (e *engine) start(version string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.version, e.born = l.Addr().String(), version, time.Now().UnixMilli()
	e.server = &http.Server{Handler: e.handler(version), IdleTimeout: 5 * time.Second}
	server := e.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// register writes the entry of the process that has started, at once.
func (e *engine) register() {
	e.mu.Lock()
	entry := fmt.Sprintf(`{"service":"pool","address":%q,"zone":"z1","version":%q,"slots":64,"state":"ready","coldMs":0,"seq":1,"born":%d}`, e.address, e.version, e.born)
	e.mu.Unlock()
	time.Sleep(storeWrite * e.store.factor())
	e.store.put("servers", e.id, entry)
}

func (e *engine) end() { _ = e.server.Close() }

func (e *engine) handler(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		w.Header().Set("Attempt-Id", id)
		w.Header().Set("Keep-Alive", "timeout=5")
		if target := r.Header.Get("Target-Instance"); target != "" && target != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Server-Signature", e.id+"."+version+"."+id)
		w.Header().Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		time.Sleep(62 * time.Millisecond)
		for n := after + 1; n <= streamEvents; n++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", n, version, e.id)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(100 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// stream sends one stream and returns the versions of the workers that wrote its events, in order.
func stream(w *world, d *daemon, id, prefix string) (versions []string, events int, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+"/alert/x", nil)
	if err != nil {
		return nil, 0, false
	}
	r.Host = "h"
	for name, value := range map[string]string{"Attempt-Id": id, "X-Api-Key": "key-small", "Model": "m", "Token-Count": "1400,175", "Prompt-Prefix": prefix, "Request-Deadline-Ms": "15000"} {
		r.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		w.note("%s: %v", id, err)
		return nil, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		events++
		if version, _, _ := strings.Cut(text, " "); len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	w.note("%s at %s: status %d, %d events of %v, end %v", id, d.name, resp.StatusCode, events, versions, lines.Err())
	return versions, events, lines.Err() == nil
}

// playReborn replaces a worker that runs nothing by one of another version, under its id and at its address, while
// the store is slow. The next process crashes a second later.
func playReborn(w *world, trouble bool) (int, error) {
	slow := &slowStore{store: w.store}
	w.storeHandler = slow
	var engines []*engine
	for i := range poolWorkers {
		e := &engine{id: fmt.Sprintf("i-pool-%d", i), address: "127.0.0.1:0", store: slow}
		if err := e.start("v1"); err != nil {
			return failed, err
		}
		e.register()
		engines = append(engines, e)
	}
	w.store.put("op", "config", strings.Replace(configuration(), `"timeoutMs":3000`, `"timeoutMs":15000`, 1))
	if err := w.startDaemons(3); err != nil {
		return failed, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	mixed, streams := 0, 0
	var clients sync.WaitGroup
	send := func(name string, n int, prefix string) {
		clients.Go(func() {
			id := fmt.Sprintf("%s-%d", name, n)
			versions, _, _ := stream(w, w.daemons[n%len(w.daemons)], id, prefix)
			mu.Lock()
			defer mu.Unlock()
			streams++
			if len(versions) > 1 {
				mixed++
				w.note("%s holds events of %v", id, versions)
			}
		})
	}
	// A few streams with a common beginning go to one worker. The others run nothing.
	stop := make(chan struct{})
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
				send("steady", n, fmt.Sprintf("abc1:1000,%x:400", 0x7000+n))
			}
		}
	})
	time.Sleep(9 * time.Second)
	if trouble {
		slow.mu.Lock()
		slow.until = time.Now().Add(slowTime)
		slow.mu.Unlock()
		w.note("the store is slow for %v", slowTime)
	}
	time.Sleep(700 * time.Millisecond)
	replaced := engines[poolWorkers-1]
	w.note("%s ends", replaced.id)
	replaced.end()
	time.Sleep(replacedDown)
	if err := replaced.start("v2"); err != nil {
		return failed, err
	}
	w.note("%s starts with version v2", replaced.id)
	crash := time.After(replacedLife)
	clients.Go(func() {
		replaced.register()
		w.note("the entry of %s is in the store", replaced.id)
	})
	for n := range burstStreams {
		send("burst", n, fmt.Sprintf("%x:1400", 0x9000+n))
		time.Sleep(burstTime / burstStreams)
	}
	<-crash
	replaced.end()
	w.note("%s crashes", replaced.id)
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	text := fmt.Sprintf("%d of %d streams hold events of two versions, 2 allowed", mixed, streams)
	w.note("%s", text)
	fmt.Println(text)
	if mixed > 2 {
		return broken, nil
	}
	return held, nil
}
