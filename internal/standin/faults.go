package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// FaultSettings says how a platform service misbehaves.
type FaultSettings struct {
	Down        bool `json:"down"`         // cut each connection before any effect
	DelayMS     int  `json:"delay_ms"`     // wait this long before each call
	DropReplies bool `json:"lose_replies"` // take effect, then cut the connection
	LoseNext    int  `json:"lose_next"`    // the same, for so many calls
	// LoseNextWrites is LoseNext for transactions of the table alone.
	LoseNextWrites int    `json:"lose_next_writes"`
	StaleReads     bool   `json:"stale_reads"` // reads may return the row's previous state
	Refuse         bool   `json:"refuse"`      // refuse each call before any effect
	Seed           uint64 `json:"seed"`        // of the choice which reads are stale
}

// Faults holds the present settings of one service. The zero value is a
// service without faults.
type Faults struct {
	mu       sync.Mutex
	settings FaultSettings
	rng      *rand.Rand
}

// Set replaces the settings.
func (f *Faults) Set(s FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = s
	f.rng = rand.New(rand.NewPCG(s.Seed, s.Seed))
}

// Settings returns the present settings.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// stale says whether this read returns an older row.
func (f *Faults) nextReadStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings.StaleReads && f.rng.IntN(2) == 0
}

// loseReply says whether the reply to this call is lost, and counts it.
func (f *Faults) dropReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.DropReplies {
		return true
	}
	if f.settings.LoseNext == 0 {
		return false
	}
	f.settings.LoseNext--
	return true
}

// loseWrite says whether the reply to this transaction is lost, and counts it.
func (f *Faults) dropTransactionReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.LoseNextWrites == 0 {
		return false
	}
	f.settings.LoseNextWrites--
	return true
}

// before applies the faults that precede a call's effect. It does not return
// when the connection is cut.
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

// after applies the faults that follow a call's effect.
func (f *Faults) applyAfter() {
	if f.dropReply() {
		abortConnection()
	}
}

// serveFaults is the handler of POST /_faults.
func (f *Faults) serveFaults(w http.ResponseWriter, r *http.Request) {
	var s FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(s)
	w.WriteHeader(http.StatusNoContent)
}

// cut tears the connection of the call that is being served.
func abortConnection() { panic(http.ErrAbortHandler) }

// wait sleeps for d or until the caller has gone.
func waitOrDisconnect(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
