package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// leavesIn is the time from the notice of a reclaim until the worker is gone.
	leavesIn = 3 * time.Second
	// drainTime is drainMs of the settings.
	drainTime = 2 * time.Second
)

// leavingWorker takes a worker away (scale_in, reclaim) while the store is down. The worker says in
// its answers that it leaves.
func leavingWorker(w *world) error {
	w.store.set("op", "config", configuration(1, ""))
	var workers []*worker
	for i, zone := range []string{"z1", "z2", "z3"} {
		s := w.newWorker([]string{"i-001", "i-002", "i-003"}[i], "app", zone, 64)
		s.plainWork, s.spot = 150*time.Millisecond, true
		if err := s.start(true); err != nil {
			return err
		}
		workers = append(workers, s)
	}
	for _, zone := range []string{"z1", "z2", "z3"} {
		d, err := w.addDaemon("edge-"+zone+"-1", zone, true)
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
	time.Sleep(4 * time.Second)
	leaving := workers[0]
	var mu sync.Mutex
	var answers []*attempt
	var clients sync.WaitGroup
	stop := time.Now().Add(7 * time.Second)
	for n := range 30 {
		clients.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				a := send(w.daemons[(n+i)%3].front(), request{method: "POST", path: "/order/x", key: "k1", deadline: 2500 * time.Millisecond})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(50*time.Millisecond + rand.N(100*time.Millisecond))
			}
		})
	}
	time.Sleep(time.Second)
	down := time.Now().Add(outage)
	if w.trouble {
		w.store.setTreat(func(*daemon, *http.Request) answer {
			if time.Now().Before(down) {
				return refuse
			}
			return serve
		})
		w.note("the store is down for %v", outage)
	}
	time.Sleep(200 * time.Millisecond)
	noticeAt := time.Now()
	leaving.mu.Lock()
	leaving.leaving = true
	leaving.mu.Unlock()
	w.note("worker %s is told that it is taken away in %v, and says so in its answers", leaving.id, leavesIn)
	if !w.trouble {
		leaving.setState("draining")
	}
	time.Sleep(leavesIn)
	leaving.exit()
	if !w.trouble {
		w.store.remove("servers", leaving.id)
	}
	clients.Wait()
	told := map[string]time.Time{} // daemons that have passed on an answer with Server-Leaving
	for _, a := range answers {
		if a.leaving && (told[a.to].IsZero() || a.answered.Before(told[a.to])) {
			told[a.to] = a.answered
		}
	}
	late, lost := 0, 0
	for _, a := range answers {
		at := told[a.to]
		if at.IsZero() || a.sent.Sub(at) <= drainTime || len(leaving.runsOf(a.id)) == 0 {
			continue
		}
		late++
		if a.status != 200 {
			lost++
		}
		w.note("%s was sent %.2f s after %s had passed on an answer with Server-Leaving, and ran at %s: status %d", a.id, a.sent.Sub(at).Seconds(), a.to, leaving.id, a.status)
	}
	w.note("notice at %.3f; %d requests reached the worker too late, %d of them got no success", noticeAt.Sub(w.begun).Seconds(), late, lost)
	if late > 0 {
		w.fail("DRAIN: %d requests reached a worker later than drainMs after their daemon had passed on that it leaves; %d of them ran and were lost", late, lost)
	}
	return nil
}
