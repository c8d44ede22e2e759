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
	// TagDaemon is the tag that marks an instance in the platform's list as a
	// daemon; its value is the address of the daemon's peer transport.
	TagDaemon = "gooseberryslip-daemon"
	// TagBackendServer is the tag that marks an instance as the host of a
	// backend server; its value is the backend server's ID.
	TagBackendServer = "gooseberryslip-backend-server"
	// documentsRequestInterval is the mean time between two requests for
	// service documents to a random peer.
	documentsRequestInterval = 3 * time.Second
)

// handlePeerMessage passes a message from another daemon to the system that
// handles it.
func (c *Core) handlePeerMessage(in PeerMessage) {
	m := in.Message
	switch {
	case m.Membership != nil:
		c.Membership.Step(c.now, in.From, in.Addr, *m.Membership)
	case m.Grant != nil:
		c.Grants.Step(c.now, in.From, *m.Grant)
	case m.Admission != nil:
		c.Admission.Step(c.now, in.From, *m.Admission)
	case m.Relay != nil:
		c.handleRelay(in.From, m.Relay)
	case m.RelayTokens != nil:
		c.handleRelayTokens(m.RelayTokens)
	case m.RelayEnd != nil:
		c.handleRelayEnd(m.RelayEnd)
	case m.RelayPoll != nil:
		c.handleRelayPoll(in.From, m.RelayPoll)
	case m.RelayCancel != nil:
		c.handleRelayCancel(in.From, m.RelayCancel)
	case m.Offer != nil:
		c.handleOffer(in.From, m.Offer)
	case m.OfferReply != nil:
		c.handleOfferReply(in.From, m.OfferReply)
	case m.OfferCommit != nil:
		c.handleOfferCommit(m.OfferCommit)
	case m.DocumentsRequest != nil:
		c.handleDocumentsRequest(in.From, m.DocumentsRequest)
	case m.FleetRequest != nil:
		c.handleFleetRequest(in.From, m.FleetRequest)
	case m.FleetResponse != nil:
		c.handleFleetResponse(in.From, m.FleetResponse)
	case m.DocumentsResponse != nil:
		c.Configuration.ReceivePeerRevision(c.now, m.DocumentsResponse.Snapshot.Revision)
		c.Configuration.ReceiveSnapshot(c.now, m.DocumentsResponse.Snapshot)
	}
}

// collectMembership applies the outputs of the membership system and reports
// whether there were records or changes of members.
func (c *Core) collectMembership() bool {
	ready := c.Membership.Ready()
	for _, e := range ready.Send {
		c.out.Sends = append(c.out.Sends, Envelope{
			To: e.To, Addr: e.Addr, Datagram: true, Message: Message{Membership: &e.Message},
		})
	}
	for _, record := range ready.Records {
		c.applyRecord(record)
	}
	c.out.Events = append(c.out.Events, ready.Events...)
	if len(ready.Changes) > 0 || c.membersStale {
		c.updateMembers()
		return true
	}
	return len(ready.Records) > 0
}

// collectAdmission sends the messages of the admission system, by which daemons
// report their demands and get their shares of the limits.
func (c *Core) collectAdmission() {
	for _, e := range c.Admission.Ready() {
		c.send(e.To, Message{Admission: &e.Message})
	}
}

// updateMembers passes the present members to the systems.
func (c *Core) updateMembers() {
	c.membersStale = false
	c.members = c.Membership.Members()
	var activeDaemons, leavingDaemons []entity.InstanceID
	var daemons []grant.Member
	for _, m := range c.members {
		leaving := m.State == membership.Leaving
		daemons = append(daemons, grant.Member{ID: m.ID, Location: m.Location, Leaving: leaving})
		if leaving {
			leavingDaemons = append(leavingDaemons, m.ID)
		} else {
			activeDaemons = append(activeDaemons, m.ID)
		}
	}
	c.Journal.SetLeaving(leavingDaemons)
	c.Journal.SetMembers(c.now, activeDaemons)
	c.Grants.SetMembers(c.now, daemons)
	c.setPlannerMembers(activeDaemons)
	c.advanceListRead()
	c.Admission.SetDaemons(len(activeDaemons))
	c.Admission.SetMembers(activeDaemons)
	c.Configuration.SetDaemons(len(activeDaemons))
	c.viewStale = true
}

// applyRecord applies a gossip record.
func (c *Core) applyRecord(record membership.Record) {
	switch record.Topic {
	case membership.TopicConfigHead:
		c.Configuration.ReceiveHead(c.now, record.Version)
	case membership.TopicQuarantine:
		var d entity.Digest
		if b, err := hex.DecodeString(record.Key); err == nil && copy(d[:], b) == len(d) {
			c.Grants.ApplyQuarantine(c.now, d)
		}
	case membership.TopicBackendDraining:
		c.setDraining(entity.BackendServerID(record.Key), record.Version, "news")
	case membership.TopicHandoff:
		c.successors[entity.InstanceID(record.Key)] = entity.InstanceID(record.Body)
	}
}

