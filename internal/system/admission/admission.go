// Package admission applies the organisations' limits to new requests.
//
// The limits hold for the whole fleet. Each daemon starts with an even part of
// them. A daemon that needs more than its part says so to the limit's
// coordinator, one daemon chosen by rendezvous hashing, which lends it what the
// others do not use. So a caller that sticks to one daemon gets the whole
// limit after about a second, while the sum of the parts stays bounded.
package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

const (
	tokenBurst    = 10 * time.Second // of tokens/s, for one daemon's part
	urgentReserve = 0.1              // of a burst is kept for the top priority
	maxRetryAfter = 10 * time.Second
	minRetryAfter = 50 * time.Millisecond
)

// Config of a Limiter.
type Config struct {
	Self entity.InstanceID // empty: parts are even and nothing is lent
	Rand *rand.Rand        // jitter of the time to try again
}

// Limiter holds this daemon's part of every organisation's limits. It is not
// safe for concurrent use.
type Limiter struct {
	cfg       Config
	daemons   int
	members   []entity.InstanceID
	limits    *entity.Table[Limit, account]
	books     *entity.Table[Limit, book]
	out       *entity.Table[entity.InstanceID, Message]
	exchanged time.Time
}

// Limit names the limits of an organisation for a service.
type Limit struct {
	Service      entity.ServiceName    `cbor:"1,keyasint"`
	Organisation entity.OrganisationID `cbor:"2,keyasint"`
}

// account is this daemon's part of a limit.
type account struct {
	share    entity.OrganisationShare
	part     float64   // of the whole limit
	lent     time.Time // when the coordinator last set the part; zero: even part
	requests *rate.Limiter
	tokens   *rate.Limiter // nil: no limit
	wanted   float64       // requests since the last exchange, refused ones too
	cost     float64       // tokens since then
}

// New returns a limiter that knows no services.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:     cfg,
		daemons: 1,
		limits:  entity.NewTable[Limit, account](),
		books:   entity.NewTable[Limit, book](),
		out:     entity.NewTable[entity.InstanceID, Message](),
	}
}

// SetServices takes the limits of the services' organisations.
func (l *Limiter) SetServices(now time.Time, services []entity.Service) {
	next := entity.NewTable[Limit, account]()
	for i := range services {
		for _, o := range services[i].Organisations {
			key := Limit{services[i].Name, o.ID}
			a := l.limits.Get(key)
			if a == nil {
				a = &account{part: 1 / float64(l.daemons)}
			}
			a.share = o
			a.apply(now)
			next.Put(key, a)
		}
	}
	l.limits = next
}

// SetDaemons says how many daemons share the limits.
func (l *Limiter) SetDaemons(n int) {
	l.daemons = max(n, 1)
	l.limits.All(func(_ Limit, a *account) bool {
		if a.lent.IsZero() {
			a.part = 1 / float64(l.daemons)
			a.apply(time.Time{})
		}
		return true
	})
}

// apply sets the rates to the part. A zero time changes them from the last
// use on.
func (a *account) apply(now time.Time) {
	requests := rate.Limit(a.share.RequestsPerSecond * a.part)
	burst := max(1, int(math.Ceil(float64(a.share.RequestBurst)*a.part)))
	if a.share.RequestsPerSecond == 0 {
		requests = rate.Inf
	}
	a.requests = adjust(a.requests, now, requests, burst)
	if a.share.TokensPerSecond == 0 {
		a.tokens = nil
		return
	}
	tokens := a.share.TokensPerSecond * a.part
	most := max(a.share.TokensPerSecond, tokens*tokenBurst.Seconds())
	a.tokens = adjust(a.tokens, now, rate.Limit(tokens), max(1, int(most)))
}

func adjust(l *rate.Limiter, now time.Time, limit rate.Limit, burst int) *rate.Limiter {
	switch {
	case l == nil:
		return rate.NewLimiter(limit, burst)
	case now.IsZero():
		return rate.NewLimiter(limit, burst)
	case l.Limit() != limit || l.Burst() != burst:
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, burst)
	}
	return l
}

// Admit returns nil, or an error with the verdict not-run, the code
// "over-limit" and a time to try again. An organisation that the service does
// not list gets the code "forbidden".
func (l *Limiter) Admit(now time.Time, service entity.ServiceName, org entity.OrganisationID, p entity.Priority, cost entity.Tokens) error {
	a := l.limits.Get(Limit{service, org})
	if a == nil {
		return verdict.New(verdict.NotRun, "forbidden", "the organisation may not use the service")
	}
	a.wanted++
	a.cost += float64(cost)
	wait := a.wait(now, p, cost)
	if wait <= 0 {
		a.requests.AllowN(now, 1)
		if a.tokens != nil {
			a.tokens.AllowN(now, a.charge(cost))
		}
		return nil
	}
	err := verdict.New(verdict.NotRun, "over-limit", "the organisation's limit is reached")
	return verdict.WithRetryAfter(err, l.retryAfter(wait))
}

// wait returns how long the request would have to wait for both limits.
func (a *account) wait(now time.Time, p entity.Priority, cost entity.Tokens) time.Duration {
	wait := missing(now, a.requests, 1, a.reserve(a.requests, p))
	if a.tokens == nil {
		return wait
	}
	return max(wait, missing(now, a.tokens, a.charge(cost), a.reserve(a.tokens, p)))
}

// charge is bounded by the burst: a larger request must still pass sometimes.
func (a *account) charge(cost entity.Tokens) int {
	return min(max(int(cost), 1), a.tokens.Burst())
}

// reserve is what requests below the organisation's top priority leave.
func (a *account) reserve(l *rate.Limiter, p entity.Priority) float64 {
	if p <= a.share.TopPriority {
		return 0
	}
	return math.Floor(urgentReserve * float64(l.Burst()))
}

func missing(now time.Time, l *rate.Limiter, n int, reserve float64) time.Duration {
	if l.Limit() == rate.Inf {
		return 0
	}
	short := min(float64(n)+reserve, float64(l.Burst())) - l.TokensAt(now)
	if short <= 0 {
		return 0
	}
	return time.Duration(short / float64(l.Limit()) * float64(time.Second))
}

// retryAfter adds up to half, so that refused callers do not come back at once.
func (l *Limiter) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(l.cfg.Rand.Int64N(int64(wait/2)+1))
}
