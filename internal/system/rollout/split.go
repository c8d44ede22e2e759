package rollout

import (
	"math"
	"slices"
	"strconv"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/rendezvous"
)

const (
	// canaryShareRatio is the ratio of the share that a bad version may get which the canary
	// uses. The rest is for what the new version gets while its share rises.
	canaryShareRatio = 0.8
	// maxCredit is the number of canary sends that may be saved up while none is possible, and
	// canaryDraw the ratio of requests that are canaries while one is due. Both keep what was
	// saved up from flooding the empty caches of the new servers.
	maxCredit  = 2.0
	canaryDraw = 0.25
)

// CanaryShare returns the ratio of a service's requests that the new version gets in the stage
// Canary, where maxBadShare is the ratio that a bad version may get.
func CanaryShare(maxBadShare float64) float64 { return canaryShareRatio * maxBadShare }

// Split counts what one process has sent since it learned of an order. A canary send must be
// covered by requests that have reached the service, so that the bound on the canary's share
// holds over all processes without any message between them.
type Split struct {
	Reached uint64  // requests that have certainly reached the service
	Sends   uint64  // to the new version, rejected ones included
	credit  float64 // canary sends that are due
}

// CountReached counts a request that has certainly reached the service.
func (s *Split) CountReached(canaryShare float64) {
	s.Reached++
	s.credit = min(s.credit+canaryShare, maxCredit)
}

// CountSend counts a send to the new version.
func (s *Split) CountSend() {
	s.Sends++
	s.credit = max(s.credit-1, -maxCredit)
}

// MaySend reports whether the canary share covers another send to the new version, and one is due.
func (s *Split) MaySend(canaryShare float64) bool {
	return s.credit >= 1 && float64(s.Sends+1) <= canaryShare*float64(s.Reached)
}

// DrawsCanary reports whether a request is among those that the canary gets if MaySend allows.
func DrawsCanary(id entity.RequestID, order uint64) bool { return draw(id, order) < canaryDraw }

// DrawsNew reports whether a request is among the share that the new version gets while that
// rises. With a higher share the same requests are among it, and more.
func DrawsNew(id entity.RequestID, order uint64, share float64) bool {
	return draw(id, order) < share
}

// draw returns a number from 0 up to 1 that depends on the request and the order only.
func draw(id entity.RequestID, order uint64) float64 {
	return float64(rendezvous.Weight(string(id), orderKey(order))) / math.MaxUint64
}

func orderKey(order uint64) string { return "rollout " + strconv.FormatUint(order, 10) }

// CanaryServers returns the servers of the new version that get the canary's requests: as many
// as have the usual load with them, the same ones at all daemons that know the same servers.
func CanaryServers(servers []entity.BackendServerID, order uint64, canaryShare float64) []entity.BackendServerID {
	key := orderKey(order)
	slices.SortFunc(servers, func(a, b entity.BackendServerID) int { return rendezvous.Compare(string(a), string(b), key) })
	n := int(math.Ceil(canaryShare * float64(len(servers))))
	return servers[:min(n, len(servers))]
}
