package gateway

import (
	"context"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
)

const (
	// noticeInterval is the least time between two notices. In fleets whose state
	// updates are as frequent, these suffice.
	noticeInterval = 500 * time.Millisecond
	// noticeBatch is the number of peers to which a notice is sent at once, every
	// sendBatchInterval. A notice is much smaller than a state update.
	noticeBatch = 8
)

// runNotices sends notices until the process ends.
func (g *Gateway) runNotices(runCtx context.Context, t *peer.Transport) {
	for {
		select {
		case <-runCtx.Done():
			return
		case <-g.notices:
		}
		g.sendNotice(runCtx, t)
		if !clock.Wait(runCtx, noticeInterval) {
			return
		}
	}
}

// sendNotice sends a notice to all peers, a few at a time.
func (g *Gateway) sendNotice(runCtx context.Context, t *peer.Transport) {
	notice, peers := g.nextNotice()
	if notice.Empty() {
		return
	}
	start := clock.Now()
	for i, m := range peers {
		at := start.Add(time.Duration(i/noticeBatch) * sendBatchInterval)
		if wait := at.Sub(clock.Now()); wait > 0 && !clock.Wait(runCtx, wait) {
			break
		}
		g.sendMessage(t.SendDatagram, peer.Address{ID: m.Name, Addr: m.PeerAddr}, message{Notice: &notice})
	}
}

// nextNotice returns what this daemon has learned and not announced yet, and all peers. The
// notice is empty if the next state update is soon.
func (g *Gateway) nextNotice() (notice exchange.Notice, peers []exchange.Member) {
	g.withCore(func(c *exchange.Core, now time.Time) {
		peers = c.Peers()
		if broadcastInterval(len(peers)) > noticeInterval {
			notice = c.NextNotice(now)
		}
	})
	return notice, peers
}
