package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

const (
	// newsInterval is the least time between two messages to each other daemon.
	newsInterval = 90 * time.Millisecond
	// newsPerPeer is the time for each other daemon, so that one daemon sends at
	// most a hundred messages a second.
	newsPerPeer = 10 * time.Millisecond
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
	g.restoreQuotas(life)
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
		clock.Wait(life, setUpPause+rand.N(setUpPause))
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
	var t *peer.Transport
	opened := make(chan struct{})
	t, err = peer.New(peer.Config{
		Self: g.self.Name, Listen: g.Settings.Listen.Peers, TLS: config, IdleTimeout: peerIdle,
		Handler: func(from entity.InstanceID, addr string, _ peer.Channel, body []byte) {
			<-opened
			g.hear(from, addr, func(to peer.Address, m message) { g.send(t.Send, to, m) }, body)
		},
	})
	close(opened)
	return t, err
}

// message is what daemons send each other.
type message struct {
	Echo     uint32             `cbor:"1,keyasint,omitempty"` // the receiver's last message that was heard
	News     []byte             `cbor:"2,keyasint,omitempty"` // encoded once for all receivers
	Wants    uint64             `cbor:"3,keyasint,omitempty"` // asks for a configuration newer than this version
	Document *exchange.Document `cbor:"4,keyasint,omitempty"`
}

// hear takes a message of another daemon.
func (g *Gateway) hear(from entity.InstanceID, addr string, reply func(peer.Address, message), body []byte) {
	var m message
	if err := codec.Decode(body, &m); err != nil {
		g.Log.Logger().WithError(err).Warn("a message of another daemon cannot be read")
		return
	}
	if m.Document != nil {
		g.takeDocument(m.Document, "daemon "+string(from))
	}
	if m.Wants > 0 {
		g.locked(func(c *exchange.Core, _ time.Time) { m.Document = c.Document() })
		if m.Document != nil && m.Document.Version > m.Wants {
			reply(peer.Address{ID: from, Addr: addr}, message{Document: m.Document})
		}
	}
	if len(m.News) > 0 {
		g.hearNews(&m)
	}
}

func (g *Gateway) hearNews(m *message) {
	var n exchange.News
	if err := codec.Decode(m.News, &n); err != nil {
		g.Log.Logger().WithError(err).Warn("news of another daemon cannot be read")
		return
	}
	g.locked(func(c *exchange.Core, now time.Time) { c.Heard(now, &n, m.Echo) })
}

// exchangeNews tells all other daemons what they need to know, until the
// process ends.
func (g *Gateway) exchangeNews(life context.Context, t *peer.Transport) {
	for {
		others := g.tellAll(t)
		g.askForDocument(t)
		if !clock.Wait(life, max(newsInterval, time.Duration(others)*newsPerPeer)) {
			return
		}
	}
}

// tellAll sends the news to all other daemons and returns how many they are.
func (g *Gateway) tellAll(t *peer.Transport) int {
	var news exchange.News
	var others []exchange.Member
	var echoes []uint32
	g.locked(func(c *exchange.Core, now time.Time) {
		news, others = c.News(now), c.Others()
		for _, m := range others {
			echoes = append(echoes, c.Echo(m.Name))
		}
	})
	body, err := codec.Encode(news)
	if err != nil {
		g.Log.Logger().WithError(err).Error("news cannot be encoded")
		return len(others)
	}
	for i, m := range others {
		g.send(t.Datagram, peer.Address{ID: m.Name, Addr: m.PeerAddr}, message{Echo: echoes[i], News: body})
	}
	return len(others)
}

func (g *Gateway) send(by func(peer.Address, []byte), to peer.Address, m message) {
	body, err := codec.Encode(m)
	if err != nil {
		g.Log.Logger().WithError(err).Error("a message cannot be encoded")
		return
	}
	by(to, body)
}

// askForDocument asks another daemon for a configuration that is newer for a
// while than what the table service has told this one.
func (g *Gateway) askForDocument(t *peer.Transport) {
	var from exchange.Member
	var newer bool
	var own uint64
	g.locked(func(c *exchange.Core, now time.Time) {
		from, newer = c.Newer(now)
		own, _ = c.Version(now)
	})
	if newer && own > 0 {
		g.send(t.Send, peer.Address{ID: from.Name, Addr: from.PeerAddr}, message{Wants: own})
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
		if !clock.Wait(life, interval+rand.N(interval/4)) {
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
		g.locked(func(c *exchange.Core, now time.Time) { c.Introduce(now, m) })
	}
	return g.removeLeftOver(ctx)
}

// removeLeftOver removes the entries of daemons that have never been heard, if
// this daemon holds the lease of the duties.
func (g *Gateway) removeLeftOver(ctx context.Context) error {
	var old []exchange.Member
	g.locked(func(c *exchange.Core, now time.Time) {
		if _, held := c.LeaseEpoch(); held {
			old = c.LeftOver(now)
		}
	})
	for _, m := range old {
		w := provider.Write{Partition: memberPartition, Sort: string(m.Name), Delete: true, Unconditional: true}
		if err := g.Table.Transact(ctx, "", []provider.Write{w}); err != nil {
			return err
		}
		g.locked(func(c *exchange.Core, _ time.Time) { c.Drop(m.Name) })
	}
	return nil
}
