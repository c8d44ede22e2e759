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
	targetPrefix = "DynamoDB_20120810." // in the header X-Amz-Target, before the action
	// Limits of a request: items of a transaction, size of an item and of the request
	// body, characters of a client request token.
	maxTransactItems      = 100
	maxItemBytes          = 400 << 10
	maxTableRequestBytes  = 5 << 20
	maxRequestTokenLength = 36
	requestTokenTTL       = 10 * time.Minute // how long a repeated transaction is recognised by its token
	queryPageBytes        = 1 << 20          // size of the values after which a page ends
	defaultQueryRows      = 1 << 20          // for a query without a limit

	// The only expressions that the stand-in accepts.
	conditionNotExists  = "attribute_not_exists(pk)"
	conditionVersion    = "ver = :v"
	updateSetValue      = "SET val = :val ADD ver :one"
	queryPartition      = "pk = :pk"
	queryPartitionAfter = "pk = :pk AND sk > :sk"
)

// tableRow is one row with its previous state, which stale reads return. A deleted row
// stays as a tableRow that is not present.
type tableRow struct {
	present         bool
	version         uint64
	value           []byte
	previousPresent bool
	previousVersion uint64
	previousValue   []byte
	sortKey         string
	partitionKey    string
}

func (r *tableRow) set(present bool, version uint64, value []byte) {
	r.previousPresent, r.previousVersion, r.previousValue = r.present, r.version, r.value
	r.present, r.version, r.value = present, version, value
}

// toItem returns the row, or its previous state if stale, in DynamoDB's form. It
// returns nil when the row does not exist.
func (r *tableRow) toItem(stale bool) *item {
	present, version, value := r.present, r.version, r.value
	if stale {
		present, version, value = r.previousPresent, r.previousVersion, r.previousValue
	}
	if !present {
		return nil
	}
	n := strconv.FormatUint(version, 10)
	return &item{
		PK:  attribute{S: &r.partitionKey},
		SK:  attribute{S: &r.sortKey},
		Ver: &attribute{N: &n},
		Val: &valueAttribute{B: value},
	}
}

// partition holds the rows of one partition key. sortKeys is in ascending order.
type partition struct {
	rows     map[string]*tableRow
	sortKeys []string
}

// appliedToken records a transaction that was applied under a client request token.
type appliedToken struct {
	digest [sha256.Size]byte
	at     time.Time
}

// TableCounts counts the calls, the items and the transactions of a table.
type TableCounts struct {
	Calls              int `json:"calls"`                 // calls received, including those that faults made fail
	Reads              int `json:"reads"`                 // items read
	Writes             int `json:"writes"`                // items written or checked
	Transactions       int `json:"transactions"`          // valid transactions received, including those not applied
	MaxReadsPerSecond  int `json:"max_reads_per_second"`  // most items read in one second
	MaxWritesPerSecond int `json:"max_writes_per_second"` // most items written or checked in one second
}

// Table simulates a table service that holds one table with the attributes pk (S),
// sk (S), ver (N) and val (B). It speaks the subset of DynamoDB's protocol that the
// system uses.
type Table struct {
	Faults Faults

	mu               sync.Mutex
	partitions       map[string]*partition   // by partition key
	appliedTokens    map[string]appliedToken // by client request token
	counts           TableCounts
	currentSecond    int64 // Unix time in seconds
	readsThisSecond  int   // items read in currentSecond
	writesThisSecond int   // items written or checked in currentSecond
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{partitions: make(map[string]*partition), appliedTokens: make(map[string]appliedToken)}
}

// Counts returns the counts so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// ServeHTTP serves DynamoDB's protocol and the control paths POST /_faults and
// GET /_counts.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/_faults":
		t.Faults.serveFaults(w, r)
		return
	case "/_counts":
		writeJSON(w, http.StatusOK, t.Counts())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableRequestBytes))
	if err != nil {
		writeTableError(w, validationError("request too large"))
		return
	}
	t.countCall()
	if t.Faults.applyBefore(r) {
		writeTableError(w, &tableError{Type: "ProvisionedThroughputExceededException", Message: "refused"})
		return
	}
	action := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	out, failure := t.dispatch(action, body)
	t.Faults.applyAfter()
	if action == actionTransact && t.Faults.dropTransactionReply() {
		abortConnection()
	}
	if failure != nil {
		writeTableError(w, failure)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(out)
}

// actionTransact is DynamoDB's name of the action that runs a write transaction.
const actionTransact = "TransactWriteItems"

