package entity

// Table holds rows by key. Its iteration order depends only on the sequence of
// Put and Delete calls, unlike that of a map, so that a run with the same inputs
// can be reproduced.
type Table[K comparable, R any] struct {
	index map[K]int
	keys  []K
	rows  []*R
}

// NewTable returns an empty table.
func NewTable[K comparable, R any]() *Table[K, R] {
	return &Table[K, R]{index: make(map[K]int)}
}

// Len returns the number of rows.
func (t *Table[K, R]) Len() int { return len(t.rows) }

// Get returns the row with the key, or nil.
func (t *Table[K, R]) Get(k K) *R {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	return t.rows[i]
}

// GetOrPut returns the row with the key. If there is none, it adds a zero one.
func (t *Table[K, R]) GetOrPut(k K) *R {
	r := t.Get(k)
	if r == nil {
		r = new(R)
		t.Put(k, r)
	}
	return r
}

// Put adds or replaces the row with the key.
func (t *Table[K, R]) Put(k K, r *R) {
	if i, ok := t.index[k]; ok {
		t.rows[i] = r
		return
	}
	t.index[k] = len(t.rows)
	t.keys = append(t.keys, k)
	t.rows = append(t.rows, r)
}

// Delete removes the row with the key, if there is one. The last row moves
// to its position in the iteration order.
func (t *Table[K, R]) Delete(k K) {
	i, ok := t.index[k]
	if !ok {
		return
	}
	last := len(t.rows) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.index[t.keys[i]] = i
	t.rows[last] = nil
	t.keys, t.rows = t.keys[:last], t.rows[:last]
	delete(t.index, k)
}

// Keys returns a copy of the keys in iteration order.
func (t *Table[K, R]) Keys() []K {
	return append([]K(nil), t.keys...)
}

// All calls f on each row until f returns false. f may change rows but must not
// add or delete any.
func (t *Table[K, R]) All(f func(K, *R) bool) {
	for i, k := range t.keys {
		if !f(k, t.rows[i]) {
			return
		}
	}
}
