// Package admission applies the organisations' limits to new requests.
//
// The limits hold for the whole fleet. Each daemon starts with an even fraction of each
// limit. A daemon that may need more reports its demand to the limit's coordinator, one
// daemon chosen by rendezvous hashing, which allocates to it what the others do not use.
// So a caller that sends all requests to one daemon gets the whole limit after about a
// second, while the sum of the fractions stays bounded.
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
	// tokenBurstDuration is the time for which a daemon's fraction of the tokens/s may
	// accumulate unused.
	tokenBurstDuration = 10 * time.Second
	// topPriorityReserveRatio is the ratio of a burst that is reserved for requests of the
	// organisation's top priority.
	topPriorityReserveRatio = 0.1
	// maxRetryDelay and minRetryDelay bound the retry delay of a refusal, before jitter.
	maxRetryDelay = 10 * time.Second
	minRetryDelay = 50 * time.Millisecond
)

// Config of a Limiter.
type Config struct {
	Self entity.InstanceID // empty: fractions stay even, no messages are exchanged
	Rand *rand.Rand        // jitter of the retry delay of a refusal
}

// Limiter holds this daemon's fraction of every organisation's limits. It is not
// safe for concurrent use.
type Limiter struct {
	cfg          Config
	daemons      int
	members      []entity.InstanceID
	accounts     *entity.Table[LimitKey, account]
	demandTables *entity.Table[LimitKey, demandTable]      // of the limits that this daemon coordinates
	outgoing     *entity.Table[entity.InstanceID, Message] // to be sent, by receiver
	lastExchange time.Time                                 // when this daemon last reported its demand
}

// LimitKey names the limits of an organisation for a service.
type LimitKey struct {
	Service      entity.ServiceName    `cbor:"1,keyasint"`
	Organisation entity.OrganisationID `cbor:"2,keyasint"`
}

// account is this daemon's fraction of one limit.
type account struct {
	limits       entity.OrganisationShare // for the whole fleet
	fraction     float64                  // of the whole limit
	allocatedAt  time.Time                // when the coordinator last allocated the fraction; zero: it is even
	requests     *rate.Limiter
	tokens       *rate.Limiter // nil: no limit
	requestCount float64       // requests since the last exchange, including refused ones
	tokenCount   float64       // tokens of these requests
}

// New returns a limiter without services.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:          cfg,
		daemons:      1,
		accounts:     entity.NewTable[LimitKey, account](),
		demandTables: entity.NewTable[LimitKey, demandTable](),
		outgoing:     entity.NewTable[entity.InstanceID, Message](),
	}
}

// SetServices replaces the limits by those of the services' organisations.
func (l *Limiter) SetServices(now time.Time, services []entity.Service) {
	next := entity.NewTable[LimitKey, account]()
	for i := range services {
		for _, organisation := range services[i].Organisations {
			key := LimitKey{services[i].Name, organisation.ID}
			a := l.accounts.Get(key)
			if a == nil {
				a = &account{fraction: 1 / float64(l.daemons)}
			}
			a.limits = organisation
			a.setRates(now)
			next.Put(key, a)
		}
	}
	l.accounts = next
}

// SetDaemons sets how many daemons share the limits.
func (l *Limiter) SetDaemons(n int) {
	l.daemons = max(n, 1)
	l.accounts.All(func(_ LimitKey, a *account) bool {
		if a.allocatedAt.IsZero() {
			a.fraction = 1 / float64(l.daemons)
			a.setRates(time.Time{})
		}
		return true
	})
}

// setRates sets the rates and bursts to the daemon's fraction of the limit. With a zero
// time, the rate limiters are replaced by full ones.
func (a *account) setRates(now time.Time) {
	requests := rate.Limit(a.limits.RequestsPerSecond * a.fraction)
	burst := max(1, int(math.Ceil(float64(a.limits.RequestBurst)*a.fraction)))
	if a.limits.RequestsPerSecond == 0 {
		requests = rate.Inf
	}
	a.requests = adjustLimiter(a.requests, now, requests, burst)
	if a.limits.TokensPerSecond == 0 {
		a.tokens = nil
		return
	}
	tokens := a.limits.TokensPerSecond * a.fraction
	tokenCapacity := max(a.limits.TokensPerSecond, tokens*tokenBurstDuration.Seconds())
	a.tokens = adjustLimiter(a.tokens, now, rate.Limit(tokens), max(1, int(tokenCapacity)))
}

// adjustLimiter returns a rate limiter with the given rate and burst. It keeps the
// tokens of l, unless l is nil or the time is zero.
func adjustLimiter(l *rate.Limiter, now time.Time, limit rate.Limit, burst int) *rate.Limiter {
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

// Admit returns nil if the request is within the limits, and counts it. Otherwise it
// returns an error with the verdict not-run, the code "over-limit" and a retry delay. An
// organisation that the service does not list gets the code "forbidden".
func (l *Limiter) Admit(now time.Time, service entity.ServiceName, org entity.OrganisationID, p entity.Priority, cost entity.Tokens) error {
	a := l.accounts.Get(LimitKey{service, org})
	if a == nil {
		return verdict.New(verdict.NotRun, "forbidden", "the organisation may not use the service")
	}
	a.requestCount++
	a.tokenCount += float64(cost)
	wait := a.waitDuration(now, p, cost)
	if wait <= 0 {
		a.requests.AllowN(now, 1)
		if a.tokens != nil {
			a.tokens.AllowN(now, a.tokenCharge(cost))
		}
		return nil
	}
	err := verdict.New(verdict.NotRun, "over-limit", "the organisation's limit is reached")
	return verdict.WithRetryAfter(err, l.retryDelay(wait))
}

// waitDuration returns how long the request would have to wait for both limits.
func (a *account) waitDuration(now time.Time, p entity.Priority, cost entity.Tokens) time.Duration {
	wait := refillDuration(now, a.requests, 1, a.tokensToLeave(a.requests, p))
	if a.tokens == nil {
		return wait
	}
	return max(wait, refillDuration(now, a.tokens, a.tokenCharge(cost), a.tokensToLeave(a.tokens, p)))
}

// tokenCharge returns the tokens to charge for a request. They are bounded by the burst,
// so that a larger request can be admitted at all.
func (a *account) tokenCharge(cost entity.Tokens) int {
	return min(max(int(cost), 1), a.tokens.Burst())
}

// tokensToLeave returns how many tokens a request must leave in a rate limiter: a reserve
// if its priority is below the organisation's top priority, otherwise none.
func (a *account) tokensToLeave(l *rate.Limiter, p entity.Priority) float64 {
	if p <= a.limits.TopPriority {
		return 0
	}
	return math.Floor(topPriorityReserveRatio * float64(l.Burst()))
}

// refillDuration returns how long it takes until a rate limiter has n tokens in addition to
// the reserve.
func refillDuration(now time.Time, l *rate.Limiter, n int, reserve float64) time.Duration {
	if l.Limit() == rate.Inf {
		return 0
	}
	shortfall := min(float64(n)+reserve, float64(l.Burst())) - l.TokensAt(now)
	if shortfall <= 0 {
		return 0
	}
	return time.Duration(shortfall / float64(l.Limit()) * float64(time.Second))
}

// retryDelay bounds the retry delay and adds a random jitter of up to half of it, so that
// refused callers do not all retry at the same time.
func (l *Limiter) retryDelay(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryDelay), maxRetryDelay)
	return wait + time.Duration(l.cfg.Rand.Int64N(int64(wait/2)+1))
}
