package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// longPromptParts is the number of parts of a long prompt, one token each. The head with it stays below the
	// 16,384 bytes of the configuration's maxHeaderBytes.
	longPromptParts = 3900
	// longPromptSenders is the number of connections of the tenant that sends them, at each daemon.
	longPromptSenders = 8
	// refusedPause is how long they wait after a request that was not answered with 200.
	refusedPause = 500 * time.Millisecond
	// lookupTimeout is timeoutMs of the route of the ordinary requests, lookupDeadline their clients' patience.
	lookupTimeout  = 1200 * time.Millisecond
	lookupDeadline = 2500 * time.Millisecond
	// answerMargin: the rule asks for an answer within half a second of timeoutMs.
	answerMargin = 500 * time.Millisecond
)

// longPrompt returns the Prompt-Prefix of a prompt of many short parts. The parts of two prompts differ.
func longPrompt(n int) string {
	return fmt.Sprintf("%x:1", 0x1000+n) + strings.Repeat(",1:1", longPromptParts-1)
}

// playParts has one tenant send prompts of many parts, while another one's lookups go on.
func playParts(w *world, trouble bool) (int, error) {
	for range 3 {
		if err := w.addWorker("app", 0, 20*time.Millisecond); err != nil {
			return failed, err
		}
		if err := w.addWorker("pool", 5, 10*time.Millisecond); err != nil {
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
	var ordinary, long results
	var sending sync.WaitGroup
	sending.Go(func() {
		sendSteadily(w, newClient(w, "key-small"), &ordinary, "lookup", "/lookup/x", 50*time.Millisecond, lookupDeadline, 30*time.Second)
	})
	if trouble {
		time.Sleep(6 * time.Second)
		w.note("the other tenant begins to send prompts of %d parts, %d bytes", longPromptParts, len(longPrompt(0)))
		sendLongPrompts(w, &long, 20*time.Second)
	}
	sending.Wait()
	return judgeTimeouts(w, ordinary.calls), nil
}

// sendLongPrompts sends prompts of many parts, over a few connections to each daemon, one after the other on each.
func sendLongPrompts(w *world, out *results, lasting time.Duration) {
	var sending sync.WaitGroup
	end := time.Now().Add(lasting)
	for i, d := range w.daemons {
		for s := range longPromptSenders {
			sending.Go(func() {
				c := newClient(w, "key-other")
				for n := 0; time.Now().Before(end); n++ {
					number := (i*longPromptSenders+s)*1000 + n
					result := c.send(d, http.MethodPost, "/alert/x", fmt.Sprintf("long-%d", number), 3*time.Second,
						"Model", "m", "Token-Count", fmt.Sprintf("%d,25", longPromptParts), "Prompt-Prefix", longPrompt(number))
					out.add(result)
					if result.status != http.StatusOK {
						time.Sleep(refusedPause)
					}
				}
			})
		}
	}
	sending.Wait()
}

// judgeTimeouts checks the rule CONFIG on timeoutMs: of the requests that are unanswered at their route's timeoutMs,
// eight or more, no more than a quarter may have no final answer half a second later.
func judgeTimeouts(w *world, calls []call) int {
	ok, atTimeout, later := 0, 0, 0
	for _, c := range calls {
		if c.status == http.StatusOK {
			ok++
		}
		if c.took > lookupTimeout {
			atTimeout++
			if c.took > lookupTimeout+answerMargin || c.status == 0 {
				later++
			}
		}
	}
	running := 0
	for _, d := range w.daemons {
		if d.running() {
			running++
		}
	}
	text := fmt.Sprintf("%d lookups sent, %d answered with 200; %d unanswered at timeoutMs, %d of these also half a second later; %d of %d processes run",
		len(calls), ok, atTimeout, later, running, len(w.daemons))
	w.note("%s", text)
	fmt.Println(text)
	if atTimeout >= 8 && 2*later > atTimeout {
		return broken
	}
	return held
}
