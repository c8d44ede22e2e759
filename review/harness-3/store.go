package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store, or a change of one.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

type storeReply struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"hasMore"`
	Ver     uint64     `json:"ver"`
	NowMs   int64      `json:"nowMs"`
}

type storeTx struct {
	Expected []storeRow `json:"expectedRev"`
	Set      []storeRow `json:"setKeys"`
	Remove   []storeRow `json:"remove"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
	start   time.Time
	blobs   map[string][]byte
	down    func(r *http.Request) bool // selects calls that are answered with 503; nil: none
}

func newStore() *store {
	return &store{rows: map[rowID]storeRow{}, changed: make(chan struct{}), start: time.Now(), blobs: map[string][]byte{}}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	if down != nil && down(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(2 * time.Millisecond)
	status, reply := s.handle(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) handle(r *http.Request) (int, storeReply) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		return http.StatusOK, s.get(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"), limit)
	case "/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		return http.StatusOK, s.feed(r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/rows-tx":
		var tx storeTx
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			return http.StatusBadRequest, storeReply{}
		}
		return s.transact(&tx)
	}
	return http.StatusNotFound, storeReply{}
}

func (s *store) reply() storeReply {
	return storeReply{Rows: []storeRow{}, Ver: s.version, NowMs: time.Since(s.start).Milliseconds()}
}

func (s *store) get(table, part, from, to string, limit int) storeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.reply()
	for id, row := range s.rows {
		if id.table == table && id.part == part && id.key >= from && (to == "" || id.key < to) {
			out.Rows = append(out.Rows, row)
		}
	}
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })
	if limit > 0 && len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	return out
}

func (s *store) feed(r *http.Request, table string, after uint64, wait time.Duration) storeReply {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		out, changed := s.reply(), s.changed
		for _, h := range s.history {
			if h.Table == table && h.Ver > after {
				out.Rows = append(out.Rows, h)
			}
		}
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

func (s *store) transact(tx *storeTx) (int, storeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[rowID{e.Table, e.Part, e.Key}].Ver != e.Ver {
			return http.StatusPreconditionFailed, s.reply()
		}
	}
	s.version++
	for _, row := range tx.Set {
		row.Ver = s.version
		s.rows[rowID{row.Table, row.Part, row.Key}] = row
		s.history = append(s.history, row)
	}
	for _, row := range tx.Remove {
		delete(s.rows, rowID{row.Table, row.Part, row.Key})
		row.Ver, row.Removed = s.version, true
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, s.reply()
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key, value string) {
	s.transact(&storeTx{Set: []storeRow{{Table: table, Key: key, Value: []byte(value)}}})
}

// duties is a stand-in of the platform's duty calls. It accepts all of them.
type duties struct{}

func (duties) ServeHTTP(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// serve serves a handler on a free loopback port and returns its address.
func serve(ip string, h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), server, nil
}
