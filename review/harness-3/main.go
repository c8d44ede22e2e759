// Command harness-3 runs the scripted cases of the third review: it starts gateways as separate
// processes beside stand-ins of the platform's store, its duty calls, workers and clients, all on
// loopback addresses. It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// scenario is one case. It returns an error if it could not run.
type scenario func(c *rig) error

var scenarios = map[string]scenario{}

func main() {
	if id, file, ok := strings.Cut(os.Getenv(workerVariable), ","); ok {
		os.Exit(runWorker(id, file))
	}
	if len(os.Args) != 2 || scenarios[os.Args[1]] == nil {
		var names []string
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE, one of", strings.Join(names, ", "))
		os.Exit(2)
	}
	os.Exit(runCase(scenarios[os.Args[1]]))
}

func runCase(s scenario) (code int) {
	c, err := newRig()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	defer c.close()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(longest):
		}
		c.close()
		os.Exit(2)
	}()
	if err := s(c); err != nil {
		c.logf("the case could not run: %v", err)
		return 2
	}
	if len(c.broken) > 0 {
		for _, b := range c.broken {
			c.logf("BROKEN: %s", b)
		}
		return 1
	}
	c.logf("the rule held")
	return 0
}
