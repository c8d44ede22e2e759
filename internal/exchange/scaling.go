package exchange

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/capacity"
)

// serverLocation identifies the servers of a service in a data centre.
type serverLocation struct {
	service    entity.ServiceName
	dataCentre entity.DataCentreID
}

// minExhaustedTTL is how long the refusal of a scaling request for reclaimable servers
// is taken to hold at least. A refused request is repeated every second.
const minExhaustedTTL = 2500 * time.Millisecond

// startingServers is the number of on-demand servers that an accepted scaling request has set.
type startingServers struct {
	count int
	at    time.Time
}

// RecordScalingRequest records the answer to a scaling request: whether it was refused because
// none are available. Only a request for more reclaimable servers than there are shows that some are
// available.
func (c *Core) RecordScalingRequest(now time.Time, request ServerCount, refused bool) {
	key := serverLocation{request.Service, request.DataCentre}
	if !request.Reclaimable {
		if !refused {
			c.startingOnDemand.Put(key, &startingServers{request.Count, now})
		}
		return
	}
	if refused {
		c.reclaimableExhaustedAt.Put(key, &now)
		return
	}
	if request.Count > c.listedCount(request) {
		c.reclaimableExhaustedAt.Delete(key)
	}
}

// reclaimableExhausted reports whether no reclaimable servers were available lately. The
// on-demand servers that replace them must have the time to start: until they are there, a
// plan that expects reclaimable servers again would give them up.
func (c *Core) reclaimableExhausted(now time.Time, s *Service, dc entity.DataCentreID) bool {
	at := c.reclaimableExhaustedAt.Get(serverLocation{s.Name, dc})
	return at != nil && now.Sub(*at) < max(minExhaustedTTL, startTime(s))
}

// existingOnDemand returns the number of on-demand servers that are listed or starting.
func (c *Core) existingOnDemand(now time.Time, s *Service, dc entity.DataCentreID, listed int) int {
	starting := c.startingOnDemand.Get(serverLocation{s.Name, dc})
	if starting == nil || now.Sub(starting.at) >= startTime(s) {
		return listed
	}
	return max(listed, starting.count)
}

// startTimeRatio is the time from a scaling request until its servers are listed, in boot
// times of a server.
const startTimeRatio = 1.5

// startTime returns the time from a scaling request until its servers are listed.
func startTime(s *Service) time.Duration {
	return time.Duration(startTimeRatio * float64(s.Scale.BootTime))
}

// onDemandLevel returns the level of work by which a service's on-demand servers are planned
// that replace reclaimable ones. It begins with the level of the service's capacity.
func (c *Core) onDemandLevel(s *Service) *capacity.Level {
	level := c.onDemandLevels.Get(s.Name)
	if level == nil {
		level = capacity.NewOnDemandLevel(s.Scale.BootTime)
		level.Adopt(c.level(s.Name).BusyServers())
		c.onDemandLevels.Put(s.Name, level)
	}
	return level
}
