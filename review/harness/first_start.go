package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lostTime and lostEvery are the time in which answers of the store are lost, and of how many
	// writes one.
	lostTime  = 4500 * time.Millisecond
	lostEvery = 3
	// startGap is the time between the starts of two machines. All start within 0.3 s.
	startGap = 100 * time.Millisecond
	// killAt is when a daemon is killed, after the daemons were ready.
	killAt = 12 * time.Second
	// streamsCut is the number of streams that it relays then.
	streamsCut = 24
)

// firstStart loses answers of the store at the first start of the system (platform_lost), and
// kills a daemon later (node_kill). Its clients take up their streams at the others.
func firstStart(w *world) error {
	w.store.set("op", "config", configuration(1, ""))
	for i, zone := range []string{"z1", "z2", "z3"} {
		s := w.newWorker(fmt.Sprintf("i-%03d", i+1), "pool", zone, 64)
		s.promptMs, s.eventDelay = 0.0177, 100*time.Millisecond
		if err := s.start(true); err != nil {
			return err
		}
	}
	if w.trouble {
		loseAnswers(w)
	}
	for _, zone := range []string{"z1", "z2", "z3"} {
		d, err := w.addDaemon(fmt.Sprintf("edge-%s-1", zone), zone, true)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		time.Sleep(startGap)
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(killAt - 2*time.Second)
	return cutAndResume(w, w.daemons[0], w.daemons[1:])
}

// lateRoute restarts all daemons in turn (roll_term), adds the first route whose streams may be
// resumed (config_change), and kills one daemon of six later (node_kill). Its clients take up their streams
// at the others.
func lateRoute(w *world) error {
	resumable := configuration(2, "")
	w.store.set("op", "config", strings.Replace(configuration(1, ""), `"canResume":true`, `"canResume":false`, 1))
	for i, zone := range []string{"z1", "z2", "z3"} {
		s := w.newWorker(fmt.Sprintf("i-%03d", i+1), "pool", zone, 64)
		s.promptMs, s.eventDelay = 0.0177, 100*time.Millisecond
		if err := s.start(true); err != nil {
			return err
		}
	}
	for i := range 6 {
		zone := fmt.Sprintf("z%d", 1+i%3)
		d, err := w.addDaemon(fmt.Sprintf("edge-%s-%d", zone, 1+i/3), zone, false)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		time.Sleep(startGap / 2)
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for _, d := range w.daemons {
		if w.trouble {
			d.signal(syscall.SIGTERM)
		}
		time.Sleep(rollGap)
	}
	time.Sleep(10 * time.Second) // the grace and the new start
	if err := w.waitReady(20 * time.Second); err != nil {
		return err
	}
	w.store.set("op", "config", resumable)
	w.note("the store has accepted version 2 of the configuration, in which streams may be resumed")
	time.Sleep(8 * time.Second)
	return cutAndResume(w, w.daemons[0], w.daemons[1:])
}

// rollGap is the time between the stops of two daemons.
const rollGap = 2 * time.Second

// loseAnswers has the store perform one of lostEvery writes without an answer for lostTime.
func loseAnswers(w *world) {
	var mu sync.Mutex
	writes, end := 0, time.Now().Add(lostTime)
	w.store.setTreat(func(d *daemon, r *http.Request) answer {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path != "/rows-tx" || time.Now().After(end) {
			return serve
		}
		writes++
		if writes%lostEvery != 1 {
			return serve
		}
		w.note("store: write %d, of %s, is done and its answer lost", writes, d.name)
		return loseAnswer
	})
}

// cutAndResume has clients begin streams at a daemon, kills it, and has them take the streams up
// at the others, where new streams begin too. It checks the rule LOST for streams taken up.
func cutAndResume(w *world, killed *daemon, others []*daemon) error {
	var mu sync.Mutex
	taken, wentOn, begun, asked := 0, 0, 0, 0
	var clients sync.WaitGroup
	for n := range streamsCut {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			a := send(killed.front(), talk(n, 0, ""))
			w.note("client: %s", a)
			if a.whole || a.last() == 0 {
				return
			}
			for try := 0; try < 2; try++ {
				b := send(others[rand.IntN(len(others))].front(), talk(n, a.last(), a.id))
				w.note("client took it up after event %d: %s", a.last(), b)
				mu.Lock()
				if try == 0 {
					taken++
				}
				if len(b.events) > 0 {
					wentOn++
				}
				mu.Unlock()
				if len(b.events) > 0 || b.status != 503 {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		killed.signal(syscall.SIGKILL)
	}
	for n := range streamsCut {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			a := send(others[n%len(others)].front(), talk(100+n, 0, ""))
			w.note("client, new stream: %s", a)
			mu.Lock()
			defer mu.Unlock()
			asked++
			if len(a.events) > 0 {
				begun++
			}
		})
	}
	clients.Wait()
	w.note("%d streams were taken up, %d went on; of %d new streams %d began", taken, wentOn, asked, begun)
	if !w.trouble && taken == 0 {
		return nil
	}
	if taken < 12 {
		return fmt.Errorf("only %d streams were taken up", taken)
	}
	if float64(wentOn)/float64(taken) < 0.5*float64(begun)/float64(asked) {
		w.fail("LOST: of %d streams that clients took up, %d went on; of %d new ones %d began", taken, wentOn, asked, begun)
	}
	return nil
}

func talk(n, after int, resumes string) request {
	return request{
		method: "POST", path: "/talk/" + strconv.Itoa(n), key: "k1", deadline: 15 * time.Second,
		tokens: "2000,380", prefix: fmt.Sprintf("%x:2000", 5000+n), after: after, resumes: resumes, gap: 4 * time.Second,
	}
}
