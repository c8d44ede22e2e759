// Package admission applies the organisations' limits to new requests.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Config of a Limiter.
type Config struct {
	Rand *rand.Rand // jitter of the time to try again
}

// Limiter holds this daemon's share of every organisation's limits.
type Limiter struct{}

// New returns a limiter that knows no services.
func New(cfg Config) *Limiter { return &Limiter{} }

// SetServices takes the limits of the services' organisations.
func (l *Limiter) SetServices(now time.Time, services []entity.Service) {}

// SetDaemons says how many daemons share the limits.
func (l *Limiter) SetDaemons(n int) {}

// Admit returns nil, or an error with the verdict not-run, the code
// "over-limit" and a time to try again.
func (l *Limiter) Admit(now time.Time, service entity.ServiceName, org entity.OrganisationID, p entity.Priority, cost entity.Tokens) error {
	return nil
}
