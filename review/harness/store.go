package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store or a change of one.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// answer says what the store does with a call.
type answer int

const (
	serve      answer = iota
	refuse            // 503, nothing is done
	loseAnswer        // done, and the connection is closed without an answer
	hang              // not read until the caller gives up
)

// store is the platform's metadata store. Each daemon has a port of its own, so that the case can
// treat daemons differently.
type store struct {
	w       *world
	begun   time.Time
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}

	// treat says what becomes of a call of a daemon; nil: all are served.
	treat func(d *daemon, r *http.Request) answer
	// view changes the rows that a daemon reads; nil: none.
	view func(d *daemon, rows []row) []row
}

func newStore(w *world) (*store, error) {
	return &store{w: w, begun: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}, nil
}

// listen opens a daemon's port.
func (s *store) listen(d *daemon) (string, error) {
	l, err := listenOn("127.0.0.1")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.call(d, w, r) }))
	}()
	return l.Addr().String(), nil
}

type rowsReply struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

const storeDelay = 4 * time.Millisecond

func (s *store) call(d *daemon, w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	treat := s.treat
	s.mu.Unlock()
	what := serve
	if treat != nil {
		what = treat(d, r)
	}
	switch what {
	case refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reply := s.perform(d, r)
	if what == loseAnswer {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(reply)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) perform(d *daemon, r *http.Request) (int, rowsReply) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		return http.StatusOK, s.get(d, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit)
	case "/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		return http.StatusOK, s.feed(d, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/rows-tx":
		var tx transaction
		if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
			return http.StatusBadRequest, rowsReply{}
		}
		return s.transact(&tx)
	default:
		return http.StatusNotFound, rowsReply{}
	}
}

// reply returns a reply without rows. The caller holds the lock.
func (s *store) reply() rowsReply {
	return rowsReply{Rows: []row{}, Ver: s.ver, NowMs: time.Since(s.begun).Milliseconds()}
}

func (s *store) seen(d *daemon, rows []row) []row {
	if s.view == nil {
		return rows
	}
	return s.view(d, rows)
}

func (s *store) get(d *daemon, table, part, from, to string, limit int) rowsReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.reply()
	for k, r := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			out.Rows = append(out.Rows, r)
		}
	}
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })
	if limit > 0 && len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	out.Rows = s.seen(d, out.Rows)
	return out
}

func (s *store) feed(d *daemon, r *http.Request, table string, after uint64, wait time.Duration) rowsReply {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		out, changed := s.reply(), s.changed
		for _, h := range s.history {
			if h.Table == table && h.Ver > after {
				out.Rows = append(out.Rows, h)
			}
		}
		out.Rows = s.seen(d, out.Rows)
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			return out
		}
		select {
		case <-changed:
		case <-timeout:
			return out
		case <-r.Context().Done():
			return out
		}
	}
}

type condition struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Ver   uint64 `json:"ver"`
}

type transaction struct {
	Conditions []condition `json:"expectedRev"`
	Set        []row       `json:"setKeys"`
	Remove     []row       `json:"remove"`
}

func (s *store) transact(tx *transaction) (int, rowsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Conditions {
		if s.rows[rowKey{c.Table, c.Part, c.Key}].Ver != c.Ver {
			return http.StatusPreconditionFailed, s.reply()
		}
	}
	s.ver++
	for _, r := range tx.Set {
		r.Ver = s.ver
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range tx.Remove {
		delete(s.rows, rowKey{r.Table, r.Part, r.Key})
		r.Ver, r.Removed = s.ver, true
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, s.reply()
}

// set writes a row as the operator or a worker does.
func (s *store) set(table, key, value string) {
	s.transact(&transaction{Set: []row{{Table: table, Key: key, Value: []byte(value)}}})
}

func (s *store) remove(table, key string) {
	s.transact(&transaction{Remove: []row{{Table: table, Key: key}}})
}

func (s *store) setTreat(f func(d *daemon, r *http.Request) answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.treat = f
}
