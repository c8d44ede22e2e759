package gateway

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// refusedRetryDelay is the time after which a scaling request is repeated that was
	// refused or failed, or whose backend servers have partly gone.
	refusedRetryDelay = 1 * time.Second
	// missingRetryDelay is the time after which an accepted scaling request is repeated
	// whose backend servers have not all been listed.
	missingRetryDelay = 6 * time.Second
)

// scalingKey identifies the class of backend servers whose number one scaling request
// sets.
type scalingKey struct {
	service    entity.ServiceName
	dataCentre entity.DataCentreID
	market     provider.Market
}

// sentScalingRequest is the last scaling request of a scalingKey.
type sentScalingRequest struct {
	count     int  // target count that was requested
	ok        bool // the platform accepted it
	at        time.Time
	maxListed int // highest number of listed servers since then, at most count
}

// scalingState holds the last scaling requests that this daemon sent while it has held
// the lease.
type scalingState struct {
	sent *entity.Table[scalingKey, sentScalingRequest]
}

func newScalingState() *scalingState {
	return &scalingState{sent: entity.NewTable[scalingKey, sentScalingRequest]()}
}

// due returns the scaling requests to be sent now.
func (s *scalingState) due(now time.Time, targets []exchange.ServerCount, listed []exchange.ServerCount) []provider.ScalingRequest {
	listedCounts := make(map[scalingKey]int, len(listed))
	for _, l := range listed {
		listedCounts[scalingKeyOf(&l)] = l.Count
	}
	var out []provider.ScalingRequest
	for _, target := range targets {
		key := scalingKeyOf(&target)
		if s.needed(now, key, target.Count, listedCounts[key]) {
			out = append(out, provider.ScalingRequest{Service: target.Service, DataCentre: target.DataCentre, Market: key.market, Count: target.Count})
		}
	}
	return out
}

// needed reports whether to send a scaling request for a target count now. It also
// records the highest number of listed servers since the last request, up to the target.
func (s *scalingState) needed(now time.Time, key scalingKey, target, listed int) bool {
	last := s.sent.Get(key)
	switch {
	case last == nil:
		return target != listed
	case last.count != target:
		return true
	case !last.ok:
		return now.Sub(last.at) >= refusedRetryDelay
	case listed < last.maxListed:
		return now.Sub(last.at) >= refusedRetryDelay // some have been reclaimed or have failed
	default:
		last.maxListed = min(listed, target)
		return listed < target && now.Sub(last.at) >= missingRetryDelay
	}
}

// record stores a scaling request that has been sent, and whether it was accepted.
func (s *scalingState) record(now time.Time, r provider.ScalingRequest, err error) {
	s.sent.Put(scalingKey{r.Service, r.DataCentre, r.Market}, &sentScalingRequest{count: r.Count, ok: err == nil, at: now})
}

func scalingKeyOf(c *exchange.ServerCount) scalingKey {
	market := provider.OnDemand
	if c.Reclaimable {
		market = provider.Reclaimable
	}
	return scalingKey{c.Service, c.DataCentre, market}
}
