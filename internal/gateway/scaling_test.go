package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	scaledService   = entity.ServiceName("engine")
	scalingLimit    = 13 // servers in one data centre
	scalingBootTime = 4 * time.Second
	scalingStep     = 150 * time.Millisecond
)

// scalingRun plays a cloud that starts and stops the backend servers of one service as the leader
// requests.
type scalingRun struct {
	t       *testing.T
	now     time.Time
	core    *exchange.Core
	scaling *scalingState
	busy    float64 // servers that the demand keeps busy
	dry     bool    // no reclaimable servers are available
	servers map[scalingKey][]*scaledServer
	started int
	calls   int
	lowered int // requests that lowered a number of on-demand servers while dry
}

type scaledServer struct {
	entry   exchange.BackendServer
	readyAt time.Time
	listed  bool
}

func newScalingRun(t *testing.T, busyServers float64) *scalingRun {
	start := time.Unix(1000, 0)
	r := &scalingRun{t: t, now: start, busy: busyServers, scaling: newScalingState(), servers: map[scalingKey][]*scaledServer{}}
	dataCentres := []entity.DataCentreID{"a", "b", "c"}
	r.core = exchange.New(exchange.Config{
		Self: exchange.Member{Name: "d0", DataCentre: "a"}, DataCentres: dataCentres, Started: start, Rand: rand.New(rand.NewPCG(1, 1)),
		Bounds: exchange.Bounds{StaleAfter: time.Hour, UsageWindow: 5 * time.Second, ForgetServerAfter: time.Second},
	})
	r.core.SetDocument(start, &exchange.Document{Version: 1, Services: []exchange.Service{{
		Name: scaledService, Engine: &exchange.Engine{Slots: 16, CacheTokens: 600_000},
		Scale: &exchange.Scale{Min: 1, Max: scalingLimit, BootTime: scalingBootTime, ReclaimablePrice: 0.18},
	}}})
	r.core.SetListedDaemons(start, 1)
	for _, dc := range dataCentres {
		r.set(scalingKey{scaledService, dc, provider.Reclaimable}, scalingLimit-1, 0)
	}
	return r
}

// set starts or stops servers of a class so that there are as many as requested.
func (r *scalingRun) set(key scalingKey, count int, boot time.Duration) {
	for len(r.servers[key]) > count {
		last := r.servers[key][len(r.servers[key])-1]
		r.servers[key] = r.servers[key][:len(r.servers[key])-1]
		r.core.RemoveServer(r.now, last.entry.ID, 0)
	}
	for len(r.servers[key]) < count {
		r.started++
		r.servers[key] = append(r.servers[key], &scaledServer{readyAt: r.now.Add(boot), entry: exchange.BackendServer{
			ID: entity.BackendServerID(fmt.Sprint("s", r.started)), Born: int64(r.started), Service: scaledService, Version: "v1",
			Address: fmt.Sprint("10.0.0.1:", r.started), DataCentre: key.dataCentre, Slots: 16, State: exchange.Ready,
			Reclaimable: key.market == provider.Reclaimable,
		}})
	}
}

// request carries out a scaling request and returns what the cloud answers.
func (r *scalingRun) request(request provider.ScalingRequest) error {
	key := scalingKey{request.Service, request.DataCentre, request.Market}
	before := len(r.servers[key])
	r.calls++
	if request.Market == provider.Reclaimable && r.dry && request.Count > before {
		return provider.ErrRefused
	}
	if request.Market == provider.OnDemand && r.dry && request.Count < before {
		r.lowered++
	}
	r.set(key, request.Count, scalingBootTime)
	return nil
}

// run plays some time.
func (r *scalingRun) run(duration time.Duration) {
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(scalingStep) {
		r.core.AdoptLevels([]exchange.ServiceLevel{{Service: scaledService, Work: r.busy}}) // the demand lasts
		for _, class := range r.servers {
			for _, s := range class {
				if !s.listed && !s.readyAt.After(r.now) {
					s.listed = r.core.PutServer(r.now, s.entry)
				}
			}
		}
		for _, request := range r.scaling.due(r.now, r.core.TargetServers(r.now), r.core.ListedServers()) {
			err := r.request(request)
			r.scaling.record(r.now, request, err)
			recordAnswer(r.core, r.now, request, err)
		}
		r.core.Tick(r.now)
	}
}

// reclaim takes all reclaimable servers of a data centre away.
func (r *scalingRun) reclaim(dc entity.DataCentreID) {
	r.set(scalingKey{scaledService, dc, provider.Reclaimable}, 0, 0)
}

// ready returns the number of servers that are ready.
func (r *scalingRun) ready(market provider.Market) int {
	n := 0
	for key, class := range r.servers {
		for _, s := range class {
			if key.market == market && s.listed {
				n++
			}
		}
	}
	return n
}

// TestScaling_AllReclaimableServersGoAndNoneAreAvailable: the data centres' servers are reclaimed one
// after the other. On-demand servers were requested and given up several times a second, and none of
// them became ready.
func TestScaling_AllReclaimableServersGoAndNoneAreAvailable(t *testing.T) {
	for _, busyServers := range []float64{12, 20, 30} {
		t.Run(fmt.Sprint("busy=", busyServers), func(t *testing.T) {
			r := newScalingRun(t, busyServers)
			r.run(2 * time.Second)
			r.dry = true
			for _, dc := range []entity.DataCentreID{"a", "b", "c"} {
				r.reclaim(dc)
				r.run(1500 * time.Millisecond)
			}
			r.run(scalingBootTime + time.Second)
			if n := r.ready(provider.OnDemand); float64(n) < busyServers {
				t.Errorf("%d on-demand servers are ready %v after the last reclaim, of a load that keeps %.0f busy", n, scalingBootTime+time.Second, busyServers)
			}
			r.run(8 * time.Second)
			if n := r.ready(provider.OnDemand); float64(n) < busyServers {
				t.Errorf("%d on-demand servers are ready later, of a load that keeps %.0f busy", n, busyServers)
			}
			if r.lowered > 0 {
				t.Errorf("%d requests gave on-demand servers up while no reclaimable ones were there", r.lowered)
			}
			t.Logf("%d calls", r.calls)
		})
	}
}
