package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

var start = time.UnixMicro(1_700_000_000_000_000)

func document(o entity.OrganisationShare) []entity.Service {
	return []entity.Service{{Name: "s", Organisations: []entity.OrganisationShare{o}}}
}

// fleet returns limiters that share a limit of 100 requests/s.
func fleet(n int) []*Limiter {
	var ids []entity.InstanceID
	for i := range n {
		ids = append(ids, entity.InstanceID(fmt.Sprintf("d%d", i)))
	}
	var out []*Limiter
	for i := range n {
		l := New(Config{Self: ids[i], Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		l.SetMembers(ids)
		l.SetServices(start, document(entity.OrganisationShare{ID: "o", RequestsPerSecond: 100, RequestBurst: 20}))
		out = append(out, l)
	}
	return out
}

// simulate offers perSecond[i] requests a second to the limiter of daemon i, delivers
// the limiters' messages and returns how many requests were admitted in the second half
// of the time.
func simulate(fleet []*Limiter, perSecond []int, seconds int) int {
	admitted := 0
	const step = 10 * time.Millisecond
	steps := seconds * int(time.Second/step)
	for i := range steps {
		now := start.Add(time.Duration(i) * step)
		for d, l := range fleet {
			before, after := i*perSecond[d]/100, (i+1)*perSecond[d]/100
			for range after - before {
				if l.Admit(now, "s", "o", 0, 1) == nil && i >= steps/2 {
					admitted++
				}
			}
			l.Tick(now)
			for _, e := range l.Ready() {
				for j := range fleet {
					if fleet[j].cfg.Self == e.To {
						fleet[j].Step(now, l.cfg.Self, e.Message)
					}
				}
			}
		}
	}
	return admitted
}

func TestLimiter_CallersOfOneDaemonGetTheWholeLimit(t *testing.T) {
	offered := make([]int, 9)
	offered[4] = 300
	if got := simulate(fleet(9), offered, 20); got < 900 || got > 1050 {
		t.Fatalf("%d requests admitted in 10 s at one daemon, limit 1000", got)
	}
}

func TestLimiter_FleetStaysWithinTheLimit(t *testing.T) {
	for _, offered := range [][]int{
		{300, 300, 300, 300, 300, 300, 300, 300, 300},
		{300, 8, 8, 8, 8, 8, 8, 8, 8},
		{300, 3, 3, 3, 3, 3, 3, 3, 3},
		{100, 50, 25, 12, 6, 3, 0, 0, 0},
	} {
		if got := simulate(fleet(9), offered, 20); got < 850 || got > 1100 {
			t.Errorf("offered %v requests/s by daemon: %d requests admitted in 10 s, limit 1000", offered, got)
		}
	}
}

func TestLimiter_RefusalHasRetryTime(t *testing.T) {
	l := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
	l.SetServices(start, document(entity.OrganisationShare{ID: "o", RequestsPerSecond: 10, RequestBurst: 1, TokensPerSecond: 100}))
	if err := l.Admit(start, "s", "o", 0, 500); err != nil {
		t.Fatal(err)
	}
	err := l.Admit(start, "s", "o", 0, 1000)
	after, ok := verdict.RetryAfter(err)
	if verdict.Of(err) != verdict.NotRun || verdict.CodeOf(err) != "over-limit" || !ok || after < 5*time.Second {
		t.Fatalf("error %v, retry after %v; want not-run, over-limit and at least 5 s", err, after)
	}
	if err := l.Admit(start.Add(after), "s", "o", 0, 1000); err != nil {
		t.Fatalf("refused again after the retry delay: %v", err)
	}
	if err := l.Admit(start, "s", "other", 0, 1); verdict.CodeOf(err) != "forbidden" {
		t.Fatalf("error for an unknown organisation: %v, want code forbidden", err)
	}
}

func TestLimiter_TopPriorityKeepsAReserve(t *testing.T) {
	l := New(Config{Rand: rand.New(rand.NewPCG(1, 1))})
	l.SetServices(start, document(entity.OrganisationShare{ID: "o", RequestsPerSecond: 10, RequestBurst: 20, TopPriority: 1}))
	for l.Admit(start, "s", "o", 2, 1) == nil {
	}
	if err := l.Admit(start, "s", "o", 1, 1); err != nil {
		t.Fatalf("request of the top priority refused after lower ones used the rest of the burst: %v", err)
	}
}
