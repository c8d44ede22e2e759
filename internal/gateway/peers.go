package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// newsInterval is the time between two messages to each other daemon.
	newsInterval = 60 * time.Millisecond
	// newsPerPeer is added to it for each other daemon, so that the messages of
	// one daemon stay bounded.
	newsPerPeer = 4 * time.Millisecond
	// peerSilence is how long another daemon counts as alive without news.
	peerSilence = 1200 * time.Millisecond
	// discoverInterval is the time between two looks at the list of daemons.
	discoverInterval = 15 * time.Second
	// firstDiscoveries is how often it is read soon after the start.
	firstDiscoveries = 2
	// authorityLife is how long the daemons' certificates are valid.
	authorityLife = 10 * 365 * 24 * time.Hour
	// peerTimeout bounds one call of the table service.
	peerTimeout = 1500 * time.Millisecond
	// peerIdle is how long a silent connection between daemons is kept.
	peerIdle = 3 * time.Second

	peerPartition     = "peers"
	authorityRow      = "authority"
	memberPartition   = "daemons"
	clockPartition    = "clock"
	clockRow          = "zero"
	maxMembers        = 500
	setUpPause        = 300 * time.Millisecond
	closePeersTimeout = 100 * time.Millisecond
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// runPeers sets up the connections to the other daemons and exchanges news.
func (g *Gateway) runPeers(life context.Context) {
	g.setUp(life, g.learnTime)
	var authority *peer.Authority
	g.setUp(life, func(ctx context.Context) (err error) {
		authority, err = g.authority(ctx)
		return err
	})
	if authority == nil {
		return
	}
	transport, err := g.openPeers(authority)
	if err != nil {
		g.Log.Logger().WithError(err).Error("no connections to other daemons")
		return
	}
	go g.discover(life)
	g.exchangeNews(life, transport)
	ctx, cancel := context.WithTimeout(context.Background(), closePeersTimeout)
	defer cancel()
	_ = transport.Close(ctx) // the process ends
}

// setUp tries until it succeeds or the process ends.
func (g *Gateway) setUp(life context.Context, f func(context.Context) error) {
	for life.Err() == nil {
		ctx, cancel := context.WithTimeout(life, peerTimeout)
		err := f(ctx)
		cancel()
		if err == nil {
			return
		}
		g.Log.Logger().WithError(err).Warn("the table service does not answer yet")
		pause(life, setUpPause+rand.N(setUpPause))
	}
}

// authority returns the fleet's certificate authority. The first daemon makes
// it.
func (g *Gateway) authority(ctx context.Context) (*peer.Authority, error) {
	row, err := g.Table.Get(ctx, peerPartition, authorityRow, true)
	if err == nil {
		return peer.ParseAuthority(row.Value)
	}
	if !errors.Is(err, provider.ErrNotFound) {
		return nil, err
	}
	made, err := peer.SelfSigned(authorityLife)
	if err != nil {
		return nil, err
	}
	value, err := made.Marshal()
	if err != nil {
		return nil, err
	}
	write := provider.Write{Partition: peerPartition, Sort: authorityRow, Value: value}
	if err := g.Table.Transact(ctx, "", []provider.Write{write}); err != nil {
		return nil, err // it is read, or made, at the next try
	}
	return made, nil
}

func (g *Gateway) openPeers(a *peer.Authority) (*peer.Transport, error) {
	config, err := a.TLS()
	if err != nil {
		return nil, err
	}
	return peer.New(peer.Config{
		Self: g.self.Name, Listen: g.Settings.Listen.Peers, TLS: config, Handler: g.hearNews, IdleTimeout: peerIdle,
	})
}

func (g *Gateway) hearNews(_ entity.InstanceID, _ string, _ peer.Channel, body []byte) {
	var n exchange.News
	if err := codec.Decode(body, &n); err != nil {
		g.Log.Logger().WithError(err).Warn("news of another daemon cannot be read")
		return
	}
	g.locked(func(c *exchange.Core, now time.Time) { c.Heard(now, &n) })
}

// exchangeNews tells all other daemons what they need to know, until the
// process ends.
func (g *Gateway) exchangeNews(life context.Context, t *peer.Transport) {
	for {
		var news exchange.News
		var others []exchange.Member
		g.locked(func(c *exchange.Core, now time.Time) {
			news, others = c.News(now), c.Others()
		})
		body, err := codec.Encode(news)
		if err != nil {
			g.Log.Logger().WithError(err).Error("news cannot be encoded")
		}
		for _, m := range others {
			t.Datagram(peer.Address{ID: m.Name, Addr: m.PeerAddr}, body)
		}
		if !pause(life, newsInterval+time.Duration(len(others))*newsPerPeer) {
			return
		}
	}
}

// discover lists this daemon in the table service and reads who else is there.
// Daemons that start later find this one in the same way and make themselves
// known by their news.
func (g *Gateway) discover(life context.Context) {
	g.setUp(life, g.register)
	for n := 0; ; n++ {
		g.setUp(life, g.readMembers)
		interval := discoverInterval
		if n < firstDiscoveries {
			interval = time.Second
		}
		if !pause(life, interval+rand.N(interval/4)) {
			return
		}
	}
}

func (g *Gateway) register(ctx context.Context) error {
	value, err := json.Marshal(g.self)
	if err != nil {
		return err
	}
	w := provider.Write{Partition: memberPartition, Sort: string(g.self.Name), Value: value, Unconditional: true}
	return g.Table.Transact(ctx, "", []provider.Write{w})
}

func (g *Gateway) readMembers(ctx context.Context) error {
	rows, err := g.Table.Query(ctx, memberPartition, "", maxMembers, true)
	if err != nil {
		return err
	}
	for _, row := range rows {
		var m exchange.Member
		if err := json.Unmarshal(row.Value, &m); err != nil {
			g.Log.Logger().WithError(err).Warn("entry of a daemon cannot be read")
			continue
		}
		g.locked(func(c *exchange.Core, _ time.Time) { c.Introduce(m) })
	}
	return nil
}
