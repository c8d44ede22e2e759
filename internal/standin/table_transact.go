package standin

import (
	"crypto/sha256"
	"encoding/json"
	"strconv"
	"time"
)

// change is a transaction item, checked and ready to apply.
type change struct {
	kind      changeKind
	pk, sk    string
	condition string
	version   string // subject of versionIs
	value     []byte
	newVer    uint64
}

type changeKind uint8

const (
	changePut changeKind = iota
	changeUpdate
	changeDelete
	changeCheck
)

func (t *Table) transact(in transactInput) (any, *tableError) {
	changes, failure := readChanges(in)
	if failure != nil {
		return nil, failure
	}
	digest := in.digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Transactions++
	t.count(0, len(changes))
	now := time.Now()
	if done, failure := t.seen(in.ClientRequestToken, digest, now); done || failure != nil {
		return struct{}{}, failure
	}
	if failure := t.check(changes); failure != nil {
		return nil, failure
	}
	for _, c := range changes {
		t.apply(c)
	}
	if in.ClientRequestToken != "" {
		t.tokens[in.ClientRequestToken] = appliedToken{digest: digest, at: now}
	}
	return struct{}{}, nil
}

// digest identifies the transaction's content, whatever the order of the
// attributes in its JSON form: encoding/json sorts map keys.
func (in transactInput) digest() [sha256.Size]byte {
	canonical, _ := json.Marshal(in)
	return sha256.Sum256(canonical)
}

// seen says whether a transaction with this token has been applied.
func (t *Table) seen(token string, digest [sha256.Size]byte, now time.Time) (bool, *tableError) {
	applied, ok := t.tokens[token]
	if !ok || now.Sub(applied.at) > tokenLifetime {
		return false, nil
	}
	if applied.digest != digest {
		return false, &tableError{Type: "IdempotentParameterMismatchException", Message: token}
	}
	return true, nil
}

// check evaluates all conditions against the present rows.
func (t *Table) check(changes []change) *tableError {
	reasons := make([]cancellationReason, len(changes))
	failed := false
	for i, c := range changes {
		reasons[i].Code = "None"
		if !c.holds(t.find(c.pk, c.sk)) {
			reasons[i] = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			failed = true
		}
	}
	if !failed {
		return nil
	}
	return &tableError{Type: "TransactionCanceledException", Message: "Transaction cancelled", CancellationReasons: reasons}
}

func (c change) holds(row *record) bool {
	present := row != nil && row.present
	switch c.condition {
	case notExists:
		return !present
	case versionIs:
		return present && strconv.FormatUint(row.version, 10) == c.version
	default:
		return true
	}
}

func (t *Table) apply(c change) {
	switch c.kind {
	case changePut:
		t.place(c.pk, c.sk).set(true, c.newVer, c.value)
	case changeUpdate:
		row := t.place(c.pk, c.sk)
		version := uint64(1)
		if row.present {
			version = row.version + 1
		}
		row.set(true, version, c.value)
	case changeDelete:
		if row := t.find(c.pk, c.sk); row != nil {
			row.set(false, 0, nil)
		}
	}
}

// readChanges checks a transaction as the published service does.
func readChanges(in transactInput) ([]change, *tableError) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactItems {
		return nil, validation("a transaction has 1 to 100 items")
	}
	if len(in.ClientRequestToken) > maxTokenLength {
		return nil, validation("clientRequestToken is longer than 36")
	}
	type rowKey struct{ pk, sk string }
	seen := make(map[rowKey]bool)
	changes := make([]change, 0, len(in.TransactItems))
	for _, it := range in.TransactItems {
		c, failure := readChange(it)
		if failure != nil {
			return nil, failure
		}
		k := rowKey{c.pk, c.sk}
		if seen[k] {
			return nil, validation("Transaction request cannot include multiple operations on one item")
		}
		seen[k] = true
		changes = append(changes, c)
	}
	return changes, nil
}

func readChange(it transactItem) (change, *tableError) {
	switch {
	case it.Put != nil:
		return readPut(it.Put)
	case it.Update != nil:
		return readUpdate(it.Update)
	case it.Delete != nil:
		return readWrite(changeDelete, it.Delete, it.Delete.Key)
	case it.ConditionCheck != nil:
		return readWrite(changeCheck, it.ConditionCheck, it.ConditionCheck.Key)
	default:
		return change{}, validation("empty transaction item")
	}
}

func readPut(w *writeInput) (change, *tableError) {
	c, failure := readWrite(changePut, w, w.Item)
	if failure != nil {
		return c, failure
	}
	version, err := strconv.ParseUint(w.Item.number("ver"), 10, 64)
	if err != nil {
		return c, validation("ver is not a number")
	}
	c.newVer = version
	c.value = w.Item["val"].B
	return c, sizeFailure(c)
}

func readUpdate(w *writeInput) (change, *tableError) {
	c, failure := readWrite(changeUpdate, w, w.Key)
	if failure != nil {
		return c, failure
	}
	if w.UpdateExpression != setValue {
		return c, validation("unsupported update: " + w.UpdateExpression)
	}
	c.value = w.ExpressionAttributeValues[":val"].B
	return c, sizeFailure(c)
}

func readWrite(kind changeKind, w *writeInput, key attributes) (change, *tableError) {
	c := change{kind: kind, pk: key.text("pk"), sk: key.text("sk"), condition: w.ConditionExpression}
	if c.pk == "" || c.sk == "" {
		return c, validation("empty key value")
	}
	switch c.condition {
	case "", notExists:
	case versionIs:
		c.version = w.ExpressionAttributeValues.number(":v")
	default:
		return c, validation("unsupported condition: " + c.condition)
	}
	return c, nil
}

func sizeFailure(c change) *tableError {
	if len(c.pk)+len(c.sk)+len(c.value) > maxItemBytes {
		return validation("Item size has exceeded the maximum allowed size")
	}
	return nil
}
