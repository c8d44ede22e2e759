package daemon

import (
	"context"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

// performCloudRequests starts the cloud operations and reads that an outbox
// requests. It does nothing without a cloud.
func (d *Daemon) performCloudRequests(out *core.Outbox) {
	if d.Cloud == nil {
		return
	}
	for _, o := range out.CloudOperations {
		d.platform.performCloudOperation(o)
	}
	if out.ReadList {
		d.platform.startCall(d.platform.readInstanceList)
	}
	if out.ReadPrices {
		d.platform.startCall(d.platform.readPrices)
	}
}

// performCloudOperation starts or stops one instance. It sends the operation to
// the cloud once and posts its outcome.
func (p *performer) performCloudOperation(o fleet.CloudOperation) {
	p.startCall(func(ctx context.Context) {
		r := fleet.CloudResult{Service: o.Service, Kind: o.Kind, Token: o.Token}
		switch o.Kind {
		case fleet.StartInstance:
			r.Instance, r.Err = p.cloud.Start(ctx, o.Launch)
		case fleet.StopInstance:
			r.Err = p.cloud.Stop(ctx, o.Instance)
		}
		p.post(core.CloudOutcome{Result: r})
	})
}

// readInstanceList reads the cloud's list of instances once and posts it. After
// an error the core keeps the previous list.
func (p *performer) readInstanceList(ctx context.Context) {
	list, err := p.cloud.Instances(ctx, nil)
	if err != nil {
		p.log.Logger().WithError(err).Debug("reading the cloud's list of instances failed")
		return
	}
	p.post(core.InstanceList{Instances: list})
}

// readPrices reads the cloud's prices once and posts them. After an error the
// core keeps the previous prices.
func (p *performer) readPrices(ctx context.Context) {
	prices, err := p.cloud.Prices(ctx)
	if err != nil {
		p.log.Logger().WithError(err).Debug("reading the cloud's prices failed")
		return
	}
	p.post(core.PriceList{Prices: prices})
}
