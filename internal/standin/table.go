package standin

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	tableTarget         = "DynamoDB_20120810."
	maxTransactItems    = 100
	maxItemBytes        = 400 << 10
	maxTableRequestSize = 5 << 20
	maxTokenLength      = 36
	tokenLifetime       = 10 * time.Minute
	queryPageBytes      = 1 << 20
	defaultQueryLimit   = 1 << 20

	notExists       = "attribute_not_exists(pk)"
	versionIs       = "ver = :v"
	setValue        = "SET val = :val ADD ver :one"
	partitionIs     = "pk = :pk"
	partitionBeyond = "pk = :pk AND sk > :sk"
)

// record is one row with its previous state, for stale reads.
type record struct {
	present     bool
	version     uint64
	value       []byte
	wasPresent  bool
	wasVersion  uint64
	wasValue    []byte
	sortKey     string
	partitionID string
}

func (r *record) set(present bool, version uint64, value []byte) {
	r.wasPresent, r.wasVersion, r.wasValue = r.present, r.version, r.value
	r.present, r.version, r.value = present, version, value
}

// item returns the row in DynamoDB's form, or nil when it does not exist.
func (r *record) item(stale bool) *item {
	present, version, value := r.present, r.version, r.value
	if stale {
		present, version, value = r.wasPresent, r.wasVersion, r.wasValue
	}
	if !present {
		return nil
	}
	n := strconv.FormatUint(version, 10)
	return &item{
		PK:  attribute{S: &r.partitionID},
		SK:  attribute{S: &r.sortKey},
		Ver: &attribute{N: &n},
		Val: &valueAttribute{B: value},
	}
}

// partition holds the rows of one partition key; sorts is in order.
type partition struct {
	rows  map[string]*record
	sorts []string
}

type appliedToken struct {
	digest [sha256.Size]byte
	at     time.Time
}

// TableCounts says what a table has been asked to do.
type TableCounts struct {
	Calls              int `json:"calls"`        // calls that arrived, whatever became of them
	Reads              int `json:"reads"`        // items read
	Writes             int `json:"writes"`       // items written or checked
	Transactions       int `json:"transactions"` // transactions that arrived
	MaxReadsPerSecond  int `json:"max_reads_per_second"`
	MaxWritesPerSecond int `json:"max_writes_per_second"`
}

// Table plays the table service: one table with the attributes pk (S), sk (S),
// ver (N) and val (B), in the subset of DynamoDB's protocol that the system
// uses.
type Table struct {
	Faults Faults

	mu         sync.Mutex
	partitions map[string]*partition
	tokens     map[string]appliedToken
	counts     TableCounts
	second     int64
	reads      int // in this second
	writes     int // in this second
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{partitions: make(map[string]*partition), tokens: make(map[string]appliedToken)}
}

// Counts returns what the table has been asked to do so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// ServeHTTP serves the table's protocol, POST /_faults and GET /_counts.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/_faults":
		t.Faults.serveFaults(w, r)
		return
	case "/_counts":
		writeJSON(w, http.StatusOK, t.Counts())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableRequestSize))
	if err != nil {
		writeTableError(w, validation("request too large"))
		return
	}
	t.countCall()
	if t.Faults.before(r) {
		writeTableError(w, &tableError{Type: "ProvisionedThroughputExceededException", Message: "refused"})
		return
	}
	action := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), tableTarget)
	out, failure := t.call(action, body)
	t.Faults.after()
	if action == actionTransact && t.Faults.loseWrite() {
		cut()
	}
	if failure != nil {
		writeTableError(w, failure)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(out)
}

// actionTransact is the protocol's name of a transaction.
const actionTransact = "TransactWriteItems"

func (t *Table) call(action string, body []byte) (any, *tableError) {
	switch action {
	case "GetItem":
		return decodeAnd(body, t.getItem)
	case "Query":
		return decodeAnd(body, t.query)
	case actionTransact:
		return decodeAnd(body, t.transact)
	default:
		return nil, &tableError{Type: "UnknownOperationException", Message: action}
	}
}

