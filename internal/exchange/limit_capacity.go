package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/capacity"
)

// minLimitDuration is how long a limit must have been in force for the capacity plan to
// make up for it.
const minLimitDuration = 2 * time.Second

// withheldServers returns how many servers of a service, by the requests that they would
// get otherwise, are withheld by their limits, or as they are brittle and others have fallen.
func (c *Core) withheldServers(now time.Time, service entity.ServiceName) float64 {
	listed, withheld := 0, 0.0
	var limits []float64
	c.servers.All(func(_ entity.BackendServerID, row *serverRow) bool {
		if row.Service != service || !row.listed || !c.inService(row) {
			return true
		}
		listed++
		if limit := c.statements.inForce(row.process()); limit != nil && now.Sub(limit.since) >= minLimitDuration {
			limits = append(limits, limit.PerSecond)
		}
		return true
	})
	if s := c.statements.brittle.Get(service); s != nil && s.tightened() {
		withheld = (1 - tightenedShare) * float64(listed)
	}
	if len(limits) == 0 {
		return withheld
	}
	usual := c.Demand(now, service).Requests / float64(listed)
	for _, perSecond := range limits {
		if perSecond < usual {
			withheld += 1 - perSecond/usual
		}
	}
	return withheld
}

// withheldLevel returns the level of withheld servers that a service's capacity is planned
// with.
func (l *statementTable) withheldLevel(service entity.ServiceName) *capacity.Level {
	level := l.withheld.Get(service)
	if level == nil {
		level = &capacity.Level{}
		l.withheld.Put(service, level)
	}
	return level
}
