package core

import (
	"encoding/hex"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
	"github.com/gooseberryslip/gooseberryslip/internal/system/membership"
)

const (
	// TagDaemon marks an instance of the platform's list as a daemon; its
	// value is the address of its peer transport.
	TagDaemon = "gooseberryslip-daemon"
	// TagBackendServer marks an instance as the host of a backend server.
	TagBackendServer = "gooseberryslip-backend-server"
	// documentsInterval is the mean time between questions to a peer.
	documentsInterval = 3 * time.Second
)

// peerMessage gives a message of another daemon to its system.
func (c *Core) peerMessage(in PeerMessage) {
	m := in.Message
	switch {
	case m.Membership != nil:
		c.Membership.Step(c.now, in.From, in.Addr, *m.Membership)
	case m.Grant != nil:
		c.Grants.Step(c.now, in.From, *m.Grant)
	case m.Admission != nil:
		c.Admission.Step(c.now, in.From, *m.Admission)
	case m.Relay != nil:
		c.relayed(in.From, m.Relay)
	case m.RelayTokens != nil:
		c.relayTokens(m.RelayTokens)
	case m.RelayEnd != nil:
		c.relayEnd(m.RelayEnd)
	case m.RelayPoll != nil:
		c.relayPolled(in.From, m.RelayPoll)
	case m.RelayCancel != nil:
		c.relayCancelled(in.From, m.RelayCancel)
	case m.Offer != nil:
		c.offered(in.From, m.Offer)
	case m.OfferReply != nil:
		c.offerReplied(in.From, m.OfferReply)
	case m.OfferCommit != nil:
		c.offerCommitted(m.OfferCommit)
	case m.DocumentsAsk != nil:
		c.documentsAsked(in.From, m.DocumentsAsk)
	case m.FleetAsk != nil:
		c.fleetAsked(in.From, m.FleetAsk)
	case m.FleetHave != nil:
		c.fleetAnswered(in.From, m.FleetHave)
	case m.DocumentsHave != nil:
		c.Configuration.PeerHead(c.now, m.DocumentsHave.Snapshot.Revision)
		c.Configuration.PeerDocuments(c.now, m.DocumentsHave.Snapshot)
	}
}

// collectMembership takes the outputs of the membership system.
func (c *Core) collectMembership() bool {
	ready := c.Membership.Ready()
	for _, e := range ready.Send {
		c.out.Sends = append(c.out.Sends, Envelope{
			To: e.To, Addr: e.Addr, Datagram: true, Message: Message{Membership: &e.Message},
		})
	}
	for _, n := range ready.News {
		c.news(n)
	}
	c.out.Events = append(c.out.Events, ready.Events...)
	if len(ready.Changes) > 0 || c.membersOld {
		c.membersChanged()
		return true
	}
	return len(ready.News) > 0
}

// collectAdmission sends what the daemons tell each other about limits.
func (c *Core) collectAdmission() {
	for _, e := range c.Admission.Ready() {
		c.send(e.To, Message{Admission: &e.Message})
	}
}

// membersChanged tells the systems who is there.
func (c *Core) membersChanged() {
	c.membersOld = false
	c.members = c.Membership.Members()
	var owners, leavers []entity.InstanceID
	var daemons []grant.Member
	for _, m := range c.members {
		leaving := m.State == membership.Leaving
		daemons = append(daemons, grant.Member{ID: m.ID, Place: m.Place, Leaving: leaving})
		if leaving {
			leavers = append(leavers, m.ID)
		} else {
			owners = append(owners, m.ID)
		}
	}
	c.Journal.SetLeaving(leavers)
	c.Journal.SetMembers(c.now, owners)
	c.Grants.SetMembers(c.now, daemons)
	c.setPlannerMembers(owners)
	c.hastenList()
	c.Admission.SetDaemons(len(owners))
	c.Admission.SetMembers(owners)
	c.Configuration.SetDaemons(len(owners))
	c.viewOld = true
}

// news takes one piece of news that is spread to all daemons.
func (c *Core) news(n membership.News) {
	switch n.Topic {
	case membership.TopicConfigHead:
		c.Configuration.Head(c.now, n.Version)
	case membership.TopicConviction:
		var d entity.Digest
		if b, err := hex.DecodeString(n.Key); err == nil && copy(d[:], b) == len(d) {
			c.Grants.Convicted(c.now, d)
		}
	case membership.TopicBackendLeaving:
		c.setLeaving(entity.BackendServerID(n.Key), n.Version, "news")
	case membership.TopicHandoff:
		c.successors[entity.InstanceID(n.Key)] = entity.InstanceID(n.Body)
	}
}

