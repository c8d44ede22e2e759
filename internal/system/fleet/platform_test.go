package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/dynamo"
	"github.com/gooseberryslip/gooseberryslip/internal/provider/ec2cloud"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
)

// driver runs one planner against the stand-in platform over network
// connections, one call at a time.
type driver struct {
	t     *testing.T
	sys   *System
	table provider.Table
	cloud provider.Cloud

	faults            *standin.Faults // faults injected into the cloud
	replyLossInjected bool            // the loss of the first operation's reply has been set up
	unknownOutcomes   int             // number of cloud operations whose outcome was unknown
}

func newDriver(t *testing.T, p *standin.Platform, svc entity.Service) *driver {
	a := p.Addresses()
	d := &driver{
		t: t, faults: &p.Cloud.Faults,
		sys: New(Config{
			Self: "daemon-1", Rand: rand.New(rand.NewPCG(1, 1)),
			LeaseDuration: 200 * time.Millisecond, TakeoverWait: time.Millisecond, ScaleInDelay: time.Millisecond,
		}),
		table: dynamo.New(dynamo.Config{
			Endpoint: a.Table, Region: "west", AccessKey: "a", SecretKey: "s", TableName: "t", Timeout: 5 * time.Second,
		}),
		cloud: ec2cloud.New(ec2cloud.Config{
			Endpoint: a.Cloud, Region: "west", AccessKey: "a", SecretKey: "s", ImageID: "ami-1", Timeout: 5 * time.Second,
			OnDemandPrices: onDemandOnly(testPrices(meanPriceRatio)),
		}),
	}
	d.sys.SetServices(time.Now(), []entity.Service{svc})
	return d
}

// runUntil runs the planner until the condition holds.
func (d *driver) runUntil(load Load, condition func() bool) {
	d.t.Helper()
	for limit := time.Now().Add(30 * time.Second); !condition(); {
		if time.Now().After(limit) {
			plan, _ := d.sys.Plan(serviceA)
			d.t.Fatalf("the condition did not hold within 30 s; last plan:\n%s", plan.Explain())
		}
		d.setInputs(load)
		d.sys.Tick(time.Now())
		d.perform(d.sys.Ready())
		time.Sleep(5 * time.Millisecond)
	}
}

func (d *driver) setInputs(load Load) {
	list, err := d.cloud.Instances(context.Background(), map[string]string{ServiceTag: string(serviceA)})
	if err == nil {
		d.sys.SetInstances(time.Now(), list)
	}
	if prices, err := d.cloud.Prices(context.Background()); err == nil {
		d.sys.SetPrices(time.Now(), prices)
	}
	d.sys.SetLoad(time.Now(), serviceA, load)
}

func (d *driver) perform(r Ready) {
	ctx := context.Background()
	for _, op := range r.Table {
		d.sys.TableResult(time.Now(), provider.Perform(ctx, d.table, nil, op))
	}
	for _, o := range r.Cloud {
		if !d.replyLossInjected {
			d.replyLossInjected = true
			d.faults.Set(standin.FaultSettings{DropNextReplies: 1})
		}
		result := CloudResult{Service: o.Service, Kind: o.Kind, Token: o.Token}
		if o.Kind == StartInstance {
			result.Instance, result.Err = d.cloud.Start(ctx, o.Launch)
		} else {
			result.Err = d.cloud.Stop(ctx, o.Instance)
		}
		if errors.Is(result.Err, provider.ErrUnknownOutcome) {
			d.unknownOutcomes++
		}
		d.sys.CloudResult(time.Now(), result)
	}
	for _, id := range r.Drain {
		d.sys.SetDrained(time.Now(), id)
	}
}

// The planner, the clients and the stand-in platform agree on the protocols: a
// fleet starts, survives lost replies and shrinks.
func TestSystem_RunsAgainstThePlatformsProtocols(t *testing.T) {
	p, err := standin.StartPlatform(context.Background(), standin.Config{
		Cloud: standin.CloudConfig{Prices: []standin.CloudPrice{
			{DataCentre: "x", Class: someClass, PerHour: 0.3},
			{DataCentre: "y", Class: someClass, PerHour: 0.31},
			{DataCentre: "z", Class: someClass, PerHour: 0.32},
		}},
		CloudEngine: &standin.EngineConfig{},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	d := newDriver(t, p, testService(2, 10))
	p.Table.Faults.Set(standin.FaultSettings{DropNextReplies: 2})
	d.runUntil(Load{Busy: 30}, func() bool { return runningCount(p) == 4 })
	if c := p.Cloud.Counts(); c.StartedInstances != 4 || d.unknownOutcomes != 1 {
		t.Fatalf("%+v, %d cloud operations with unknown outcome", c, d.unknownOutcomes)
	}
	d.runUntil(Load{}, func() bool { return runningCount(p) == 3 }) // at most one in each data centre, so that 2 are left when any one is lost
	for _, i := range p.Cloud.Instances() {
		if !i.Spot {
			t.Fatalf("%+v", i)
		}
	}
}

func runningCount(p *standin.Platform) int {
	n := 0
	for _, i := range p.Cloud.Instances() {
		if i.State == "running" {
			n++
		}
	}
	return n
}
