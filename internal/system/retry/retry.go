// Package retry bounds further attempts: a budget per service in proportion to
// its first attempts, and a jittered exponential backoff.
package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	defaultRatio      = 0.2
	defaultReserve    = 10.0
	defaultBackoff    = 20 * time.Millisecond
	defaultMaxBackoff = 2 * time.Second
	recoveryTime      = time.Second // a pause of retries after which the backoff starts anew
)

// Config holds the budget's limits. Zero values stand for the defaults.
type Config struct {
	Rand       *rand.Rand
	Ratio      float64       // retries earned by each first attempt, unless the service says otherwise
	Reserve    float64       // most retries that can be saved up
	Backoff    time.Duration // delay of the first retry of a run
	MaxBackoff time.Duration
}

// Budget decides on retries, service by service.
type Budget struct {
	cfg      Config
	services *entity.Table[entity.ServiceName, account]
}

type account struct {
	ratio  float64
	tokens float64
	run    int // retries since the last pause
	last   time.Time
}

// New returns a budget in which every service starts with a full reserve.
func New(cfg Config) *Budget {
	cfg.Ratio = cmp.Or(cfg.Ratio, defaultRatio)
	cfg.Reserve = cmp.Or(cfg.Reserve, defaultReserve)
	cfg.Backoff = cmp.Or(cfg.Backoff, defaultBackoff)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, defaultMaxBackoff)
	return &Budget{cfg: cfg, services: entity.NewTable[entity.ServiceName, account]()}
}

// SetServices takes the budget ratios of the services and forgets the
// services that are gone.
func (b *Budget) SetServices(services []entity.Service) {
	kept := entity.NewTable[entity.ServiceName, account]()
	for i := range services {
		a := b.account(services[i].Name)
		if r := services[i].Retry.BudgetRatio; r > 0 {
			a.ratio = r
		}
		kept.Put(services[i].Name, a)
	}
	b.services = kept
}

// SetReserve changes how many retries of a service can be saved up, when the
// number of daemons that share its budget changes.
func (b *Budget) SetReserve(reserve float64) {
	b.cfg.Reserve = cmp.Or(reserve, defaultReserve)
	b.services.All(func(_ entity.ServiceName, a *account) bool {
		a.tokens = min(a.tokens, b.cfg.Reserve)
		return true
	})
}

// First records the first attempt of a request.
func (b *Budget) First(_ time.Time, service entity.ServiceName) {
	a := b.account(service)
	a.tokens = min(a.tokens+a.ratio, b.cfg.Reserve)
}

// Allow reports whether another attempt may be made, and after what delay. It
// takes the retry from the budget.
func (b *Budget) Allow(now time.Time, service entity.ServiceName) (delay time.Duration, ok bool) {
	a := b.account(service)
	if a.tokens < 1 {
		return 0, false
	}
	a.tokens--
	if now.Sub(a.last) > recoveryTime {
		a.run = 0
	}
	a.last = now
	a.run++
	return b.delay(a.run), true
}

// delay draws from the upper half of the exponential backoff's range. The
// range doubles with every full reserve of retries in one run, since many
// requests fail at once when a backend server dies.
func (b *Budget) delay(run int) time.Duration {
	limit := b.cfg.Backoff
	for n := run / int(max(b.cfg.Reserve, 1)); n > 0 && limit < b.cfg.MaxBackoff; n-- {
		limit *= 2
	}
	limit = min(limit, b.cfg.MaxBackoff)
	return limit/2 + time.Duration(b.cfg.Rand.Int64N(int64(limit/2)+1))
}

func (b *Budget) account(service entity.ServiceName) *account {
	a := b.services.Get(service)
	if a == nil {
		a = &account{ratio: b.cfg.Ratio, tokens: b.cfg.Reserve}
		b.services.Put(service, a)
	}
	return a
}
