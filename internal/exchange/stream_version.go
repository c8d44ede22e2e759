package exchange

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

// Backend servers of several software versions may serve one service. What two versions write
// does not fit together, so a stream is continued at the version that began it only: within
// one answer, and when its caller takes it up under a new request ID, at any daemon. While a
// service has several versions, the daemon that gets the first event of a stream tells a few
// daemons, which a hash of the request's ID chooses, and which the others ask.

const (
	// recordHolders is the number of daemons that are told which version began a stream.
	recordHolders = 3
	// patienceMargin is how long after its caller's patience has ended a stream may still be
	// taken up, as the caller's clock began earlier.
	patienceMargin = time.Second
	// unknownVersionRetryDelay is the Retry-After time of a stream whose version is not known,
	// since its record may be on its way.
	unknownVersionRetryDelay = 200 * time.Millisecond
)

// streamOrigin is what is known of the version that began the stream of a ticket.
type streamOrigin struct {
	begun   bool // the caller has got an event, of this request or of the one that it resumes
	known   bool
	version string
	source  string        // how it is known, for logs
	doubt   versionDoubt  // why it is not known, if the request resumes a stream
	age     time.Duration // of the record when it was read
	counted bool          // in the metrics
}

// continues reports whether the next send of a request continues a stream.
func (t *Ticket) continues() bool { return t.origin.begun }

// resumes reports whether the request takes up a stream of which its caller has got events.
func (t *Ticket) resumes() bool { return t.Route.Kind == Stream && t.Request.After != "" }

// organisationID returns the ID of the ticket's organisation, "" if it has none.
func (t *Ticket) organisationID() entity.OrganisationID {
	if t.Org == nil {
		return ""
	}
	return t.Org.ID
}

// FindStreamVersion looks up which version began the stream that a request resumes, and returns
// the daemons to ask if it is not known here.
func (c *Core) FindStreamVersion(now time.Time, t *Ticket) (ask []Member) {
	if !t.continues() || t.origin.known {
		return nil
	}
	if rec, age, ok := c.streams.Get(now, t.Request.Resumes); ok && rec.Organisation == t.organisationID() {
		t.origin.known, t.origin.version, t.origin.source, t.origin.age = true, rec.Version, fromRecord, age
		c.announceStream(now, rec) // some holders may have restarted
		return nil
	}
	if rec, ok := c.streams.FindSaved(now, t.Request.Resumes); ok && rec.Organisation == t.organisationID() && rec.Service == t.Service {
		t.origin.known, t.origin.version, t.origin.source = true, rec.Version, fromSavedRow
		c.streams.Put(now, rec)
		c.announceStream(now, rec) // all holders may have restarted
		return nil
	}
	version, doubt := c.onlyVersion(now, t.Service)
	if doubt == "" {
		t.origin.known, t.origin.version, t.origin.source = true, version, fromOnlyVersion
		return nil
	}
	t.origin.doubt = doubt
	if t.Request.Resumes == "" {
		return nil
	}
	c.savedStreams.wanted = true
	return c.recordHolders(now, t.Request.Resumes)
}

// recordHolders returns the other daemons that hold the record of a stream.
func (c *Core) recordHolders(now time.Time, id entity.RequestID) []Member {
	daemons := []Member{c.cfg.Self}
	c.peers.All(func(_ entity.InstanceID, r *peerRow) bool {
		if c.mayServe(now, r) {
			daemons = append(daemons, r.Member)
		}
		return true
	})
	holders := chooseMembers(daemons, string(id), recordHolders)
	return slices.DeleteFunc(holders, func(m Member) bool { return m.Name == c.cfg.Self.Name })
}

// requireVersion returns a refusal if a stream cannot be continued because it is not known
// which version began it.
func (c *Core) requireVersion(now time.Time, t *Ticket) *Refusal {
	if !t.continues() || t.origin.known {
		return nil
	}
	if c.FindStreamVersion(now, t); t.origin.known {
		return nil
	}
	c.logContinuation(event.StreamVersionUnknown, t, "")
	c.countResumption(t, false)
	r := c.finalRefusal(t, "stream-version-unknown", unknownVersionRetryDelay)
	r.Inputs = fmt.Sprintf("resumes %q, %s, versions %v", t.Request.Resumes, t.origin.doubt, c.versionsOf(now, t.Service))
	return r
}

// mayContinue reports whether a backend server may get the next send of a request.
func (c *Core) mayContinue(t *Ticket, id entity.BackendServerID) bool {
	if !t.continues() {
		return true
	}
	row := c.servers.Get(id)
	return row != nil && row.Version == t.origin.version
}

// rejectWithoutVersion rejects the continuation of a stream for which there is no server. It
// promises nothing if none of its version is usable.
func (c *Core) rejectWithoutVersion(now time.Time, t *Ticket) *Refusal {
	usable := 0
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		if row.Service == t.Service && row.Version == t.origin.version && c.usable(now, id) {
			usable++
		}
		return true
	})
	c.logContinuation(event.StreamVersionGone, t, "")
	c.countResumption(t, false)
	var retryAfter time.Duration
	if usable > 0 {
		retryAfter = noServerRetryDelay
	}
	r := c.finalRefusal(t, "no-server-of-version", retryAfter)
	r.Inputs = fmt.Sprintf("version %q (%s), %d usable servers of it", t.origin.version, t.origin.source, usable)
	return r
}

