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
		t.Fatalf("popped %d", e.Key)
	}
	if _, ok := q.Pop(1); ok {
		t.Fatal("popped a request of a lower class than asked for")
	}
}

// While all organisations have work waiting, the difference of what any two
// were given, by weight, is bounded by their largest requests.
func TestQueue_BackloggedSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "organisations")
		weights := rapid.SliceOfN(rapid.IntRange(1, 10), n, n).Draw(t, "weights")
		q := New[int]()
		q.SetShares(shares(weights...))
		const largest = 100
		given := make([]float64, n)
		next := 0
		push := func(o int) {
			next++
			q.Push(Entry[int]{Key: next, Organisation: org(o), Cost: entity.Tokens(rapid.IntRange(1, largest).Draw(t, "cost"))})
		}
		for o := range n {
			push(o)
			push(o)
		}
		for range 200 {
			e, _ := q.Pop(3)
			o := int(e.Organisation[0] - 'a')
			given[o] += float64(e.Cost) / float64(weights[o])
			push(o)
			for a := range n {
				for b := range n {
					bound := largest/float64(weights[a]) + largest/float64(weights[b])
					if given[a]-given[b] > bound {
						t.Fatalf("%c has %.1f, %c has %.1f, bound %.1f", 'a'+a, given[a], 'a'+b, given[b], bound)
					}
				}
			}
		}
	})
}

func TestQueue_LentShareIsTakenBackAtOnce(t *testing.T) {
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
		t.Fatalf("%d of the next 4 for the returning organisation, want 2", small)
	}
	for i := range 40 { // an idle time earns no credit beyond the share
		q.Push(Entry[int]{Key: 2000 + i, Organisation: "small", Cost: 10})
	}
	small = 0
	for range 20 {
		if e, _ := q.Pop(3); e.Organisation == "small" {
			small++
		}
	}
	if small < 9 || small > 11 {
		t.Fatalf("%d of 20 for the returning organisation, want 10", small)
	}
}

func TestQueue_ActualCostCorrectsTheCharge(t *testing.T) {
	q := New[int]()
	taken := [2]int{}
	for i := range 400 {
		q.Push(Entry[int]{Key: i, Organisation: org(i % 2), Cost: 10})
	}
	for range 100 {
		e, _ := q.Pop(3)
		o := int(e.Organisation[0] - 'a')
		taken[o]++
		if o == 0 { // uses three times what it says
			q.Correct(e.Organisation, e.Priority, 10, 30)
		}
	}
	if taken[0] < 24 || taken[0] > 26 {
		t.Fatalf("the organisation that uses threefold has %d of 100 requests, want 25", taken[0])
	}
}

func TestQueue_ExpiresWhatCannotStartInTime(t *testing.T) {
	q := New[int]()
	start := time.Unix(1000, 0)
	for i := range 10 {
		q.Push(Entry[int]{Key: i, Organisation: "a", Cost: 1, Latest: start.Add(time.Duration(10-i) * time.Second)})
	}
	q.Remove(9)
	if got := q.Expire(start.Add(3500 * time.Millisecond)); len(got) != 2 || got[0] != 8 || got[1] != 7 {
		t.Fatalf("expired %v, want [8 7]", got)
	}
	if want := start.Add(4 * time.Second); !q.NextExpiry().Equal(want) || q.Len() != 7 {
		t.Fatalf("next %v, want %v; %d left", q.NextExpiry(), want, q.Len())
	}
}

// The estimate of the work ahead agrees with the order in which requests are
// taken.
func TestQueue_AheadAgreesWithOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		q.SetShares(shares(1, 3, 2))
		for i := range rapid.IntRange(0, 40).Draw(t, "waiting") {
			o := rapid.IntRange(0, 2).Draw(t, "organisation")
			q.Push(Entry[int]{Key: i, Organisation: org(o), Priority: entity.Priority(rapid.IntRange(0, 2).Draw(t, "priority")), Cost: 10})
		}
		p := entity.Priority(rapid.IntRange(0, 2).Draw(t, "own priority"))
		ahead := q.Ahead("a", p, 10)
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
			t.Fatalf("ahead %d, in fact %d", ahead, before)
		}
	})
}
