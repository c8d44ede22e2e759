package retry

import (
	"fmt"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Status is the state of one service's budget, for operators.
type Status struct {
	Service entity.ServiceName `json:"service"`
	Saved   float64            `json:"saved"`   // retries
	Reserve float64            `json:"reserve"` // this daemon's part of the reserve, in retries in a window
	Allowed uint64             `json:"allowed"` // retries since the start of the process
	Refused uint64             `json:"refused"` // retries since the start of the process
}

// String returns the state as text, for logs.
func (s Status) String() string {
	return fmt.Sprintf("%.2f retries saved, reserve %.2f, %d allowed and %d refused since the start", s.Saved, s.Reserve, s.Allowed, s.Refused)
}

// Status returns the state of all services' budgets.
func (b *Budget) Status(now time.Time) []Status {
	b.accrueAll(now)
	var out []Status
	b.services.All(func(name entity.ServiceName, a *account) bool {
		out = append(out, b.status(name, a))
		return true
	})
	return out
}

// StatusOf returns the state of one service's budget.
func (b *Budget) StatusOf(now time.Time, service entity.ServiceName) Status {
	a := b.account(now, service)
	b.accrue(now, a)
	return b.status(service, a)
}

func (b *Budget) status(name entity.ServiceName, a *account) Status {
	return Status{Service: name, Saved: a.savedRetries, Reserve: b.cfg.Reserve, Allowed: a.allowed, Refused: a.refused}
}