// recordStream records, when the first event of a stream has arrived, which version began it.
func (c *Core) recordStream(now time.Time, t *Ticket) {
	if t.Route.Kind != Stream || t.continues() {
		return
	}
	t.origin.begun = true
	row := c.servers.Get(t.process.Server)
	switch {
	case !c.provesProcess(now, t.reachedSince):
		return
	case row == nil:
	case row.process() != t.process && row.Version != t.serverVersion:
		return // the server's process was replaced meanwhile: either may have answered
	case row.process() == t.process && !row.versionKnown(now):
		return // a process whose entry is not there yet has answered
	}
	t.origin.known, t.origin.version, t.origin.source = true, t.serverVersion, "this answer"
	if !t.Route.Resumable {
		return
	}
	life := maxStreamLife
	if t.Request.Patience > 0 {
		life = t.Arrived.Add(t.Request.Patience + patienceMargin).Sub(now)
	}
	rec := streamversion.Record{Request: t.Request.ID, Service: t.Service, Version: t.serverVersion, Life: life, Organisation: t.organisationID()}
	c.streams.Put(now, rec)
	c.streams.MarkBegun(rec.Request)
	c.announceStream(now, rec)
}

// maxStreamLife is how long a stream may be taken up whose caller states no patience.
const maxStreamLife = time.Minute

// announceStream has a stream's record sent to its holders, if its service has several versions.
func (c *Core) announceStream(now time.Time, rec streamversion.Record) {
	if !c.mixed(now, rec.Service) {
		return
	}
	for _, m := range c.recordHolders(now, rec.Request) {
		c.streamNews[m.Name] = append(c.streamNews[m.Name], rec)
	}
}

// sawVersion records the version of a server that may serve.
func (c *Core) sawVersion(now time.Time, s *BackendServer) {
	c.changeVersions(now, []entity.ServiceName{s.Service}, func() { c.streams.SawVersion(now, s.Service, s.Version) })
	if s.State == Ready && c.recordsVersions(s.Service) {
		c.recorded.Saw(now, streamversion.SeenVersion{Service: s.Service, Version: s.Version}, c.recordSpread())
	}
}

// changeVersions makes a change of what is known of the versions of services. When a service
// gets a second version by it, the records of all its streams are sent to their holders.
func (c *Core) changeVersions(now time.Time, services []entity.ServiceName, change func()) {
	services = slices.DeleteFunc(services, func(s entity.ServiceName) bool { return c.hasSeveralVersions(now, s) })
	change()
	for _, service := range services {
		if c.hasSeveralVersions(now, service) {
			c.announceStreams(now, service)
		}
	}
}

// announceStreams has the records of a service's streams sent to their holders.
func (c *Core) announceStreams(now time.Time, service entity.ServiceName) {
	for _, rec := range c.streams.OfService(now, service) {
		c.announceStream(now, rec)
	}
}

// refreshVersions keeps the versions of the servers that may serve, and drops records that have
// expired.
func (c *Core) refreshVersions(now time.Time) {
	for _, s := range c.serversByVersion(now) {
		c.sawVersion(now, s)
	}
	c.streams.Forget(now)
	c.recorded.Forget(now)
}

// serversByVersion returns a server of each version that may serve, one that is ready if there is.
func (c *Core) serversByVersion(now time.Time) []*BackendServer {
	var out []*BackendServer
	index := make(map[streamversion.SeenVersion]int)
	c.servers.All(func(_ entity.BackendServerID, row *serverRow) bool {
		if !row.listed && !now.Before(row.goneAt) {
			return true
		}
		v := streamversion.SeenVersion{Service: row.Service, Version: row.Version}
		i, found := index[v]
		switch {
		case !found:
			index[v] = len(out)
			out = append(out, &row.BackendServer)
		case row.State == Ready:
			out[i] = &row.BackendServer
		}
		return true
	})
	return out
}

// StreamNews are records for one daemon.
type StreamNews struct {
	To      Member
	Records []streamversion.Record
}

// TakeStreamNews returns the records to send since the last call.
func (c *Core) TakeStreamNews() []StreamNews {
	if len(c.streamNews) == 0 {
		return nil
	}
	var out []StreamNews
	c.peers.All(func(name entity.InstanceID, r *peerRow) bool {
		if records := c.streamNews[name]; len(records) > 0 {
			out = append(out, StreamNews{r.Member, records})
		}
		return true
	})
	clear(c.streamNews)
	return out
}

// StreamNewsPending reports whether there are records to send.
func (c *Core) StreamNewsPending() bool { return len(c.streamNews) > 0 }

// ReceiveStreams adds records of another daemon.
func (c *Core) ReceiveStreams(now time.Time, records []streamversion.Record) {
	for _, rec := range records {
		c.streams.Put(now, rec)
	}
}

// StreamRecord returns the record of a stream, for a daemon that asks, and whether it is known
// here.
func (c *Core) StreamRecord(now time.Time, id entity.RequestID) (rec streamversion.Record, known bool) {
	if rec, _, known = c.streams.Get(now, id); known {
		return rec, true
	}
	return c.streams.FindSaved(now, id)
}

// logContinuation logs a decision on the continuation of a stream.
func (c *Core) logContinuation(number event.Number, t *Ticket, server entity.BackendServerID) {
	c.logEvent(event.Event{Number: number, Request: t.Request.ID, Service: t.Service, Backend: server, Attrs: []event.Attr{
		event.A("resumes", t.Request.Resumes), event.A("server_version", t.origin.version), event.A("source", t.origin.source),
		event.A("age_ms", t.origin.age.Milliseconds()), event.A("doubt", t.origin.doubt),
	}})
}
