package fairshare

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

func shares(weights ...int) []entity.OrganisationShare {
	var out []entity.OrganisationShare
	for i, w := range weights {
		out = append(out, entity.OrganisationShare{ID: org(i), Weight: w})
	}
	return out
}

func org(i int) entity.OrganisationID { return entity.OrganisationID(rune('a' + i)) }

func TestQueue_PriorityGoesFirst(t *testing.T) {
	q := New[int]()
	q.Push(Entry[int]{Key: 1, Organisation: "a", Priority: 2, Cost: 1})
	q.Push(Entry[int]{Key: 2, Organisation: "a", Priority: 0, Cost: 1000})
	if e, _ := q.Pop(3); e.Key != 2 {
		t.Fatalf("popped request %d first, want request 2, which has the higher priority", e.Key)
	}
	if _, ok := q.Pop(1); ok {
		t.Fatal("popped a request of a lower priority than the lowest one given")
	}
}

// While all organisations have waiting requests, the difference between the costs that
// were served for any two of them, each divided by its weight, is bounded by the sum of
// their largest requests, each divided by the weight.
func TestQueue_BackloggedSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "organisations")
		weights := rapid.SliceOfN(rapid.IntRange(1, 10), n, n).Draw(t, "weights")
		q := New[int]()
		q.SetWeights(shares(weights...))
		const largest = 100
		served := make([]float64, n)
		lastKey := 0
		push := func(o int) {
			lastKey++
			q.Push(Entry[int]{Key: lastKey, Organisation: org(o), Cost: entity.Tokens(rapid.IntRange(1, largest).Draw(t, "cost"))})
		}
		for o := range n {
			push(o)
			push(o)
		}
		for range 200 {
			e, _ := q.Pop(3)
			o := int(e.Organisation[0] - 'a')
			served[o] += float64(e.Cost) / float64(weights[o])
			push(o)
			for a := range n {
				for b := range n {
					bound := largest/float64(weights[a]) + largest/float64(weights[b])
					if served[a]-served[b] > bound {
						t.Fatalf("served cost by weight: %c %.1f, %c %.1f; difference above the bound %.1f", 'a'+a, served[a], 'a'+b, served[b], bound)
					}
				}
			}
		}
	})
}

func TestQueue_UnusedShareIsRegainedAtOnce(t *testing.T) {
	q := New[int]()
	for i := range 100 {
		q.Push(Entry[int]{Key: i, Organisation: "large", Cost: 10})
	}
	for range 50 {
		q.Pop(3)
	}
	q.Push(Entry[int]{Key: 1000, Organisation: "small", Cost: 10})
	q.Push(Entry[int]{Key: 1001, Organisation: "small", Cost: 10})
	small := 0
	for range 4 {
		if e, _ := q.Pop(3); e.Organisation == "small" {
			small++
		}
	}
	if small != 2 {
		t.Fatalf("organisation with new requests got %d of the next 4, want 2", small)
	}
	for i := range 40 { // an organisation gets no credit for the time without requests
		q.Push(Entry[int]{Key: 2000 + i, Organisation: "small", Cost: 10})
	}
	small = 0
	for range 20 {
		if e, _ := q.Pop(3); e.Organisation == "small" {
			small++
		}
	}
	if small < 9 || small > 11 {
		t.Fatalf("organisation with new requests got %d of the next 20, want 9 to 11", small)
	}
}

func TestQueue_ActualCostCorrectsTheCharge(t *testing.T) {
	q := New[int]()
	popped := [2]int{}
	for i := range 400 {
		q.Push(Entry[int]{Key: i, Organisation: org(i % 2), Cost: 10})
	}
	for range 100 {
		e, _ := q.Pop(3)
		o := int(e.Organisation[0] - 'a')
		popped[o]++
		if o == 0 { // its actual cost is three times the estimate
			q.CorrectCharge(e.Organisation, e.Priority, 10, 30)
		}
	}
	if popped[0] < 24 || popped[0] > 26 {
		t.Fatalf("organisation whose actual cost is three times the estimate got %d of 100 requests, want 24 to 26", popped[0])
	}
}

func TestQueue_ExpiresWhatCannotStartInTime(t *testing.T) {
	q := New[int]()
	start := time.Unix(1000, 0)
	for i := range 10 {
		q.Push(Entry[int]{Key: i, Organisation: "a", Cost: 1, LatestStart: start.Add(time.Duration(10-i) * time.Second)})
	}
	q.Remove(9)
	if got := q.Expire(start.Add(3500 * time.Millisecond)); len(got) != 2 || got[0] != 8 || got[1] != 7 {
		t.Fatalf("expired requests %v, want [8 7]", got)
	}
	if want := start.Add(4 * time.Second); !q.NextExpiry().Equal(want) || q.Len() != 7 {
		t.Fatalf("next expiry %v, want %v; %d requests left, want 7", q.NextExpiry(), want, q.Len())
	}
}

// The estimated cost ahead of a request agrees with the cost of the requests that are
// popped before it.
func TestQueue_AheadAgreesWithOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		q.SetWeights(shares(1, 3, 2))
		for i := range rapid.IntRange(0, 40).Draw(t, "waiting") {
			o := rapid.IntRange(0, 2).Draw(t, "organisation")
			q.Push(Entry[int]{Key: i, Organisation: org(o), Priority: entity.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Cost: 10})
		}
		p := entity.Priority(rapid.IntRange(0, 2).Draw(t, "own priority"))
		ahead := q.CostAhead("a", p, 10)
		q.Push(Entry[int]{Key: -1, Organisation: "a", Priority: p, Cost: 10})
		var before entity.Tokens
		for {
			e, _ := q.Pop(3)
			if e.Key == -1 {
				break
			}
			before += e.Cost
		}
		if diff := before - ahead; diff < -30 || diff > 30 {
			t.Fatalf("estimated cost ahead %d, popped before %d; want a difference of at most 30", ahead, before)
		}
	})
}
