package gateway

import "time"

// RolloutBounds bound what a bad version of a service may get during its roll-out. The zero
// value switches roll-outs off.
type RolloutBounds struct {
	ExposeShare float64       // ratio of the service's requests between the order and its deadline
	ExposeSlack float64       // requests in addition to the ratio
	StopWithin  time.Duration // time from its bad answers after which it must get no request
}
