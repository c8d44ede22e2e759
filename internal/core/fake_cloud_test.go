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
	// cloudBoot is the time from an order until its instance runs.
	cloudBoot = 10 * time.Second
	// cloudLag is how old the list of instances is.
	cloudLag = 3 * time.Second
	// cloudNotice is the time between an announced reclaim and the reclaim.
	cloudNotice = 30 * time.Second
)

// fakeCloud plays the cloud and its lagging list, and runs a model engine on
// each of its instances.
type fakeCloud struct {
	w         *world
	instances []*provider.Instance
	tokens    map[string]*provider.Instance
	refuse    map[entity.DataCentreID]bool
	starts    int
	refused   int
	stops     int
	lists     int
	slowCalls time.Duration // its engines are plain and take this long; 0: model engines
}

// newFakeCloud returns a cloud without instances.
func newFakeCloud(w *world) *fakeCloud {
	return &fakeCloud{w: w, tokens: map[string]*provider.Instance{}, refuse: map[entity.DataCentreID]bool{}}
}

// newFleet returns a planner, or nil in a world without a cloud.
func (w *world) newFleet(id entity.InstanceID) *fleet.System {
	if w.cloud == nil {
		return nil
	}
	return fleet.New(fleet.Config{Self: id, Rand: w.newRand(), Window: time.Minute, WarmUp: 20 * time.Second})
}

// perform does what an outbox asks of the cloud.
func (f *fakeCloud) perform(d *fakeDaemon, out *Outbox) {
	for _, o := range out.Orders {
		f.w.after(20*time.Millisecond, func() { f.order(d, o) })
	}
	if out.ReadList {
		f.lists++
		list := f.list()
		f.w.after(cloudLag, func() { d.post(InstanceList{Instances: list}) })
	}
	if out.ReadPrices {
		f.w.after(20*time.Millisecond, func() { d.post(PriceList{Prices: f.prices()}) })
	}
}

// order carries one order out and returns its outcome.
func (f *fakeCloud) order(d *fakeDaemon, o fleet.CloudOrder) {
	r := fleet.CloudResult{Service: o.Service, Kind: o.Kind, Token: o.Token}
	if o.Kind == fleet.StartInstance {
		r.Instance, r.Err = f.start(o)
	} else {
		f.stop(o)
	}
	f.w.after(20*time.Millisecond, func() { d.post(CloudOutcome{Result: r}) })
}

// start starts an instance, one for each token.
func (f *fakeCloud) start(o fleet.CloudOrder) (provider.Instance, error) {
	if i := f.tokens[o.Order.Token]; i != nil {
		return *i, nil
	}
	if f.refuse[o.Order.DataCentre] {
		f.refused++
		return provider.Instance{}, provider.ErrRefused
	}
	f.starts++
	i := f.add(fmt.Sprintf("i%d", f.starts), o.Order.DataCentre, provider.Pending, o.Order.Tags)
	i.Class, i.Market = o.Order.Class, o.Order.Market
	f.tokens[o.Order.Token] = i
	f.w.after(cloudBoot, func() {
		if i.State == provider.Pending {
			i.State = provider.Running
		}
	})
	return *i, nil
}

// add makes an instance with an engine.
func (f *fakeCloud) add(id string, dc entity.DataCentreID, s provider.InstanceState, tags map[string]string) *provider.Instance {
	i := &provider.Instance{
		ID: entity.InstanceID(id), DataCentre: dc, Class: "c", Market: provider.OnDemand, State: s,
		Address: "10.0.0." + id, Tags: tags,
	}
	f.instances = append(f.instances, i)
	f.w.addEngine(id, "managed", int(dc[len(dc)-1]-'0'), f.slowCalls > 0)
	f.w.engines[entity.BackendServerID(id)].slow = f.slowCalls
	return i
}

// stop ends an instance. Nothing may run there, and it must be ours.
func (f *fakeCloud) stop(o fleet.CloudOrder) {
	for _, i := range f.instances {
		if i.ID != o.Instance || i.State == provider.Gone {
			continue
		}
		e := f.w.engines[entity.BackendServerID(i.ID)]
		if n := e.unfinished(); n > 0 {
			f.w.t.Errorf("%s was stopped with %d runs", i.ID, n)
		}
		if i.Tags[fleet.ServiceTag] != string(o.Service) {
			f.w.t.Errorf("%s was stopped and is not ours", i.ID)
		}
		f.stops++
		i.State = provider.Gone
		e.crash()
	}
}

// reclaim takes the instances of a data centre on notice.
func (f *fakeCloud) reclaim(dc entity.DataCentreID) {
	for _, i := range f.instances {
		if i.DataCentre != dc || i.State == provider.Gone {
			continue
		}
		i.State = provider.Leaving
		f.w.after(cloudNotice, func() {
			i.State = provider.Gone
			f.w.engines[entity.BackendServerID(i.ID)].crash()
		})
	}
}

// list returns all instances as they are now.
func (f *fakeCloud) list() []provider.Instance {
	var out []provider.Instance
	for _, i := range f.instances {
		out = append(out, *i)
	}
	return out
}

// prices returns one class at two prices in three data centres.
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

// running returns the instances of ours that run, by data centre if one is
// named.
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

// unfinished counts the runs that go on and whose answer can still be had:
// nobody can fetch that of a plain call whose daemon has died.
func (e *fakeEngine) unfinished() int {
	n := 0
	for _, s := range e.streams {
		if !s.done && !s.gone && (s.reader != nil || !e.plain) {
			n++
		}
	}
	return n
}
