package exchange

import "time"

const (
	// usedRetryRatio is the ratio of the retries that the contract permits for each request
	// which is used, since the windows in which they are counted slide.
	usedRetryRatio = 0.6
	// usedRetryReserveRatio is the ratio of the permitted reserve that is used, as daemons may
	// disagree for a moment on how many share it.
	usedRetryReserveRatio = 0.8
)

// shareRetries gives this daemon its part of the retry reserve, or none if it knows of no daemon
// yet. One that is cut off from the others shares the reserve with all that are listed.
func (c *Core) shareRetries(now time.Time, known int) {
	c.sharingRetries = max(known, c.listedDaemons)
	if c.sharingRetries == 0 {
		c.budget.SetReserve(now, 0)
		return
	}
	c.budget.SetReserve(now, usedRetryReserveRatio*c.cfg.Bounds.RetryReserve/float64(c.sharingRetries))
}

// openRetryBudgets opens the retry budgets of the configured services, so that their reserve
// accrues also while they get no requests.
func (c *Core) openRetryBudgets(now time.Time) {
	for i := range c.index.doc.Services {
		c.budget.Open(now, c.index.doc.Services[i].Name)
	}
}
