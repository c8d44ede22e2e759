// Package retry bounds further attempts of requests: by a budget per service
// in proportion to its first attempts and over time, and by a jittered exponential backoff.
//
// Over any window, a budget allows a service at most Ratio retries for each first attempt in
// it and Reserve more, however often it is dropped and opened again meanwhile: an account
// begins with nothing and gets its reserve over time, so that a process that starts again
// gets no more than the one before would have got. Daemons that share a contract's budget each
// have a part of the reserve.
package retry

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	defaultRatio      = 0.2  // retries earned by each first attempt
	defaultReserve    = 10.0 // retries in a window beyond those
	defaultWindow     = 10 * time.Second
	defaultBackoff    = 20 * time.Millisecond
	defaultMaxBackoff = 2 * time.Second
	backoffResetPause = time.Second // time without a retry after which the backoff restarts
	// savedRatio is the ratio of the reserve that may be saved up when a window begins. The
	// rest accrues in the course of the window.
	savedRatio = 2.0 / 3
)

// Config holds the budget's limits. Zero values stand for the defaults.
type Config struct {
	Rand       *rand.Rand
	Ratio      float64       // retries earned by each first attempt, unless the service says otherwise
	Reserve    float64       // retries of a service in a window beyond those
	Window     time.Duration // over which the reserve is counted
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
	accruedAt    time.Time // up to when the reserve has accrued in savedRetries
	streak       int       // retries since the backoff last restarted
	lastRetry    time.Time
	allowed      uint64 // retries allowed since the start
	refused      uint64 // retries refused since the start
}

// New returns a budget without accounts.
func New(cfg Config) *Budget {
	cfg.Ratio = cmp.Or(cfg.Ratio, defaultRatio)
	cfg.Reserve = cmp.Or(cfg.Reserve, defaultReserve)
	cfg.Window = cmp.Or(cfg.Window, defaultWindow)
	cfg.Backoff = cmp.Or(cfg.Backoff, defaultBackoff)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, defaultMaxBackoff)
	return &Budget{cfg: cfg, services: entity.NewTable[entity.ServiceName, account]()}
}

// Open opens the account of a service, unless it is open. Its reserve accrues from then on.
func (b *Budget) Open(now time.Time, service entity.ServiceName) { b.account(now, service) }

// SetServices applies the budget ratios of the services and drops the budgets
// of services that are no longer listed. Those of new services begin with nothing.
func (b *Budget) SetServices(now time.Time, services []entity.Service) {
	remaining := entity.NewTable[entity.ServiceName, account]()
	for i := range services {
		a := b.account(now, services[i].Name)
		if r := services[i].Retry.BudgetRatio; r > 0 {
			a.ratio = r
		}
		remaining.Put(services[i].Name, a)
	}
	b.services = remaining
}

// SetReserve changes the reserve of each service, which may be 0. Callers use it when the
// number of daemons that share the budget changes.
func (b *Budget) SetReserve(now time.Time, reserve float64) {
	if reserve == b.cfg.Reserve {
		return
	}
	b.accrueAll(now)
	b.cfg.Reserve = reserve
	b.accrueAll(now) // lowers what is saved to the new capacity
}

// RecordFirstAttempt records the first attempt of a request, which earns the
// service's ratio of a retry.
func (b *Budget) RecordFirstAttempt(now time.Time, service entity.ServiceName) {
	a := b.account(now, service)
	b.accrue(now, a)
	a.savedRetries = min(a.savedRetries+a.ratio, b.capacity(a))
}

// Allow reports whether another attempt may be made, and after what delay. If
// so, it deducts one retry from the budget.
func (b *Budget) Allow(now time.Time, service entity.ServiceName) (delay time.Duration, ok bool) {
	a := b.account(now, service)
	b.accrue(now, a)
	if !b.spend(a) {
		a.refused++
		return 0, false
	}
	a.allowed++
	if now.Sub(a.lastRetry) > backoffResetPause {
		a.streak = 0
	}
	a.lastRetry = now
	a.streak++
	return b.delay(a.streak), true
}

// spend deducts one retry if one is saved. An account that cannot save a whole one, as many
// daemons share the reserve, stakes what it has saved: it allows a retry with that
// probability. So all of them together spend what they may.
func (b *Budget) spend(a *account) bool {
	switch {
	case a.savedRetries >= 1:
		a.savedRetries--
		return true
	case b.capacity(a) >= 1:
		return false
	}
	probability := a.savedRetries
	a.savedRetries = 0
	return b.cfg.Rand.Float64() < probability
}

// capacity returns the maximum number of saved retries, at least those that one first attempt earns.
func (b *Budget) capacity(a *account) float64 {
	return max(savedRatio*b.cfg.Reserve, a.ratio)
}

// accrue adds the part of the reserve that has accrued since the last call.
func (b *Budget) accrue(now time.Time, a *account) {
	if elapsed := now.Sub(a.accruedAt); elapsed > 0 {
		a.savedRetries += (1 - savedRatio) * b.cfg.Reserve * elapsed.Seconds() / b.cfg.Window.Seconds()
		a.accruedAt = now
	}
	a.savedRetries = min(a.savedRetries, b.capacity(a))
}

func (b *Budget) accrueAll(now time.Time) {
	b.services.All(func(_ entity.ServiceName, a *account) bool {
		b.accrue(now, a)
		return true
	})
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

// account returns the account of a service, and opens it with nothing saved if there is none.
func (b *Budget) account(now time.Time, service entity.ServiceName) *account {
	a := b.services.Get(service)
	if a == nil {
		a = &account{ratio: b.cfg.Ratio, accruedAt: now}
		b.services.Put(service, a)
	}
	return a
}
