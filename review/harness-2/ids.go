package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longIDBytes is the length of the ids. Heads with them stay below the 16,384 bytes of maxHeaderBytes.
	longIDBytes = 15000
	// longIDSenders is the number of connections to each daemon on which requests with long ids follow one another.
	longIDSenders = 12
	// longIDPause is the time between an answer and the next request on a connection.
	longIDPause = 10 * time.Millisecond
	// longIDTime is how long they go on.
	longIDTime = 95 * time.Second
)

// longIDRequest returns a stream's request with a long id.
func longIDRequest(name string) string {
	return fmt.Sprintf("POST /alert/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: key-other\r\nModel: m\r\nToken-Count: 1,1\r\nPrompt-Prefix: 1:1\r\nRequest-Deadline-Ms: 120000\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
		name+strings.Repeat("x", longIDBytes-len(name)))
}

// sendLongIDs sends streams with long ids to a daemon, over one connection after the other, and counts the answers.
func sendLongIDs(d *daemon, name string, end time.Time, answered *atomic.Int64) {
	for c := 0; time.Now().Before(end); c++ {
		conn, err := net.DialTimeout("tcp", d.front, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		answers := bufio.NewReader(conn)
		for n := 0; time.Now().Before(end); n++ {
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			if _, err := io.WriteString(conn, longIDRequest(fmt.Sprintf("%s-%d-%d-", name, c, n))); err != nil {
				break
			}
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.Close {
				break
			}
			if resp.StatusCode != http.StatusOK {
				time.Sleep(500 * time.Millisecond)
				continue
			}
			answered.Add(1)
			time.Sleep(longIDPause)
		}
		_ = conn.Close()
	}
}

// playIDs has a tenant send streams with long ids.
func playIDs(w *world, trouble bool) (int, error) {
	w.quiet = true
	for range 3 {
		if err := w.addWorker("app", 0, 20*time.Millisecond); err != nil {
			return failed, err
		}
		if err := w.addWorker("pool", 1, time.Millisecond); err != nil {
			return failed, err
		}
	}
	w.store.put("op", "config", configuration())
	if err := w.startDaemons(3); err != nil {
		return failed, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	kills, highest := make([]int, len(w.daemons)), make([]int, len(w.daemons))
	stop := make(chan struct{})
	var watching, sending sync.WaitGroup
	for i, d := range w.daemons {
		watching.Go(func() { watchMemory(w, d, &kills[i], &highest[i], stop) })
	}
	var ordinary results
	sending.Go(func() {
		sendSteadily(w, newClient(w, "key-small"), &ordinary, "lookup", "/lookup/x", 50*time.Millisecond, lookupDeadline, longIDTime)
	})
	var answered atomic.Int64
	if trouble {
		end := time.Now().Add(longIDTime)
		for i, d := range w.daemons {
			for s := range longIDSenders {
				sending.Go(func() { sendLongIDs(d, fmt.Sprintf("id-%d-%d", i, s), end, &answered) })
			}
		}
	}
	sending.Wait()
	close(stop)
	watching.Wait()
	w.note("%d streams with long ids were answered with 200", answered.Load())
	return judgeMemory(w, ordinary.calls, kills, highest), nil
}
