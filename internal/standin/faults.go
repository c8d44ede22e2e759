package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// FaultSettings selects the faults that a platform service (table, object store or
// cloud) injects.
type FaultSettings struct {
	Down            bool `json:"down"`         // abort each connection before the call takes effect
	DelayMS         int  `json:"delay_ms"`     // delay before each call
	DropReplies     bool `json:"lose_replies"` // apply each call, then abort its connection instead of replying
	DropNextReplies int  `json:"lose_next"`    // number of coming calls whose reply is lost in this way
	// DropNextTransactionReplies is the number of coming table transactions that take
	// effect but whose reply is lost. Other calls aren't counted.
	DropNextTransactionReplies int    `json:"lose_next_writes"`
	StaleReads                 bool   `json:"stale_reads"` // half of the table's reads without ConsistentRead return the previous state
	Refuse                     bool   `json:"refuse"`      // reject calls before they take effect; the cloud rejects only launches
	Seed                       uint64 `json:"seed"`        // seed of the random choice of stale reads
}

// Faults holds the fault settings of one service. The zero value injects no faults.
type Faults struct {
	mu       sync.Mutex
	settings FaultSettings
	rng      *rand.Rand
}

// Set replaces the settings and restarts the random choice of stale reads from the
// new seed.
func (f *Faults) Set(s FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = s
	f.rng = rand.New(rand.NewPCG(s.Seed, s.Seed))
}

// Settings returns the current settings, in which the counters of lost replies are
// those that remain.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// nextReadStale decides at random whether a read returns the previous state.
func (f *Faults) nextReadStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings.StaleReads && f.rng.IntN(2) == 0
}

// dropReply reports whether the reply to the current call is lost, and counts it
// against the number of replies to lose.
func (f *Faults) dropReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.DropReplies {
		return true
	}
	if f.settings.DropNextReplies == 0 {
		return false
	}
	f.settings.DropNextReplies--
	return true
}

// dropTransactionReply reports whether the reply to the current table transaction is
// lost, and counts it against the number of transaction replies to lose.
func (f *Faults) dropTransactionReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.DropNextTransactionReplies == 0 {
		return false
	}
	f.settings.DropNextTransactionReplies--
	return true
}

// applyBefore applies the faults that precede a call's effect. It panics to abort
// the connection when the service is down; otherwise it returns whether to reject
// the call.
func (f *Faults) applyBefore(r *http.Request) (refuse bool) {
	s := f.Settings()
	if s.DelayMS > 0 {
		waitOrDisconnect(r, time.Duration(s.DelayMS)*time.Millisecond)
	}
	if s.Down {
		abortConnection()
	}
	return s.Refuse
}

// applyAfter applies the faults that follow a call's effect. It panics to abort the
// connection when the reply is lost.
func (f *Faults) applyAfter() {
	if f.dropReply() {
		abortConnection()
	}
}

// serveFaults handles POST /_faults, which replaces the settings.
func (f *Faults) serveFaults(w http.ResponseWriter, r *http.Request) {
	var s FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(s)
	w.WriteHeader(http.StatusNoContent)
}

// abortConnection closes the connection of the current call without a response. It
// panics, so it doesn't return.
func abortConnection() { panic(http.ErrAbortHandler) }

// waitOrDisconnect waits for d or until the client has disconnected.
func waitOrDisconnect(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

// writeJSON responds with v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
