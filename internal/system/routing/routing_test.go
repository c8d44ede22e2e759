package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var start = time.UnixMicro(1_700_000_000_000_000)

func testPool(n int) []Candidate {
	var pool []Candidate
	for i := range n {
		pool = append(pool, Candidate{
			Backend: entity.BackendServerID(fmt.Sprintf("s%02d", i)), Slots: 8, Chance: 1,
			Location: entity.Location{Region: "r", DataCentre: entity.DataCentreID(rune('a' + i%3))},
		})
	}
	return pool
}

func testQuery(prefix ...uint64) Query {
	return Query{Location: entity.Location{Region: "r", DataCentre: "a"}, Prefix: prefix}
}

func TestAffinity_DaemonsAgreeOnTheServerOfAPrefix(t *testing.T) {
	pool := testPool(30)
	for p := range uint64(100) {
		a := NewAffinity().Choose(start, rand.New(rand.NewPCG(1, 1)), testQuery(1, 2, p, p+1000), pool, 1)
		b := NewAffinity().Choose(start, rand.New(rand.NewPCG(2, 2)), testQuery(1, 2, p, p+2000), pool, 1)
		if a[0] != b[0] {
			t.Fatalf("prefix %d: the daemons chose %s and %s", p, a[0], b[0])
		}
	}
}

func TestAffinity_LoadBoundsAffinity(t *testing.T) {
	pool := testPool(30)
	rng := rand.New(rand.NewPCG(1, 1))
	preferred := NewAffinity().Choose(start, rng, testQuery(1, 2, 3), pool, 1)[0]
	for i := range pool {
		if pool[i].Backend == preferred {
			pool[i].Busy, pool[i].ReportedAt = 8, start
		}
	}
	if got := NewAffinity().Choose(start, rng, testQuery(1, 2, 3), pool, 1)[0]; got == preferred {
		t.Fatal("a full backend server is still chosen first")
	}
}

func TestAffinity_LocalDataCentreFirst(t *testing.T) {
	pool := testPool(30)
	rng := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		id := NewAffinity().Choose(start, rng, testQuery(), pool, 1)[0]
		for i := range pool {
			if pool[i].Backend == id && pool[i].Location.DataCentre != "a" {
				t.Fatalf("chose %s in data centre %s, want a", id, pool[i].Location.DataCentre)
			}
		}
	}
}

func TestSetChances_BoundedShareIsPassedOver(t *testing.T) {
	pool := testPool(12)
	for i := range pool {
		pool[i].BetweenTokens = 25 * time.Millisecond
	}
	for i := range 5 {
		pool[i].BetweenTokens = time.Duration(40+30*i) * time.Millisecond
	}
	SetChances(pool)
	slow := 0
	for i := range pool {
		if pool[i].Chance < 1 {
			slow++
		}
		if pool[i].Chance < minChance {
			t.Errorf("%s gets no work at all", pool[i].Backend)
		}
	}
	if slow != len(pool)/slowShareDivisor {
		t.Errorf("%d of %d candidates count as slow", slow, len(pool))
	}
	if pool[4].Chance >= pool[2].Chance {
		t.Errorf("the slowest has chance %.3f, a faster one %.3f", pool[4].Chance, pool[2].Chance)
	}
}

func TestAffinity_SlowServerGetsLittleWork(t *testing.T) {
	pool := testPool(12)
	for i := range pool {
		pool[i].BetweenTokens = 25 * time.Millisecond
	}
	pool[3].BetweenTokens = 250 * time.Millisecond
	SetChances(pool)
	rng := rand.New(rand.NewPCG(1, 1))
	first := 0
	for range 4000 {
		if NewAffinity().Choose(start, rng, testQuery(), pool, 1)[0] == pool[3].Backend {
			first++
		}
	}
	if first == 0 || first > 4000/12/4 {
		t.Fatalf("a server with ten times the time between tokens was chosen first in %d of 4000", first)
	}
}
