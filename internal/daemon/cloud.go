package daemon

import (
	"context"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/system/fleet"
)

// order performs what an outbox asks of the cloud.
func (d *Daemon) order(out *core.Outbox) {
	if d.Cloud == nil {
		return
	}
	for _, o := range out.Orders {
		d.platform.order(o)
	}
	if out.ReadList {
		d.platform.start(d.platform.readList)
	}
	if out.ReadPrices {
		d.platform.start(d.platform.readPrices)
	}
}

// order sends one order to the cloud, once, and posts its outcome.
func (p *performer) order(o fleet.CloudOrder) {
	p.start(func(ctx context.Context) {
		r := fleet.CloudResult{Service: o.Service, Kind: o.Kind, Token: o.Token}
		switch o.Kind {
		case fleet.StartInstance:
			r.Instance, r.Err = p.cloud.Start(ctx, o.Order)
		case fleet.StopInstance:
			r.Err = p.cloud.Stop(ctx, o.Instance)
		}
		p.post(core.CloudOutcome{Result: r})
	})
}

// readList reads the platform's list once. An error leaves what is known as it
// is.
func (p *performer) readList(ctx context.Context) {
	list, err := p.cloud.Instances(ctx, nil)
	if err != nil {
		p.log.Logger().WithError(err).Debug("the platform's list cannot be read")
		return
	}
	p.post(core.InstanceList{Instances: list})
}

// readPrices reads the cloud's prices once. An error leaves what is known as
// it is.
func (p *performer) readPrices(ctx context.Context) {
	prices, err := p.cloud.Prices(ctx)
	if err != nil {
		p.log.Logger().WithError(err).Debug("the cloud's prices cannot be read")
		return
	}
	p.post(core.PriceList{Prices: prices})
}
