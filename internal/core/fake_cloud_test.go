package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

const (
	// cloudBootDelay is the time from a launch request until the instance runs.
	cloudBootDelay = 10 * time.Second
	// cloudListAge is the age of the instance list when a daemon gets it.
	cloudListAge = 3 * time.Second
	// cloudReclaimNotice is the time between the announcement of a reclaim and
	// the reclaim.
	cloudReclaimNotice = 30 * time.Second
)

// fakeCloud simulates the cloud and its lagging list of instances. Each
// instance runs a simulated engine.
type fakeCloud struct {
	w                 *world
	instances         []*provider.Instance
	instanceByToken   map[string]*provider.Instance
	refusesStarts     map[entity.DataCentreID]bool
	starts            int
	refusedStarts     int
	stops             int
	listReads         int
	plainCallDuration time.Duration // 0: model engines; else plain servers with calls of this duration
}

// newFakeCloud returns a cloud without instances.
func newFakeCloud(w *world) *fakeCloud {
	return &fakeCloud{w: w, instanceByToken: map[string]*provider.Instance{}, refusesStarts: map[entity.DataCentreID]bool{}}
}

// newFleet returns a planner, or nil in a simulation without a cloud.
func (w *world) newFleet(id entity.InstanceID) *fleet.System {
	if w.cloud == nil {
		return nil
	}
	return fleet.New(fleet.Config{Self: id, Rand: w.newRand(), ScaleInDelay: time.Minute, WarmUp: 20 * time.Second})
}

// perform carries out what an outbox asks of the cloud.
func (f *fakeCloud) perform(d *fakeDaemon, out *Outbox) {
	for _, o := range out.CloudOperations {
		f.w.schedule(20*time.Millisecond, func() { f.performOperation(d, o) })
	}
	if out.ReadList {
		f.listReads++
		list := f.list()
		f.w.schedule(cloudListAge, func() { d.post(InstanceList{Instances: list}) })
	}
	if out.ReadPrices {
		f.w.schedule(20*time.Millisecond, func() { d.post(PriceList{Prices: f.prices()}) })
	}
}

// performOperation starts or stops an instance and returns the outcome to the
// daemon.
func (f *fakeCloud) performOperation(d *fakeDaemon, o fleet.CloudOperation) {
	r := fleet.CloudResult{Service: o.Service, Kind: o.Kind, Token: o.Token}
	if o.Kind == fleet.StartInstance {
		r.Instance, r.Err = f.start(o)
	} else {
		f.stop(o)
	}
	f.w.schedule(20*time.Millisecond, func() { d.post(CloudOutcome{Result: r}) })
}

// start starts one instance per token; a repeated token returns the same
// instance.
func (f *fakeCloud) start(o fleet.CloudOperation) (provider.Instance, error) {
	if i := f.instanceByToken[o.Launch.Token]; i != nil {
		return *i, nil
	}
	if f.refusesStarts[o.Launch.DataCentre] {
		f.refusedStarts++
		return provider.Instance{}, provider.ErrRefused
	}
	f.starts++
	i := f.addInstance(fmt.Sprintf("i%d", f.starts), o.Launch.DataCentre, provider.Pending, o.Launch.Tags)
	i.Class, i.Market = o.Launch.Class, o.Launch.Market
	f.instanceByToken[o.Launch.Token] = i
	f.w.schedule(cloudBootDelay, func() {
		if i.State == provider.Pending {
			i.State = provider.Running
		}
	})
	return *i, nil
}

// addInstance adds an instance with an engine.
func (f *fakeCloud) addInstance(id string, dc entity.DataCentreID, s provider.InstanceState, tags map[string]string) *provider.Instance {
	i := &provider.Instance{
		ID: entity.InstanceID(id), DataCentre: dc, Class: "c", Market: provider.OnDemand, State: s,
		Address: "10.0.0." + id, Tags: tags,
	}
	f.instances = append(f.instances, i)
	f.w.addEngine(id, "managed", int(dc[len(dc)-1]-'0'), f.plainCallDuration > 0)
	f.w.engines[entity.BackendServerID(id)].plainCallDuration = f.plainCallDuration
	return i
}

// stop ends an instance. The test fails if the instance runs work or does not
// belong to the service of the operation.
func (f *fakeCloud) stop(o fleet.CloudOperation) {
	for _, i := range f.instances {
		if i.ID != o.Instance || i.State == provider.Stopped {
			continue
		}
		e := f.w.engines[entity.BackendServerID(i.ID)]
		if n := e.unfinished(); n > 0 {
			f.w.t.Errorf("instance %s was stopped with %d unfinished runs", i.ID, n)
		}
		if i.Tags[fleet.ServiceTag] != string(o.Service) {
			f.w.t.Errorf("instance %s was stopped, but does not belong to the service", i.ID)
		}
		f.stops++
		i.State = provider.Stopped
		e.crash()
	}
}

// reclaim announces the reclaim of all instances of a data centre and ends them
// after the notice.
func (f *fakeCloud) reclaim(dc entity.DataCentreID) {
	for _, i := range f.instances {
		if i.DataCentre != dc || i.State == provider.Stopped {
			continue
		}
		i.State = provider.Leaving
		f.w.schedule(cloudReclaimNotice, func() {
			i.State = provider.Stopped
			f.w.engines[entity.BackendServerID(i.ID)].crash()
		})
	}
}

// list returns the present state of all instances.
func (f *fakeCloud) list() []provider.Instance {
	var out []provider.Instance
	for _, i := range f.instances {
		out = append(out, *i)
	}
	return out
}

// prices returns one class of instances in two markets and three data centres.
func (f *fakeCloud) prices() []provider.Price {
	var out []provider.Price
	for dc := range 3 {
		id := entity.DataCentreID(fmt.Sprintf("dc%d", dc))
		out = append(out,
			provider.Price{DataCentre: id, Class: "c", Market: provider.Reclaimable, PerHour: 0.3},
			provider.Price{DataCentre: id, Class: "c", Market: provider.OnDemand, PerHour: 1})
	}
	return out
}

// running counts the running managed instances, in the named data centres if
// there are any.
func (f *fakeCloud) running(dcs ...entity.DataCentreID) int {
	n := 0
	for _, i := range f.instances {
		if i.State == provider.Running && i.Tags[fleet.ServiceTag] != "" &&
			(len(dcs) == 0 || slices.Contains(dcs, i.DataCentre)) {
			n++
		}
	}
	return n
}

// unfinished counts the runs that continue and whose answer can still be
// delivered. The answer to a plain call whose daemon has ended is lost.
func (e *fakeEngine) unfinished() int {
	n := 0
	for _, s := range e.streams {
		if !s.done && !s.removed && (s.reader != nil || !e.plain) {
			n++
		}
	}
	return n
}
