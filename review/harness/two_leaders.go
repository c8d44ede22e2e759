package main

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// cutTime is how long the new machine is partitioned from the other machines of the system.
	cutTime = 12 * time.Second
	// joinAfter is the earliest time at which the new machine starts, and joinPhase the time after
	// the beginning of a usage window at which it does. Its first calls follow 2.6 s later, which is
	// soon after the former holder has reported the window before.
	joinAfter = 15500 * time.Millisecond
	joinPhase = 4900 * time.Millisecond
	windowS   = 5 * time.Second
	// The traffic follows a wave, as the site's does: meanRate requests a second, with swing, from
	// its lowest point on.
	meanRate   = 57.0
	swing      = 0.3
	period     = 40.0 // s
	waveBegins = 10.0 // s
	// leaseMs and the site's other bounds are in the settings.
	leaseTime = 3 * time.Second
)

// twoLeaders adds a machine that is partitioned from the other machines of the system (node_cut),
// but not from the store and the platform, while the traffic grows.
func twoLeaders(w *world) error {
	w.store.set("op", "config", configuration(1, `,"scaleBounds":{"min":1,"max":8,"bootS":4,"spotPrice":0.18,"zonePrices":{"z1":1.0,"z2":0.8,"z3":1.25}}`))
	fleet := newWorkerFleet(w)
	for _, zone := range []string{"z1", "z2", "z3"} {
		for _, spot := range []bool{false, true} {
			if err := fleet.add(zone, spot); err != nil {
				return err
			}
		}
	}
	w.cloud.onScale = fleet.order
	for _, zone := range []string{"z1", "z2", "z3"} {
		d, err := w.addDaemon(fmt.Sprintf("edge-%s-1", zone), zone, false)
		if err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	if err := w.waitReady(10 * time.Second); err != nil {
		return err
	}
	begun := time.Now()
	joinAt := begun.Add(joinAfter).Truncate(windowS).Add(joinPhase)
	if joinAt.Before(begun.Add(joinAfter)) {
		joinAt = joinAt.Add(windowS)
	}
	end := joinAt.Add(cutTime)
	var clients sync.WaitGroup
	clients.Go(func() { growingTraffic(w, append([]*daemon(nil), w.daemons...), begun, end) })
	time.Sleep(time.Until(joinAt))
	added, err := w.addDaemon("edge-z1-2", "z1", false)
	if err != nil {
		return err
	}
	if w.trouble {
		if err := cutFromPeers(w, added); err != nil {
			return err
		}
		w.note("from now on %s is partitioned from the other machines of the system", added.name)
	}
	if err := added.start(); err != nil {
		return err
	}
	time.Sleep(time.Until(end))
	clients.Wait()
	checkOneHolder(w)
	return nil
}

// growingTraffic sends streams to the daemons, more and more of them.
func growingTraffic(w *world, daemons []*daemon, begun, end time.Time) {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; time.Now().Before(end); n++ {
		to, prompt := daemons[n%len(daemons)].front(), 1000+rand.IntN(17000)
		all.Go(func() {
			a := send(to, request{method: "POST", path: "/talk/x", key: "k1", deadline: 15 * time.Second, tokens: fmt.Sprintf("%d,60", prompt), prefix: fmt.Sprintf("%x:%d", 1000+n, prompt)})
			if !a.whole || a.status != 200 {
				w.note("client: %s", a)
			}
		})
		rate := meanRate * (1 - swing*math.Cos(2*math.Pi*max(time.Since(begun).Seconds()-waveBegins, 0)/period))
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

// cutFromPeers has a machine and the others read each other's address as that of a socket which
// drops all that it gets. The program has no other place for a proxy between two machines.
func cutFromPeers(w *world, cut *daemon) error {
	sink, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.view = func(d *daemon, rows []row) []row {
		out := append([]row(nil), rows...)
		for i := range out {
			if out[i].Part != "daemons" {
				continue
			}
			for _, other := range w.daemons {
				address := []byte(fmt.Sprintf("%s:%d", other.ip, w.ports.peers))
				if d == cut && other != cut || d != cut && other == cut {
					out[i].Value = bytes.ReplaceAll(out[i].Value, address, []byte(sink.LocalAddr().String()))
				}
			}
		}
		return out
	}
	return nil
}

// checkOneHolder checks the rule ONE for a platform that does not check fences.
func checkOneHolder(w *world) {
	highest := map[string]cloudCall{}
	last := map[string][]cloudCall{}
	for _, c := range w.cloud.allCalls() {
		if h, ok := highest[c.subject]; ok && c.token < h.token {
			w.fail("%s: %s called with fencing token %d, %v after %s had called with %d", c.subject, c.holder, c.token, c.at.Sub(h.at).Round(time.Millisecond), h.holder, h.token)
		} else {
			highest[c.subject] = c
		}
		list := append(last[c.subject], c)
		if n := len(list); n > 1 && list[n-1].holder == list[n-2].holder {
			list = list[:n-1]
			list[n-2] = c
		}
		if n := len(list); n > 2 && list[n-1].holder == list[n-3].holder && list[n-1].at.Sub(list[n-3].at) < leaseTime {
			w.fail("%s: %s, %s and %s again acted within %v", c.subject, list[n-3].holder, list[n-2].holder, list[n-1].holder, list[n-1].at.Sub(list[n-3].at).Round(time.Millisecond))
		}
		last[c.subject] = list
	}
}

// workerFleet carries out the orders of workers.
type workerFleet struct {
	w       *world
	mu      sync.Mutex
	workers []*worker
	desired map[string]int
	count   int
}

func newWorkerFleet(w *world) *workerFleet { return &workerFleet{w: w, desired: map[string]int{}} }

// add starts a worker.
func (f *workerFleet) add(zone string, spot bool) error {
	f.mu.Lock()
	f.count++
	s := f.w.newWorker(fmt.Sprintf("i-%03d", f.count), "pool", zone, 64)
	s.spot, s.promptMs, s.eventDelay = spot, 0.0177, 19*time.Millisecond
	f.workers = append(f.workers, s)
	f.mu.Unlock()
	return s.start(true)
}

// order carries out an order: new workers serve after bootS, those that are too many drain.
func (f *workerFleet) order(o scaleOrder) {
	f.mu.Lock()
	var present []*worker
	for _, s := range f.workers {
		if s.zone == o.Zone && s.spot == o.Spot && s.state == "ready" {
			present = append(present, s)
		}
	}
	key := fmt.Sprint(o.Zone, o.Spot)
	starting := max(f.desired[key]-len(present), 0)
	f.desired[key] = o.Desired
	f.mu.Unlock()
	for n := len(present) + starting; n < o.Desired; n++ {
		time.AfterFunc(4*time.Second, func() { _ = f.add(o.Zone, o.Spot) })
	}
	for n := len(present); n > o.Desired; n-- {
		s := present[n-1]
		s.setState("draining")
		time.AfterFunc(2500*time.Millisecond, func() {
			for end := time.Now().Add(4 * time.Second); s.running() > 0 && time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
			}
			f.w.store.remove("servers", s.id)
			s.exit()
		})
	}
}
