package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// powerOff is how long the machines have no power.
	powerOff = 780 * time.Millisecond
	// abandonGap is the gap in a stream after which a client abandons it: four times the objective.
	abandonGap = 4 * time.Second
)

// link is the network between clients and one daemon. A machine without power does not answer:
// what goes over its open connections is lost, and new ones are not established.
type link struct {
	to      string
	address string
	mu      sync.Mutex
	dark    bool
	open    []*silentConn
}

type silentConn struct {
	mu     sync.Mutex
	silent bool
}

func newLink(to string) (*link, error) {
	l, err := listenOn("127.0.0.1")
	if err != nil {
		return nil, err
	}
	k := &link{to: to, address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

func (k *link) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	k.mu.Lock()
	dark, state := k.dark, &silentConn{}
	k.open = append(k.open, state)
	k.mu.Unlock()
	if dark {
		time.Sleep(5 * time.Second) // the client gives up before
		return
	}
	server, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	go func() { _, _ = io.Copy(server, client); _ = server.Close() }()
	buf := make([]byte, 16<<10)
	for {
		n, err := server.Read(buf)
		state.mu.Lock()
		silent := state.silent
		state.mu.Unlock()
		if silent {
			time.Sleep(20 * time.Second) // until the client has closed the connection
			return
		}
		if n > 0 {
			if _, werr := client.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// cut silences the open connections. While the machine is dark, no new ones work.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark = true
	for _, c := range k.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (k *link) restore() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dark = false
}

// restartAll takes the power of all machines for a moment while two versions of the workers serve.
func restartAll(w *world) error { return restartWith(w, 2) }

// restartAllOneVersion does the same with one version.
func restartAllOneVersion(w *world) error { return restartWith(w, 1) }

const (
	// machines is the number of daemons, which start within startSpread.
	machines    = 6
	startSpread = 300 * time.Millisecond
)

// workersOfService is the number of workers, half of each version if there are two.
const workersOfService = 4

func restartWith(w *world, versions int) error {
	w.store.set("op", "config", configuration(1, ""))
	for i := range workersOfService {
		s := w.newWorker(fmt.Sprintf("i-%03d", i+1), "pool", "z1", 64)
		s.promptMs, s.eventDelay, s.version = 0.0177, 100*time.Millisecond, fmt.Sprintf("v%d", 1+i%versions)
		if err := s.start(true); err != nil {
			return err
		}
	}
	var links []*link
	for i := range machines {
		zone := fmt.Sprintf("z%d", 1+i%3)
		d, err := w.addDaemon(fmt.Sprintf("edge-%s-%d", zone, 1+i/3), zone, false)
		if err != nil {
			return err
		}
		time.AfterFunc(rand.N(startSpread), func() { _ = d.start() })
		k, err := newLink(d.front())
		if err != nil {
			return err
		}
		links = append(links, k)
	}
	time.Sleep(startSpread + 100*time.Millisecond)
	if err := w.waitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)

	var mu sync.Mutex
	taken, wentOn, begun, asked := 0, 0, 0, 0
	var clients sync.WaitGroup
	var powerAt time.Time
	for n := range 36 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			q := talk(n, 0, "")
			q.gap = abandonGap
			a := send(links[n%machines].address, q)
			w.note("client: %s", a)
			if a.whole || a.last() == 0 {
				return
			}
			for try := 0; try < 2; try++ {
				b := send(links[(n+1)%machines].address, talk(n, a.last(), a.id))
				w.note("client took it up %.2f s after the power was lost, after event %d: %s", b.sent.Sub(powerAt).Seconds(), a.last(), b)
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
	time.Sleep(2500 * time.Millisecond)
	powerAt = time.Now()
	if w.trouble {
		for i, d := range w.daemons {
			links[i].cut()
			d.signal(syscall.SIGKILL)
		}
		time.AfterFunc(powerOff, func() {
			for _, k := range links {
				k.restore()
			}
			w.note("the power is back")
		})
	}
	time.Sleep(4 * time.Second)
	for n := range 24 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * 40 * time.Millisecond)
			a := send(links[n%machines].address, talk(100+n, 0, ""))
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
	if w.trouble && taken < 12 {
		return fmt.Errorf("only %d streams were taken up", taken)
	}
	if taken >= 12 && float64(wentOn)/float64(taken) < 0.5*float64(begun)/float64(asked) {
		w.fail("LOST: of %d streams that clients took up, %d went on; of %d new ones %d began", taken, wentOn, asked, begun)
	}
	return nil
}
