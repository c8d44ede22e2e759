package entity

import (
	"testing"

	"pgregory.net/rapid"
)

func TestTable_AgreesWithMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable[int, int]()
		model := map[int]int{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, v := rapid.IntRange(0, 9).Draw(t, "k"), rapid.Int().Draw(t, "v")
				table.Put(k, &v)
				model[k] = v
			},
			"get or put": func(t *rapid.T) {
				k := rapid.IntRange(0, 9).Draw(t, "k")
				if got := *table.GetOrPut(k); got != model[k] {
					t.Fatalf("row with key %d is %d, want %d", k, got, model[k])
				}
				model[k] = *table.Get(k) // a row that was missing is there now
			},
			"delete": func(t *rapid.T) {
				k := rapid.IntRange(0, 9).Draw(t, "k")
				table.Delete(k)
				delete(model, k)
			},
			"": func(t *rapid.T) {
				seen := 0
				table.All(func(k int, v *int) bool {
					seen++
					if model[k] != *v || table.Get(k) != v {
						t.Fatalf("row with key %d is %d, want %d", k, *v, model[k])
					}
					return true
				})
				if seen != len(model) || table.Len() != len(model) {
					t.Fatalf("All visited %d rows, want %d", seen, len(model))
				}
			},
		})
	})
}