// announceConviction spreads that a content crashes backend servers.
func (c *Core) announceConviction(d entity.Digest) {
	c.Membership.Announce(c.now, membership.News{
		Topic: membership.TopicConviction, Key: hex.EncodeToString(d[:]), Version: uint64(c.now.UnixMicro()),
	})
}

// collectConfiguration takes the outputs of the configuration system.
func (c *Core) collectConfiguration() bool {
	ready := c.Configuration.Ready()
	for _, op := range ready.Operations {
		c.out.Operations = append(c.out.Operations, Operation{System: SystemConfiguration, Operation: op})
	}
	if len(ready.Changed)+len(ready.Removed) > 0 {
		c.servicesChanged()
	}
	if ready.Head > 0 {
		c.Membership.Announce(c.now, membership.News{Topic: membership.TopicConfigHead, Key: "head", Version: ready.Head})
	}
	c.out.Applied = append(c.out.Applied, ready.Outcomes...)
	c.out.Histories = append(c.out.Histories, ready.Histories...)
	c.out.Events = append(c.out.Events, ready.Events...)
	return len(ready.Changed)+len(ready.Removed) > 0 || ready.Head > 0
}

// servicesChanged tells the systems what is in force.
func (c *Core) servicesChanged() {
	c.refreshServices()
	c.Admission.SetServices(c.now, c.inForce)
	c.Retry.SetServices(c.inForce)
	if c.Fleet != nil {
		c.Fleet.SetServices(c.now, c.inForce)
	}
}

// watchCurrency notes when the daemon stops, or starts again, to take callers.
func (c *Core) watchCurrency() {
	isolated := !c.Configuration.Current(c.now)
	if isolated == c.isolated {
		return
	}
	c.isolated = isolated
	n := event.DaemonConnected
	if isolated {
		n = event.DaemonIsolated
	}
	c.out.Events = append(c.out.Events, event.Event{Number: n, At: c.now})
}

// askForDocuments asks a random peer now and then for its head revision and
// for documents that are newer than this daemon's.
func (c *Core) askForDocuments() {
	if !c.askAt.IsZero() && c.now.Before(c.askAt) {
		return
	}
	c.askAt = c.now.Add(c.jitter(documentsInterval))
	near, far := c.livePeers()
	peers := append(near, far...)
	if len(peers) == 0 {
		return
	}
	p := peers[c.Rand.IntN(len(peers))]
	c.send(p.ID, Message{DocumentsAsk: &DocumentsAsk{After: c.Configuration.Revision()}})
}

// documentsAsked answers a peer, unless this daemon does not know itself
// whether it is current.
func (c *Core) documentsAsked(from entity.InstanceID, m *DocumentsAsk) {
	if s, ok := c.Configuration.DocumentsFor(c.now, m.After); ok {
		c.send(from, Message{DocumentsHave: &DocumentsHave{Snapshot: s}})
	}
}

// platformResult gives a result to the system that has asked.
func (c *Core) platformResult(in PlatformResult) {
	switch in.System {
	case SystemJournal:
		c.Journal.TableResult(c.now, in.Result)
	case SystemConfiguration:
		c.Configuration.TableResult(c.now, in.Result)
	case SystemFleet:
		c.Fleet.TableResult(c.now, in.Result)
	}
}

// instanceList takes a reading of the platform's lagging list. Addresses of
// daemons are seeds; leaving hosts of backend servers get no new work.
func (c *Core) instanceList(in InstanceList) {
	var seeds []string
	for _, i := range in.Instances {
		if a := i.Tags[TagDaemon]; a != "" && i.State == provider.Running {
			seeds = append(seeds, a)
		}
		if b := c.leavingServer(i); b != "" {
			c.backendLeaving(BackendLeaving{Backend: b, Reason: "platform list", Leaving: true})
		}
	}
	c.Membership.Seed(c.now, seeds)
	c.setInstances(in.Instances)
}

// EncodeMessage returns the encoding of a message between daemons.
func EncodeMessage(m *Message) ([]byte, error) { return codec.Encode(m) }

// DecodeMessage decodes a message of another daemon.
func DecodeMessage(body []byte) (Message, error) {
	var m Message
	err := codec.Decode(body, &m)
	return m, err
}