// announceQuarantine announces to all daemons that the content with this digest
// crashes backend servers.
func (c *Core) announceQuarantine(d entity.Digest) {
	c.Membership.Announce(c.now, membership.Record{
		Topic: membership.TopicQuarantine, Key: hex.EncodeToString(d[:]), Version: uint64(c.now.UnixMicro()),
	})
}

// collectConfiguration applies the outputs of the configuration system and
// reports whether documents or the head revision have changed.
func (c *Core) collectConfiguration() bool {
	ready := c.Configuration.Ready()
	for _, op := range ready.Operations {
		c.out.Operations = append(c.out.Operations, Operation{System: SystemConfiguration, Operation: op})
	}
	if len(ready.Changed)+len(ready.Removed) > 0 {
		c.updateServices()
	}
	if ready.Head > 0 {
		c.Membership.Announce(c.now, membership.Record{Topic: membership.TopicConfigHead, Key: "head", Version: ready.Head})
	}
	c.out.ApplyOutcomes = append(c.out.ApplyOutcomes, ready.Outcomes...)
	c.out.Histories = append(c.out.Histories, ready.Histories...)
	c.out.Events = append(c.out.Events, ready.Events...)
	return len(ready.Changed)+len(ready.Removed) > 0 || ready.Head > 0
}

// updateServices passes the services in force to the systems.
func (c *Core) updateServices() {
	c.refreshServices()
	c.Admission.SetServices(c.now, c.effectiveServices)
	c.Retry.SetServices(c.now, c.effectiveServices)
	if c.Fleet != nil {
		c.Fleet.SetServices(c.now, c.effectiveServices)
	}
}

// updateIsolation emits an event when the daemon becomes isolated or connected.
// While it is isolated it cannot know whether its configuration is current, and
// refuses new requests.
func (c *Core) updateIsolation() {
	isolated := !c.Configuration.Current(c.now)
	if isolated == c.isolated {
		return
	}
	c.isolated = isolated
	number := event.DaemonConnected
	if isolated {
		number = event.DaemonIsolated
	}
	c.out.Events = append(c.out.Events, event.Event{Number: number, At: c.now})
}

// requestDocuments regularly asks a random peer for its head revision and for
// documents that are newer than this daemon's.
func (c *Core) requestDocuments() {
	if !c.documentsRequestAt.IsZero() && c.now.Before(c.documentsRequestAt) {
		return
	}
	c.documentsRequestAt = c.now.Add(c.jitter(documentsRequestInterval))
	near, far := c.livePeers()
	peers := append(near, far...)
	if len(peers) == 0 {
		return
	}
	p := peers[c.Rand.IntN(len(peers))]
	c.send(p.ID, Message{DocumentsRequest: &DocumentsRequest{After: c.Configuration.Revision()}})
}

// handleDocumentsRequest sends a peer the documents that it asks for, unless
// this daemon does not know whether its own are current.
func (c *Core) handleDocumentsRequest(from entity.InstanceID, m *DocumentsRequest) {
	if s, ok := c.Configuration.DocumentsFor(c.now, m.After); ok {
		c.send(from, Message{DocumentsResponse: &DocumentsResponse{Snapshot: s}})
	}
}

// handlePlatformResult passes a result to the system that issued the operation.
func (c *Core) handlePlatformResult(in PlatformResult) {
	switch in.System {
	case SystemJournal:
		c.Journal.TableResult(c.now, in.Result)
	case SystemConfiguration:
		c.Configuration.TableResult(c.now, in.Result)
	case SystemFleet:
		c.Fleet.TableResult(c.now, in.Result)
	}
}

// handleInstanceList handles a read of the platform's instance list. The
// addresses of running daemons become seeds for membership; backend servers on
// leaving instances are drained.
func (c *Core) handleInstanceList(in InstanceList) {
	var seeds []string
	for _, i := range in.Instances {
		if a := i.Tags[TagDaemon]; a != "" && i.State == provider.Running {
			seeds = append(seeds, a)
		}
		if b := c.drainingServer(i); b != "" {
			c.handleBackendDraining(BackendDraining{Backend: b, Reason: "platform list", Draining: true})
		}
	}
	c.Membership.Seed(c.now, seeds)
	c.setInstances(in.Instances)
}

// EncodeMessage returns the encoding of a message between daemons.
func EncodeMessage(m *Message) ([]byte, error) { return codec.Encode(m) }

// DecodeMessage decodes a message from another daemon.
func DecodeMessage(body []byte) (Message, error) {
	var m Message
	err := codec.Decode(body, &m)
	return m, err
}
