package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

const (
	// updateInterval is the minimum time between two state updates to the same daemon.
	updateInterval = 90 * time.Millisecond
	// updateIntervalPerPeer, times the number of peers, is another lower bound of the
	// time between two state updates. So one daemon sends at most 100 messages a second.
	updateIntervalPerPeer = 10 * time.Millisecond
	// discoveryInterval is the time between two reads of the list of daemons. One of two
	// daemons has always found the other when it started, so that later reads are for rows
	// that were lost.
	discoveryInterval = 45 * time.Second
	// discoveryRetryDelay is the minimum time between two reads of that list if they fail.
	discoveryRetryDelay = 2 * time.Second
	// firstDiscoveries is how many of the first reads of that list are followed by the
	// next one after about 1 s instead.
	firstDiscoveries = 2
	// authorityValidity is how long the daemons' certificates are valid.
	authorityValidity = 10 * 365 * 24 * time.Hour
	// tableTimeout bounds one call of the table service.
	tableTimeout = 1500 * time.Millisecond
	// peerIdleTimeout is how long an idle connection between daemons is kept open.
	peerIdleTimeout = 3 * time.Second

	peerPartition     = "peers"
	authorityRow      = "authority"
	memberPartition   = "daemons"
	clockPartition    = "clock"
	clockRow          = "zero"
	maxQueryRows      = 500                    // rows read by one query
	tableRetryDelay   = 300 * time.Millisecond // minimum; up to as much again is added at random
	closePeersTimeout = 100 * time.Millisecond
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// runPeers exchanges state updates with the other daemons until the process ends.
func (g *Gateway) runPeers(runCtx context.Context) {
	g.retryUntilDone(runCtx, g.learnTrueTime)
	go g.runVersionRecord(runCtx)
	g.restoreCheckpoint(runCtx)
	g.retryUntilDone(runCtx, g.register)
	g.retryUntilDone(runCtx, g.readMembers)
	var discovery sync.Once
	for runCtx.Err() == nil {
		g.retryUntilDone(runCtx, g.loadOrCreateAuthority)
		authority := g.authority.get()
		transport, err := g.openTransport(authority)
		if err != nil {
			if runCtx.Err() == nil {
				g.Log.Logger().WithError(err).Error("failed to open the transport to other daemons")
			}
			clock.Wait(runCtx, tableRetryDelay)
			continue
		}
		discovery.Do(func() { go g.discover(runCtx) })
		g.useTransport(g.authority.replaced(runCtx, authority), transport)
	}
}

// useTransport exchanges state updates over a transport until the context ends.
func (g *Gateway) useTransport(ctx context.Context, transport *peer.Transport) {
	var notices sync.WaitGroup
	g.transport.Store(transport)
	notices.Go(func() { g.runNotices(ctx, transport) })
	notices.Go(func() { g.runStreamNews(ctx, transport) })
	g.runUpdates(ctx, transport)
	notices.Wait()
	g.transport.Store(nil)
	closeCtx, cancel := context.WithTimeout(context.Background(), closePeersTimeout)
	defer cancel()
	_ = transport.Close(closeCtx) // an error changes nothing: the transport is not used any more
}

// retryUntilDone calls f until it succeeds or the process ends.
func (g *Gateway) retryUntilDone(runCtx context.Context, f func(context.Context) error) {
	g.retryEvery(runCtx, tableRetryDelay, f)
}

// retryEvery is retryUntilDone with a given delay between two calls, to which up to as much
// again is added at random.
func (g *Gateway) retryEvery(runCtx context.Context, delay time.Duration, f func(context.Context) error) {
	for runCtx.Err() == nil {
		ctx, cancel := context.WithTimeout(runCtx, tableTimeout)
		err := f(ctx)
		if err == nil {
			cancel()
			return
		}
		if runCtx.Err() == nil {
			g.noteUnanswered(ctx, err)
		}
		cancel()
		g.Log.Logger().WithError(err).Warn("call to the table service failed; retrying")
		clock.Wait(runCtx, delay+rand.N(delay))
	}
}

// message is sent from one daemon to another.
type message struct {
	Ack           uint32                 `cbor:"1,keyasint,omitempty"` // sequence number of the last state update received from the addressee
	Update        []byte                 `cbor:"2,keyasint,omitempty"` // exchange.StateUpdate, encoded once for all receivers
	NewerThan     uint64                 `cbor:"3,keyasint,omitempty"` // requests a configuration newer than this version
	Document      *exchange.Document     `cbor:"4,keyasint,omitempty"` // response to such a request
	Notice        *exchange.Notice       `cbor:"5,keyasint,omitempty"`
	Streams       []streamversion.Record `cbor:"6,keyasint,omitempty"` // that the addressee holds
	AskStream     entity.RequestID       `cbor:"7,keyasint,omitempty"` // asks for the record of this stream
	StreamAnswer  *streamAnswer          `cbor:"8,keyasint,omitempty"` // response to such a question
	AskServers    *serverQuestion        `cbor:"9,keyasint,omitempty"`
	ServerAnswer  *serverAnswer          `cbor:"10,keyasint,omitempty"` // response to such a question
	AskVersions   uint64                 `cbor:"11,keyasint,omitempty"` // asks for the recorded versions under this number
	VersionAnswer *versionAnswer         `cbor:"12,keyasint,omitempty"` // response to such a question
	AskOrders     bool                   `cbor:"13,keyasint,omitempty"` // asks for the operator's orders
	Orders        *orderList             `cbor:"14,keyasint,omitempty"` // response to such a question
}

// receive handles a message of another daemon.
func (g *Gateway) receive(from entity.InstanceID, addr string, reply func(peer.Address, message), body []byte) {
	var m message
	if err := codec.Decode(body, &m); err != nil {
		g.Log.Logger().WithError(err).Warn("failed to decode a message of another daemon")
		return
	}
	if m.Document != nil {
		g.applyDocument(m.Document, "daemon "+string(from))
	}
	if m.NewerThan > 0 {
		g.withCore(func(c *exchange.Core, _ time.Time) { m.Document = c.Document() })
		if m.Document != nil && m.Document.Version > m.NewerThan {
			reply(peer.Address{ID: from, Addr: addr}, message{Document: m.Document})
		}
	}
	if m.Notice != nil {
		g.withCore(func(c *exchange.Core, now time.Time) { c.ReceiveNotice(now, from, m.Notice) })
	}
	answerSender := func(answer message) { reply(peer.Address{ID: from, Addr: addr}, answer) }
	g.receiveStreams(&m, answerSender)
	g.receiveServerFeed(&m, answerSender)
	g.receiveVersions(&m, answerSender)
	g.receiveOrders(string(from), &m, answerSender)
	if len(m.Update) > 0 {
		g.receiveUpdate(&m)
	}
}

// receiveUpdate passes a state update of another daemon to the core.
func (g *Gateway) receiveUpdate(m *message) {
	var update exchange.StateUpdate
	if err := codec.Decode(m.Update, &update); err != nil {
		g.Log.Logger().WithError(err).Warn("failed to decode a state update of another daemon")
		return
	}
	g.withCore(func(c *exchange.Core, now time.Time) { c.ReceiveUpdate(now, &update, m.Ack) })
}

// runUpdates sends state updates to all peers, and requests a newer configuration when
// a peer has one, until the process ends.
func (g *Gateway) runUpdates(runCtx context.Context, t *peer.Transport) {
	for {
		start := clock.Now()
		peers := g.broadcastUpdate(runCtx, t, start)
		g.requestDocument(t)
		g.requestOrders(t)
		if !clock.Wait(runCtx, start.Add(broadcastInterval(peers)).Sub(clock.Now())) {
			return
		}
	}
}

// broadcastInterval returns the time between the starts of two broadcasts.
func broadcastInterval(peers int) time.Duration {
	return max(updateInterval, time.Duration(peers)*updateIntervalPerPeer)
}

const (
	// sendBatch is the number of peers to which an update is sent at once.
	sendBatch = 2
	// sendBatchInterval is the time between two such batches.
	sendBatchInterval = 6 * time.Millisecond
)

// sendOffset returns when the update goes to a peer, given its number in the broadcast,
// after the broadcast's start. In a large fleet, updates to all peers at once would fill
// the link of a small instance for so long that callers' requests are late.
func sendOffset(number int) time.Duration {
	return time.Duration(number/sendBatch) * sendBatchInterval
}

// broadcastUpdate sends one state update to all peers, a few at a time, and returns the
// number of peers.
func (g *Gateway) broadcastUpdate(runCtx context.Context, t *peer.Transport, start time.Time) int {
	var update exchange.StateUpdate
	var peers []exchange.Member
	var acks []uint32
	g.withCore(func(c *exchange.Core, now time.Time) {
		update, peers = c.NextUpdate(now), c.Peers()
		for _, m := range peers {
			acks = append(acks, c.Ack(m.Name))
		}
	})
	body, err := codec.Encode(update)
	if err != nil {
		g.Log.Logger().WithError(err).Error("failed to encode a state update for other daemons")
		return len(peers)
	}
	for i, m := range peers {
		if wait := start.Add(sendOffset(i)).Sub(clock.Now()); wait > 0 && !clock.Wait(runCtx, wait) {
			break
		}
		g.sendMessage(t.SendDatagram, peer.Address{ID: m.Name, Addr: m.PeerAddr}, message{Ack: acks[i], Update: body})
	}
	return len(peers)
}

func (g *Gateway) sendMessage(send func(peer.Address, []byte), to peer.Address, m message) {
	body, err := codec.Encode(m)
	if err != nil {
		g.Log.Logger().WithError(err).Error("failed to encode a message for another daemon")
		return
	}
	send(to, body)
}

// requestDocument requests the configuration from a peer that for a while has had a
// newer one than this daemon has got from the table service.
func (g *Gateway) requestDocument(t *peer.Transport) {
	var from exchange.Member
	var newer bool
	var localVersion uint64
	g.withCore(func(c *exchange.Core, now time.Time) {
		from, newer = c.NewerConfiguration(now)
		localVersion, _ = c.Version(now)
	})
	if newer && localVersion > 0 {
		g.sendMessage(t.Send, peer.Address{ID: from.Name, Addr: from.PeerAddr}, message{NewerThan: localVersion})
	}
}

// discover reads the list of daemons in the table service again and again. Daemons that
// start later find this one in the same way and send it state updates.
func (g *Gateway) discover(runCtx context.Context) {
	for reads := 1; ; reads++ {
		interval := discoveryInterval
		if reads <= firstDiscoveries {
			interval = time.Second
		}
		if !clock.Wait(runCtx, interval+rand.N(interval/4)) {
			return
		}
		g.retryEvery(runCtx, discoveryRetryDelay, g.readMembers)
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
	rows, err := g.Table.Query(ctx, memberPartition, "", maxQueryRows, true)
	if err != nil {
		return err
	}
	listed := 0
	for _, row := range rows {
		var m exchange.Member
		if err := json.Unmarshal(row.Value, &m); err != nil {
			g.Log.Logger().WithError(err).Warn("failed to decode a daemon's entry in the list of daemons")
			continue
		}
		listed++
		g.withCore(func(c *exchange.Core, now time.Time) { c.AddMember(now, m) })
	}
	g.withCore(func(c *exchange.Core, now time.Time) { c.SetListedDaemons(now, max(listed, 1)) })
	return g.removeStaleMembers(ctx)
}

// removeStaleMembers removes the entries of daemons from which no message has ever been
// received, if this daemon holds the lease.
func (g *Gateway) removeStaleMembers(ctx context.Context) error {
	var stale []exchange.Member
	g.withCore(func(c *exchange.Core, now time.Time) {
		if _, held := c.LeaseEpoch(); held {
			stale = c.StaleMembers(now)
		}
	})
	for _, m := range stale {
		w := provider.Write{Partition: memberPartition, Sort: string(m.Name), Delete: true, Unconditional: true}
		if err := g.Table.Transact(ctx, "", []provider.Write{w}); err != nil {
			return err
		}
		g.withCore(func(c *exchange.Core, _ time.Time) { c.DropStaleMember(m.Name) })
	}
	return nil
}