func (t *Table) dispatch(action string, body []byte) (any, *tableError) {
	switch action {
	case "GetItem":
		return decodeThen(body, t.getItem)
	case "Query":
		return decodeThen(body, t.query)
	case actionTransact:
		return decodeThen(body, t.transact)
	default:
		return nil, &tableError{Type: "UnknownOperationException", Message: action}
	}
}

// decodeThen decodes a request body from JSON and passes it to f.
func decodeThen[In any](body []byte, f func(In) (any, *tableError)) (any, *tableError) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, &tableError{Type: "SerializationException", Message: err.Error()}
	}
	return f(in)
}

func (t *Table) getItem(in getItemInput) (any, *tableError) {
	stale := !in.ConsistentRead && t.Faults.nextReadStale()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countItems(1, 0)
	row := t.findRow(in.Key.stringValue("pk"), in.Key.stringValue("sk"))
	if row == nil {
		return getItemOutput{}, nil
	}
	return getItemOutput{Item: row.toItem(stale)}, nil
}

func (t *Table) query(in queryInput) (any, *tableError) {
	afterSortKey, failure := lowerSortKey(in)
	if failure != nil {
		return nil, failure
	}
	if in.Limit <= 0 {
		in.Limit = defaultQueryRows
	}
	stale := !in.ConsistentRead && t.Faults.nextReadStale()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := queryOutput{Items: []item{}}
	if p := t.partitions[in.ExpressionAttributeValues.stringValue(":pk")]; p != nil {
		out.Items, out.LastEvaluatedKey = p.page(afterSortKey, in.Limit, stale)
	}
	out.Count, out.ScannedCount = len(out.Items), len(out.Items)
	t.countItems(max(1, out.Count), 0)
	return out, nil
}

// lowerSortKey returns the sort key that a query's rows must exceed; empty: all rows
// of the partition.
func lowerSortKey(in queryInput) (string, *tableError) {
	switch in.KeyConditionExpression {
	case queryPartition:
		return "", nil
	case queryPartitionAfter:
		afterSortKey := in.ExpressionAttributeValues.stringValue(":sk")
		if afterSortKey == "" {
			return "", validationError("empty key value")
		}
		return afterSortKey, nil
	default:
		return "", validationError("unsupported key condition: " + in.KeyConditionExpression)
	}
}

// page returns the rows whose sort key is greater than afterSortKey. It stops at limit
// rows or when their values reach queryPageBytes, and then also returns the key of the
// last row.
func (p *partition) page(afterSortKey string, limit int, stale bool) ([]item, *item) {
	items := []item{}
	size := 0
	for i := sort.SearchStrings(p.sortKeys, afterSortKey); i < len(p.sortKeys); i++ {
		if p.sortKeys[i] == afterSortKey {
			continue
		}
		row := p.rows[p.sortKeys[i]].toItem(stale)
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

// findRow returns the row with a key, or nil. The caller holds t.mu.
func (t *Table) findRow(pk, sk string) *tableRow {
	p := t.partitions[pk]
	if p == nil {
		return nil
	}
	return p.rows[sk]
}

// findOrCreateRow returns the row with a key. If there is none, it adds one that is
// not present yet. The caller holds t.mu.
func (t *Table) findOrCreateRow(pk, sk string) *tableRow {
	p := t.partitions[pk]
	if p == nil {
		p = &partition{rows: make(map[string]*tableRow)}
		t.partitions[pk] = p
	}
	if row := p.rows[sk]; row != nil {
		return row
	}
	row := &tableRow{partitionKey: pk, sortKey: sk}
	p.rows[sk] = row
	i := sort.SearchStrings(p.sortKeys, sk)
	p.sortKeys = append(p.sortKeys, "")
	copy(p.sortKeys[i+1:], p.sortKeys[i:])
	p.sortKeys[i] = sk
	return row
}

func (t *Table) countCall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Calls++
}

// countItems adds to the counts of items, in total and in the current second. The
// caller holds t.mu.
func (t *Table) countItems(reads, writes int) {
	if now := time.Now().Unix(); now != t.currentSecond {
		t.currentSecond, t.readsThisSecond, t.writesThisSecond = now, 0, 0
	}
	t.readsThisSecond += reads
	t.writesThisSecond += writes
	t.counts.Reads += reads
	t.counts.Writes += writes
	t.counts.MaxReadsPerSecond = max(t.counts.MaxReadsPerSecond, t.readsThisSecond)
	t.counts.MaxWritesPerSecond = max(t.counts.MaxWritesPerSecond, t.writesThisSecond)
}

func validationError(message string) *tableError {
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
