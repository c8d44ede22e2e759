package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// outage is how long the store is down.
	outage = 4500 * time.Millisecond
	// workerDown is how long a worker is down when it is replaced by its next version.
	workerDown = 400 * time.Millisecond
	// upgradeGap is the time between the replacements of two workers, one at a time.
	upgradeGap = time.Second
	// workerCount is the number of workers, of which upgraded are replaced.
	workerCount = 9
	upgraded    = 4
)

// upgradeInOutage replaces some workers of a service by those of the next version, one after the
// other, each under its ID and at its address, while the store is down. Streams that the last one
// ran are continued elsewhere.
func upgradeInOutage(w *world) error {
	w.store.set("op", "config", configuration(1, ""))
	var workers []*worker
	for i := range workerCount {
		s := w.newWorker(fmt.Sprintf("i-%03d", i+1), "pool", fmt.Sprintf("z%d", 1+i%3), 64)
		s.promptMs, s.eventDelay = 0.0177, 100*time.Millisecond
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
	time.Sleep(3 * time.Second)

	// Briefings share the first part of their prompts, so that they go to the worker that has it.
	var mu sync.Mutex
	var answers []*attempt
	var clients sync.WaitGroup
	stop := time.Now().Add(16 * time.Second)
	clients.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			to := w.daemons[n%3].front()
			clients.Go(func() {
				q := talk(n, 0, "")
				q.tokens, q.prefix = "6000,380", fmt.Sprintf("abc1:5400,%x:600", 7000+n)
				a := send(to, q)
				w.note("client: %s, versions %v", a, distinct(a.versions))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
			time.Sleep(250 * time.Millisecond)
		}
	})
	time.Sleep(8 * time.Second)

	busiest := workers[0]
	for _, s := range workers {
		w.note("worker %s runs %d streams", s.id, s.running())
		if s.running() > busiest.running() {
			busiest = s
		}
	}
	if w.trouble {
		down := time.Now().Add(outage)
		w.store.setTreat(func(*daemon, *http.Request) answer {
			if time.Now().Before(down) {
				return refuse
			}
			return serve
		})
		w.note("the store is down for %v", outage)
		time.AfterFunc(outage, func() {
			for _, s := range workers {
				s.register()
			}
			w.note("the store is back and the workers have written their entries")
		})
		time.Sleep(300 * time.Millisecond)
	}
	for _, s := range append(others(workers, busiest)[:upgraded-1], busiest) {
		next := time.Now().Add(upgradeGap)
		if err := upgrade(w, s, !w.trouble); err != nil {
			return err
		}
		time.Sleep(time.Until(next))
	}
	clients.Wait()
	mixed := 0
	for _, a := range answers {
		if len(distinct(a.versions)) > 1 {
			mixed++
			w.note("%s holds events of versions %v", a.id, distinct(a.versions))
		}
	}
	w.note("%d of %d streams hold events of two versions", mixed, len(answers))
	if mixed > 2 {
		w.fail("ORDER: %d streams hold events of workers of two versions", mixed)
	}
	return nil
}

func upgrade(w *world, s *worker, register bool) error {
	s.exit()
	time.Sleep(workerDown)
	s.mu.Lock()
	s.version = "v2"
	s.mu.Unlock()
	return s.start(register)
}

func others(list []*worker, s *worker) []*worker {
	var out []*worker
	for _, o := range list {
		if o != s {
			out = append(out, o)
		}
	}
	return out
}

func distinct(list []string) []string {
	var out []string
	for _, s := range list {
		if len(out) == 0 || out[len(out)-1] != s {
			out = append(out, s)
		}
	}
	return out
}
