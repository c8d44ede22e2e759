package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	scenarios["long-ids"] = longIDs
}

// residentMB returns the memory of a process, in MB; 0: it has ended.
func (g *gatewayProcess) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// longIDs has clients of one tenant send short streams whose ids are long, but within the limit of the
// head. Without the trouble they send as many with ids of the usual length.
func longIDs(c *rig) error {
	workers, err := c.usualFleet(1)
	if err != nil {
		return err
	}
	for _, w := range workers {
		w.first, w.gap, w.events = 0, 0, 1
		w.forgets = true
	}
	const (
		clients   = 24
		length    = 80 * time.Second
		limitMB   = 284
		idBytes   = 15500 // of maxHeaderBytes = 16384
		usual     = 16
		mostCalls = 32000
	)
	g := c.gateways[0]
	bytes := usual
	if c.trouble {
		bytes = idBytes
	}
	var sent, served atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(length)
	var over atomic.Bool
	for n := range clients {
		all.Go(func() {
			conn, err := dial(g.front)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for i := 0; time.Now().Before(end) && !over.Load() && sent.Load() < mostCalls; i++ {
				id := fmt.Sprintf("%04x%08x", n, i)
				q := call{gateway: g, id: id + strings.Repeat("a", bytes-len(id)), path: "/alert/x", key: "k1", deadline: 119 * time.Second, body: "hi", header: map[string]string{"Token-Count": "10,5", "Model": "m", "Prompt-Prefix": "a1:10"}}
				sent.Add(1)
				r := q.sendOn(context.Background(), conn, reader)
				if r.status == http.StatusOK && r.complete {
					served.Add(1)
				} else if i%50 == 0 {
					c.logf("%s..: %s", id, r)
				}
				if r.err != nil {
					return
				}
				if r.status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	most := 0
	for begun := time.Now(); time.Now().Before(end) && sent.Load() < mostCalls; time.Sleep(250 * time.Millisecond) {
		mb := g.residentMB()
		most = max(most, mb)
		if time.Since(begun)%time.Second < 250*time.Millisecond {
			q := call{gateway: g, id: c.nextID("o"), path: "/look/x", method: http.MethodGet, key: "k2", deadline: 2500 * time.Millisecond}
			c.logf("%d requests sent, %d served; the process takes %d MB; an ordinary call: %s", sent.Load(), served.Load(), mb, q.send(context.Background()))
		}
		if mb > limitMB || !g.running() {
			over.Store(true)
			break
		}
	}
	all.Wait()
	c.logf("%d requests sent, %d served; the process took %d MB at most, its limit is %d MB; it runs: %v", sent.Load(), served.Load(), most, limitMB, g.running())
	if most > limitMB {
		c.breakf("the process took %d MB, more than the %d MB of its machine, at which it is killed", most, limitMB)
	}
	if !g.running() {
		c.breakf("the process has ended by itself")
	}
	return nil
}
