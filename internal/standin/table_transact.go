package standin

import (
	"crypto/sha256"
	"encoding/json"
	"strconv"
	"time"
)

// rowChange is a parsed and validated transaction item.
type rowChange struct {
	kind            changeKind
	pk, sk          string
	condition       string
	expectedVersion string // decimal; used by conditionVersion
	value           []byte
	newVersion      uint64 // of a put; an update increments the row's version
}

type changeKind uint8

const (
	changePut changeKind = iota
	changeUpdate
	changeDelete
	changeCheck
)

func (t *Table) transact(in transactInput) (any, *tableError) {
	changes, failure := parseChanges(in)
	if failure != nil {
		return nil, failure
	}
	digest := in.digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Transactions++
	t.countItems(0, len(changes))
	now := time.Now()
	if repeated, failure := t.alreadyApplied(in.ClientRequestToken, digest, now); repeated || failure != nil {
		return struct{}{}, failure
	}
	if failure := t.checkConditions(changes); failure != nil {
		return nil, failure
	}
	for _, c := range changes {
		t.apply(c)
	}
	if in.ClientRequestToken != "" {
		t.appliedTokens[in.ClientRequestToken] = appliedToken{digest: digest, at: now}
	}
	return struct{}{}, nil
}

// digest returns a digest of the transaction's content. It doesn't depend on the order
// of the attributes in the received JSON, since encoding/json sorts map keys.
func (in transactInput) digest() [sha256.Size]byte {
	canonical, _ := json.Marshal(in)
	return sha256.Sum256(canonical)
}

// alreadyApplied reports whether a transaction with this token and content has been
// applied within requestTokenTTL. The same token with other content is an error. The
// caller holds t.mu.
func (t *Table) alreadyApplied(token string, digest [sha256.Size]byte, now time.Time) (bool, *tableError) {
	applied, ok := t.appliedTokens[token]
	if !ok || now.Sub(applied.at) > requestTokenTTL {
		return false, nil
	}
	if applied.digest != digest {
		return false, &tableError{Type: "IdempotentParameterMismatchException", Message: token}
	}
	return true, nil
}

// checkConditions evaluates all conditions against the current rows. It returns an
// error with one reason per change if any condition fails. The caller holds t.mu.
func (t *Table) checkConditions(changes []rowChange) *tableError {
	reasons := make([]cancellationReason, len(changes))
	failed := false
	for i, c := range changes {
		reasons[i].Code = "None"
		if !c.conditionHolds(t.findRow(c.pk, c.sk)) {
			reasons[i] = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			failed = true
		}
	}
	if !failed {
		return nil
	}
	return &tableError{Type: "TransactionCanceledException", Message: "Transaction cancelled", CancellationReasons: reasons}
}

// conditionHolds reports whether the change's condition holds for a row; nil stands for
// a row that doesn't exist.
func (c rowChange) conditionHolds(row *tableRow) bool {
	present := row != nil && row.present
	switch c.condition {
	case conditionNotExists:
		return !present
	case conditionVersion:
		return present && strconv.FormatUint(row.version, 10) == c.expectedVersion
	default:
		return true
	}
}

func (t *Table) apply(c rowChange) {
	switch c.kind {
	case changePut:
		t.findOrCreateRow(c.pk, c.sk).set(true, c.newVersion, c.value)
	case changeUpdate:
		row := t.findOrCreateRow(c.pk, c.sk)
		version := uint64(1)
		if row.present {
			version = row.version + 1
		}
		row.set(true, version, c.value)
	case changeDelete:
		if row := t.findRow(c.pk, c.sk); row != nil {
			row.set(false, 0, nil)
		}
	}
}

// parseChanges validates a transaction as DynamoDB does.
func parseChanges(in transactInput) ([]rowChange, *tableError) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactItems {
		return nil, validationError("a transaction has 1 to 100 items")
	}
	if len(in.ClientRequestToken) > maxRequestTokenLength {
		return nil, validationError("clientRequestToken is longer than 36")
	}
	type rowKey struct{ pk, sk string }
	seenKeys := make(map[rowKey]bool)
	changes := make([]rowChange, 0, len(in.TransactItems))
	for _, it := range in.TransactItems {
		c, failure := parseChange(it)
		if failure != nil {
			return nil, failure
		}
		k := rowKey{c.pk, c.sk}
		if seenKeys[k] {
			return nil, validationError("Transaction request cannot include multiple operations on one item")
		}
		seenKeys[k] = true
		changes = append(changes, c)
	}
	return changes, nil
}

func parseChange(it transactItem) (rowChange, *tableError) {
	switch {
	case it.Put != nil:
		return parsePut(it.Put)
	case it.Update != nil:
		return parseUpdate(it.Update)
	case it.Delete != nil:
		return parseWrite(changeDelete, it.Delete, it.Delete.Key)
	case it.ConditionCheck != nil:
		return parseWrite(changeCheck, it.ConditionCheck, it.ConditionCheck.Key)
	default:
		return rowChange{}, validationError("empty transaction item")
	}
}

func parsePut(w *writeInput) (rowChange, *tableError) {
	c, failure := parseWrite(changePut, w, w.Item)
	if failure != nil {
		return c, failure
	}
	version, err := strconv.ParseUint(w.Item.numberValue("ver"), 10, 64)
	if err != nil {
		return c, validationError("ver is not a number")
	}
	c.newVersion = version
	c.value = w.Item["val"].B
	return c, checkItemSize(c)
}

func parseUpdate(w *writeInput) (rowChange, *tableError) {
	c, failure := parseWrite(changeUpdate, w, w.Key)
	if failure != nil {
		return c, failure
	}
	if w.UpdateExpression != updateSetValue {
		return c, validationError("unsupported update: " + w.UpdateExpression)
	}
	c.value = w.ExpressionAttributeValues[":val"].B
	return c, checkItemSize(c)
}

func parseWrite(kind changeKind, w *writeInput, key attributes) (rowChange, *tableError) {
	c := rowChange{kind: kind, pk: key.stringValue("pk"), sk: key.stringValue("sk"), condition: w.ConditionExpression}
	if c.pk == "" || c.sk == "" {
		return c, validationError("empty key value")
	}
	switch c.condition {
	case "", conditionNotExists:
	case conditionVersion:
		c.expectedVersion = w.ExpressionAttributeValues.numberValue(":v")
	default:
		return c, validationError("unsupported condition: " + c.condition)
	}
	return c, nil
}

func checkItemSize(c rowChange) *tableError {
	if len(c.pk)+len(c.sk)+len(c.value) > maxItemBytes {
		return validationError("Item size has exceeded the maximum allowed size")
	}
	return nil
}
