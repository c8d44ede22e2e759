// Package retry bounds further attempts of requests: by a budget per service
// in proportion to its first attempts, and by a jittered exponential backoff.
package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	defaultRatio      = 0.2  // retries earned by each first attempt
	defaultReserve    = 10.0 // saved retries
	defaultBackoff    = 20 * time.Millisecond
	defaultMaxBackoff = 2 * time.Second
	backoffResetPause = time.Second // time without a retry after which the backoff restarts
)

// Config holds the budget's limits. Zero values stand for the defaults.
type Config struct {
	Rand       *rand.Rand
	Ratio      float64       // retries earned by each first attempt, unless the service says otherwise
	Reserve    float64       // maximum number of saved retries of a service
	Backoff    time.Duration // longest delay of the first retries of a streak
	MaxBackoff time.Duration // upper limit of the longest delay
}

// Budget decides whether and when requests are retried, for each service
// separately.
type Budget struct {
	cfg      Config
	services *entity.Table[entity.ServiceName, account]
}

type account struct {
	ratio        float64 // retries earned by each first attempt
	savedRetries float64
	streak       int // retries since the backoff last restarted
	lastRetry    time.Time
	allowed      uint64 // retries allowed since the start
	refused      uint64 // retries refused since the start
}

// New returns a budget in which every service starts with a full reserve.
func New(cfg Config) *Budget {
	cfg.Ratio = cmp.Or(cfg.Ratio, defaultRatio)
	cfg.Reserve = cmp.Or(cfg.Reserve, defaultReserve)
	cfg.Backoff = cmp.Or(cfg.Backoff, defaultBackoff)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, defaultMaxBackoff)
	return &Budget{cfg: cfg, services: entity.NewTable[entity.ServiceName, account]()}
}

// SetServices applies the budget ratios of the services and drops the budgets
// of services that are no longer listed.
func (b *Budget) SetServices(services []entity.Service) {
	remaining := entity.NewTable[entity.ServiceName, account]()
	for i := range services {
		a := b.account(services[i].Name)
		if r := services[i].Retry.BudgetRatio; r > 0 {
			a.ratio = r
		}
		remaining.Put(services[i].Name, a)
	}
	b.services = remaining
}

// SetReserve changes the maximum number of saved retries of a service. Callers
// use it when the number of daemons that share the budget changes.
func (b *Budget) SetReserve(reserve float64) {
	b.cfg.Reserve = cmp.Or(reserve, defaultReserve)
	b.services.All(func(_ entity.ServiceName, a *account) bool {
		a.savedRetries = min(a.savedRetries, b.cfg.Reserve)
		return true
	})
}

// RecordFirstAttempt records the first attempt of a request, which earns the
// service's ratio of a retry.
func (b *Budget) RecordFirstAttempt(_ time.Time, service entity.ServiceName) {
	a := b.account(service)
	a.savedRetries = min(a.savedRetries+a.ratio, b.cfg.Reserve)
}

// Allow reports whether another attempt may be made, and after what delay. If
// so, it deducts one retry from the budget.
func (b *Budget) Allow(now time.Time, service entity.ServiceName) (delay time.Duration, ok bool) {
	a := b.account(service)
	if a.savedRetries < 1 {
		a.refused++
		return 0, false
	}
	a.allowed++
	a.savedRetries--
	if now.Sub(a.lastRetry) > backoffResetPause {
		a.streak = 0
	}
	a.lastRetry = now
	a.streak++
	return b.delay(a.streak), true
}

// delay returns a random delay between half the backoff and the whole. The
// backoff doubles only after as many retries of one streak as the reserve
// holds, since many requests fail at once when a backend server dies.
func (b *Budget) delay(streak int) time.Duration {
	limit := b.cfg.Backoff
	for n := streak / int(max(b.cfg.Reserve, 1)); n > 0 && limit < b.cfg.MaxBackoff; n-- {
		limit *= 2
	}
	limit = min(limit, b.cfg.MaxBackoff)
	return limit/2 + time.Duration(b.cfg.Rand.Int64N(int64(limit/2)+1))
}

func (b *Budget) account(service entity.ServiceName) *account {
	a := b.services.Get(service)
	if a == nil {
		a = &account{ratio: b.cfg.Ratio, savedRetries: b.cfg.Reserve}
		b.services.Put(service, a)
	}
	return a
}
