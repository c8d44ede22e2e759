package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	grace = 8 * time.Second
	// earlySend is how long after SIGTERM a request may be sent that is not counted if its worker
	// is still at work in the last sixth of the grace.
	earlySend = 3 * time.Second
	// clientCount is the number of clients. One in patientShare keeps the list of addresses for
	// three times its time to live.
	clientCount  = 320
	patientShare = 4
	thinkTime    = 400 * time.Millisecond
	// firstStop and stopGap are when the first daemon is stopped, and the time to the next one.
	firstStop = 12 * time.Second
	stopGap   = 11 * time.Second
	// rounds is how often each daemon is stopped.
	rounds = 2
	// maxTokens is the maximum number of output tokens of all requests. One answer in longShare
	// is nearly as long, the others are short.
	maxTokens = 570
	longShare = 12
)

// stopUnderLoad stops the daemons in turn (roll_term) while clients ask for streams whose length the model
// decides.
func stopUnderLoad(w *world) error {
	w.store.set("op", "config", configuration(1, ""))
	var workers []*worker
	for i, zone := range []string{"z1", "z2", "z3", "z1", "z2"} {
		s := w.newWorker(fmt.Sprintf("i-%03d", i+1), "pool", zone, 64)
		s.promptMs, s.eventDelay, s.length = 0.0177, 40*time.Millisecond, answerLength
		if err := s.start(true); err != nil {
			return err
		}
		workers = append(workers, s)
	}
	for _, zone := range []string{"z1", "z2", "z3"} {
		d, err := w.addDaemon(fmt.Sprintf("edge-%s-1", zone), zone, true)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return err
	}
	var mu sync.Mutex
	var answers []*attempt
	var clients sync.WaitGroup
	begun := time.Now()
	end := begun.Add(firstStop + 3*rounds*stopGap)
	for n := range clientCount {
		clients.Go(func() {
			c := &listClient{w: w, patient: n%patientShare == 0}
			time.Sleep(rand.N(6 * time.Second)) // so that their lists end at different times
			for time.Now().Before(end) {
				to := c.address()
				if to == "" {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				q := talk(n, 0, "")
				q.tokens, q.prefix = fmt.Sprintf("2000,%d", maxTokens), fmt.Sprintf("abc1:1500,%x:500", 1+rand.Uint32())
				a := send(to, q)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(thinkTime/2 + rand.N(thinkTime))
			}
		})
	}
	stops := make([]time.Time, rounds*len(w.daemons))
	for i := range stops {
		d := w.daemons[i%len(w.daemons)]
		time.Sleep(time.Until(begun.Add(firstStop + time.Duration(i)*stopGap)))
		stops[i] = time.Now()
		if w.trouble {
			d.signal(syscall.SIGTERM)
		}
	}
	clients.Wait()
	for i, at := range stops {
		checkStop(w, w.daemons[i%len(w.daemons)], at, answers, workers)
	}
	w.note("%d requests in all", len(answers))
	return nil
}

// checkStop checks the rule LOST for the requests that were sent to a daemon around its stop.
func checkStop(w *world, stopped *daemon, stoppedAt time.Time, answers []*attempt, workers []*worker) {
	for _, a := range answers {
		after := a.sent.Sub(stoppedAt)
		if a.to != stopped.front() || after < 0 || after >= grace+time.Second {
			continue
		}
		w.note("client, sent %.2f s after the time of SIGTERM, ended at %.2f s: %s", after.Seconds(), a.answered.Sub(stoppedAt).Seconds(), a)
		if a.whole {
			continue
		}
		var runs []run
		for _, s := range workers {
			runs = append(runs, s.runsOf(a.id)...)
		}
		if len(runs) == 0 {
			continue // not passed on
		}
		last := runs[len(runs)-1]
		if after <= earlySend && last.ended.Sub(stoppedAt) >= grace*5/6 {
			w.note("%s is not counted: sent %.2f s after SIGTERM, its worker was at work in the last sixth of the grace", a.id, after.Seconds())
			continue
		}
		w.fail("LOST: %s was sent %.2f s after SIGTERM, ran, brought %d events and was cut %.2f s after SIGTERM", a.id, after.Seconds(), len(a.events), a.answered.Sub(stoppedAt).Seconds())
	}
}

// answerLength returns the number of tokens of an answer, up to the most that the request allows.
func answerLength(id string, most int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	n := h.Sum32()
	if n%longShare == 0 {
		return most - int(n>>8)%(most/12)
	}
	return 25 + int(n>>8)%75
}

// listClient is a client that asks for addresses and keeps them for some time.
type listClient struct {
	w         *world
	patient   bool
	addresses []string
	until     time.Time
}

// address returns the address to connect to, "" if there is none.
func (c *listClient) address() string {
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

func (c *listClient) resolve() {
	d := c.w.daemons[rand.IntN(len(c.w.daemons))]
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=r&zone=%s", d.ip, c.w.ports.directory, host, d.zone))
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&list) != nil || len(list.Addresses) == 0 {
		return
	}
	ttl := time.Duration(list.TTL * float64(time.Second))
	if c.patient {
		ttl *= 3
	}
	c.addresses, c.until = list.Addresses, time.Now().Add(ttl)
}