func decodeAnd[In any](body []byte, f func(In) (any, *tableError)) (any, *tableError) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, &tableError{Type: "SerializationException", Message: err.Error()}
	}
	return f(in)
}

func (t *Table) getItem(in getItemInput) (any, *tableError) {
	stale := !in.ConsistentRead && t.Faults.stale()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(1, 0)
	row := t.find(in.Key.text("pk"), in.Key.text("sk"))
	if row == nil {
		return getItemOutput{}, nil
	}
	return getItemOutput{Item: row.item(stale)}, nil
}

func (t *Table) query(in queryInput) (any, *tableError) {
	after, failure := queryBound(in)
	if failure != nil {
		return nil, failure
	}
	if in.Limit <= 0 {
		in.Limit = defaultQueryLimit
	}
	stale := !in.ConsistentRead && t.Faults.stale()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := queryOutput{Items: []item{}}
	if p := t.partitions[in.ExpressionAttributeValues.text(":pk")]; p != nil {
		out.Items, out.LastEvaluatedKey = p.page(after, in.Limit, stale)
	}
	out.Count, out.ScannedCount = len(out.Items), len(out.Items)
	t.count(max(1, out.Count), 0)
	return out, nil
}

// queryBound returns the sort key that the rows must exceed.
func queryBound(in queryInput) (string, *tableError) {
	switch in.KeyConditionExpression {
	case partitionIs:
		return "", nil
	case partitionBeyond:
		after := in.ExpressionAttributeValues.text(":sk")
		if after == "" {
			return "", validation("empty key value")
		}
		return after, nil
	default:
		return "", validation("unsupported key condition: " + in.KeyConditionExpression)
	}
}

// page returns rows above after, at most limit of them and about
// queryPageBytes, with the last key when there is more.
func (p *partition) page(after string, limit int, stale bool) ([]item, *item) {
	items := []item{}
	size := 0
	for i := sort.SearchStrings(p.sorts, after); i < len(p.sorts); i++ {
		if p.sorts[i] == after {
			continue
		}
		row := p.rows[p.sorts[i]].item(stale)
		if row == nil {
			continue
		}
		items = append(items, *row)
		size += len(row.Val.B)
		if len(items) == limit || size >= queryPageBytes {
			return items, &item{PK: row.PK, SK: row.SK}
		}
	}
	return items, nil
}

// find returns the record of a key, or nil. The caller holds the lock.
func (t *Table) find(pk, sk string) *record {
	p := t.partitions[pk]
	if p == nil {
		return nil
	}
	return p.rows[sk]
}

// place returns the record of a key and creates it if need be. The caller
// holds the lock.
func (t *Table) place(pk, sk string) *record {
	p := t.partitions[pk]
	if p == nil {
		p = &partition{rows: make(map[string]*record)}
		t.partitions[pk] = p
	}
	if row := p.rows[sk]; row != nil {
		return row
	}
	row := &record{partitionID: pk, sortKey: sk}
	p.rows[sk] = row
	i := sort.SearchStrings(p.sorts, sk)
	p.sorts = append(p.sorts, "")
	copy(p.sorts[i+1:], p.sorts[i:])
	p.sorts[i] = sk
	return row
}

func (t *Table) countCall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Calls++
}

// count adds reads and writes. The caller holds the lock.
func (t *Table) count(reads, writes int) {
	if now := time.Now().Unix(); now != t.second {
		t.second, t.reads, t.writes = now, 0, 0
	}
	t.reads += reads
	t.writes += writes
	t.counts.Reads += reads
	t.counts.Writes += writes
	t.counts.MaxReadsPerSecond = max(t.counts.MaxReadsPerSecond, t.reads)
	t.counts.MaxWritesPerSecond = max(t.counts.MaxWritesPerSecond, t.writes)
}

func validation(message string) *tableError {
	return &tableError{Type: "ValidationException", Message: message}
}

func writeTableError(w http.ResponseWriter, e *tableError) {
	e.Type = "com.amazonaws.dynamodb.v20120810#" + e.Type
	var body bytes.Buffer
	_ = json.NewEncoder(&body).Encode(e)
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	_, _ = w.Write(body.Bytes())
}
