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

// SetListedDaemons records how many daemons the table service lists, this one included.
func (c *Core) SetListedDaemons(now time.Time, n int) {
	c.listedDaemons = n
	_, known := c.countDaemons(now)
	c.shareRetries(now, known)
}

// shareRetries gives this daemon its part of the retry reserve. A daemon that has not read the
// list of daemons does not know with how many it shares and has none; one that is cut off
// from the others shares it with all that are listed.
func (c *Core) shareRetries(now time.Time, known int) {
	if c.listedDaemons == 0 {
		c.sharingRetries = 0
		c.budget.SetReserve(now, 0)
		return
	}
	c.sharingRetries = max(known, c.listedDaemons)
	c.budget.SetReserve(now, usedRetryReserveRatio*c.cfg.Bounds.RetryReserve/float64(c.sharingRetries))
}

// openRetryBudgets opens the retry budgets of the configured services, so that their reserve
// accrues also while they get no requests.
func (c *Core) openRetryBudgets(now time.Time) {
	for i := range c.index.doc.Services {
		c.budget.Open(now, c.index.doc.Services[i].Name)
	}
}
