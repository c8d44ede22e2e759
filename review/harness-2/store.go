package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

type transaction struct {
	Expected []row `json:"expectedRev"`
	Set      []row `json:"setKeys"`
	Remove   []row `json:"remove"`
}

// store is a stand-in of the platform's metadata store. It loses nothing and answers at once.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	start   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), start: time.Now()}
}

// answer returns an answer without rows. The caller holds the lock.
func (s *store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: s.version, NowMs: time.Since(s.start).Milliseconds()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, answer := s.handle(r)
	body, err := json.Marshal(answer)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) handle(r *http.Request) (int, rowsAnswer) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		return http.StatusOK, s.get(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit)
	case "/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		return s.feed(r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/rows-tx":
		var tx transaction
		if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
			return http.StatusBadRequest, rowsAnswer{}
		}
		return s.transact(&tx)
	}
	return http.StatusNotFound, rowsAnswer{}
}

func (s *store) get(table, part, from, to string, limit int) rowsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.answer()
	for key, r := range s.rows {
		if key.table == table && key.part == part && key.key >= from && (to == "" || key.key < to) {
			out.Rows = append(out.Rows, r)
		}
	}
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })
	if limit > 0 && len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	return out
}

func (s *store) feed(r *http.Request, table string, after uint64, wait time.Duration) (int, rowsAnswer) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if after > s.version {
			s.mu.Unlock()
			return http.StatusGone, rowsAnswer{}
		}
		out, changed := s.answer(), s.changed
		for _, h := range s.history {
			if h.Table == table && h.Version > after {
				out.Rows = append(out.Rows, h)
			}
		}
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			return http.StatusOK, out
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, out
		case <-r.Context().Done():
			return http.StatusOK, out
		}
	}
}

func (s *store) transact(tx *transaction) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range tx.Expected {
		if s.rows[tx.Expected[i].id()].Version != tx.Expected[i].Version {
			return http.StatusPreconditionFailed, s.answer()
		}
	}
	s.version++
	for _, r := range tx.Set {
		r.Version = s.version
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range tx.Remove {
		delete(s.rows, r.id())
		r.Value, r.Version, r.Removed = nil, s.version, true
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, s.answer()
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key, value string) {
	s.transact(&transaction{Set: []row{{Table: table, Key: key, Value: []byte(value)}}})
}

// cloud is a stand-in of the platform's API for duties: it accepts every call with a current fencing token.
type cloud struct {
	mu      sync.Mutex
	highest map[string]uint64
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	subject := r.URL.Path
	if subject == "/scale" {
		var order struct{ Service, Zone string }
		_ = json.NewDecoder(r.Body).Decode(&order)
		subject += " " + order.Service + " " + order.Zone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if token < c.highest[subject] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest[subject] = token
}
