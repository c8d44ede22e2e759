package exchange

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

// A daemon concludes from the versions that it knows which one began a stream only if it knows
// every version that can have begun any stream that a caller may still resume. So a version is
// recorded in a row of the table service before its servers get streams that may be resumed, and
// a process concludes nothing until it knows that row.

// versionDoubt says why it is not known which version began a stream.
type versionDoubt string

const (
	doubtNotRead     versionDoubt = "record-not-read"      // the recorded versions are not known
	doubtSeveral     versionDoubt = "several-versions"     // and no record of the stream
	doubtNone        versionDoubt = "no-version-known"     // the service has had no version lately
	doubtNotRecorded versionDoubt = "version-not-recorded" // the only version is not recorded: no stream began there
	doubtUnproved    versionDoubt = "server-unproved"      // a server's process may have been replaced while its entry could not be read
	doubtOutOfStep   versionDoubt = "out-of-step"          // others may have recorded versions of which this daemon has not heard
)

const (
	fromRecord      = "record"
	fromSavedRow    = "row of the table service"
	fromOnlyVersion = "only version of the service"
)

// datedVersion is a recorded version with the time of its recording.
type datedVersion struct {
	version streamversion.RowVersion
	at      time.Time
}

func undatedVersions(now time.Time, list []datedVersion) []streamversion.KnownVersion {
	var out []streamversion.KnownVersion
	for _, v := range list {
		out = append(out, streamversion.KnownVersion{RowVersion: v.version, Ago: now.Sub(v.at)})
	}
	return out
}

// processRand returns a source of random numbers that is another one for each process.
func processRand(self *Member) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self.Name)) // a hash returns no error
	return rand.New(rand.NewPCG(h.Sum64(), uint64(self.Start)))
}

// recordsVersions reports whether the versions of a service are recorded: its streams may be
// resumed.
func (c *Core) recordsVersions(service entity.ServiceName) bool {
	return c.cfg.RecordVersions && c.index != nil && c.index.resumable[service]
}

// versionsOf returns the versions that may have begun streams of a service.
func (c *Core) versionsOf(now time.Time, service entity.ServiceName) []string {
	versions := c.streams.Versions(service)
	if c.cfg.RecordVersions {
		versions = append(versions, c.recorded.OfService(now, service)...)
		slices.Sort(versions)
	}
	return slices.Compact(versions)
}

// mixed reports whether a service has had several versions lately, or may have.
func (c *Core) mixed(now time.Time, service entity.ServiceName) bool {
	return c.listInDoubt(now) || c.hasSeveralVersions(now, service)
}

// hasSeveralVersions reports whether a service is known to have had several versions lately.
func (c *Core) hasSeveralVersions(now time.Time, service entity.ServiceName) bool {
	return len(c.versionsOf(now, service)) > 1
}

// onlyVersion returns the version that has begun all streams of a service that may be resumed,
// or why that is not known.
func (c *Core) onlyVersion(now time.Time, service entity.ServiceName) (string, versionDoubt) {
	versions := c.versionsOf(now, service)
	switch {
	case c.cfg.RecordVersions && !c.recorded.Complete(now):
		return "", doubtNotRead
	case len(versions) > 1:
		return "", doubtSeveral
	case c.cfg.RecordVersions && c.outOfStep(now):
		c.recorded.CheckSoon(now)
		return "", doubtOutOfStep
	case c.cfg.RecordVersions && c.listInDoubt(now):
		return "", doubtUnproved
	case len(versions) == 0:
		return "", doubtNone
	case c.cfg.RecordVersions && len(c.recorded.OfService(now, service)) == 0:
		return "", doubtNotRecorded
	}
	return versions[0], ""
}

const (
	// minVersionSettling is the minimum of versionSettling. It applies in small fleets.
	minVersionSettling = time.Second
	// versionSettlingUpdates is versionSettling in large fleets, in update intervals.
	versionSettlingUpdates = 3
	// recordSpreadUpdates is the time over which daemons spread the recording of a version
	// while there is no leader, in update intervals.
	recordSpreadUpdates = 3
	// minRecordSpread is the minimum of that time.
	minRecordSpread = 300 * time.Millisecond
)

// versionSettling is how long after its recording a version gets streams only if no server of a
// version that has been recorded for longer can take them: until then, another daemon may not
// know of it.
func (c *Core) versionSettling() time.Duration {
	return max(minVersionSettling, versionSettlingUpdates*c.updateInterval())
}

func (c *Core) recordSpread() time.Duration {
	return max(minRecordSpread, recordSpreadUpdates*c.updateInterval())
}

// maxRecordWait bounds the time for which a daemon that has started is not ready since no server
// may get streams that may be resumed.
const maxRecordWait = 1500 * time.Millisecond

// readyForStreams reports whether each service whose streams may be resumed has a server of a
// recorded version, if it has any, or that has been waited for long enough.
func (c *Core) readyForStreams(now time.Time) bool {
	if now.Sub(c.cfg.Started) >= maxRecordWait {
		return true
	}
	usable := make(map[entity.ServiceName]bool)
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		if c.recordsVersions(row.Service) && c.usable(now, id) {
			_, ok := c.recordedFor(now, id)
			usable[row.Service] = usable[row.Service] || ok
		}
		return true
	})
	for _, ok := range usable {
		if !ok {
			return false
		}
	}
	return true
}

// chooseForStream chooses a server for a stream that may be resumed: one whose version is known
// and has been recorded for a while, if there is one. Without a recorded version there is none.
func (c *Core) chooseForStream(now time.Time, t *Ticket, allowed func(*serverRow) bool) (placement.Choice, bool) {
	known := func(id entity.BackendServerID) bool {
		row := c.servers.Get(id)
		return row.versionKnown(now) && allowed(row)
	}
	if t.continues() {
		if c.listInDoubt(now) {
			proved := func(id entity.BackendServerID) bool {
				return known(id) && c.provesProcess(now, c.servers.Get(id).reachedSince)
			}
			if choice, ok := c.chooseAmong(now, t, proved); ok {
				return choice, true
			}
		}
		return c.chooseAmong(now, t, known)
	}
	settled := func(id entity.BackendServerID) bool {
		age, ok := c.recordedFor(now, id)
		return ok && age >= c.versionSettling() && known(id)
	}
	recorded := func(id entity.BackendServerID) bool {
		_, ok := c.recordedFor(now, id)
		return ok && allowed(c.servers.Get(id))
	}
	for _, eligible := range []func(entity.BackendServerID) bool{
		settled, func(id entity.BackendServerID) bool { return recorded(id) && known(id) }, recorded,
	} {
		if choice, ok := c.chooseAmong(now, t, eligible); ok {
			return choice, true
		}
	}
	return placement.Choice{}, false
}

// recordedFor returns how long the version of a server has been known to be recorded, and
// whether it is.
func (c *Core) recordedFor(now time.Time, id entity.BackendServerID) (time.Duration, bool) {
	row := c.servers.Get(id)
	if !c.recordsVersions(row.Service) {
		return c.versionSettling(), true
	}
	return c.recorded.Usable(now, streamversion.SeenVersion{Service: row.Service, Version: row.Version})
}

// rejectUnrecorded rejects a new stream that only servers of versions which are not recorded
// yet could take; nil if there are none.
func (c *Core) rejectUnrecorded(now time.Time, t *Ticket) *Refusal {
	if t.Route.Kind != Stream || !t.Route.Resumable {
		return nil
	}
	var waiting []string
	c.servers.All(func(id entity.BackendServerID, row *serverRow) bool {
		if row.Service != t.Service || !c.usable(now, id) {
			return true
		}
		if _, ok := c.recordedFor(now, id); !ok {
			waiting = append(waiting, row.Version)
		}
		return true
	})
	if len(waiting) == 0 {
		return nil
	}
	slices.Sort(waiting)
	r := c.finalRefusal(t, "version-not-recorded", unknownVersionRetryDelay)
	r.Inputs = strings.Join(slices.Compact(waiting), ",")
	return r
}

// VersionCallDue reports whether the row of recorded versions should be read now. It is read, and
// written by the first process of a deployment, before any streams may be resumed: when they may,
// nobody may be left who knows that there were none before.
func (c *Core) VersionCallDue(now time.Time) bool {
	if !c.cfg.RecordVersions || c.index == nil || c.leaving {
		return false
	}
	_, leader := c.lease.Epoch()
	return c.recorded.CallDue(now, leader)
}

// VersionCallBegins records that the call is made.
func (c *Core) VersionCallBegins(now time.Time) {
	c.recorded.Called(now)
	c.step.readBegunAt = now
}

// VersionRowRead applies a read of the row of recorded versions, and returns the row to write
// if it must be written.
func (c *Core) VersionRowRead(now time.Time, read *streamversion.Read) (next streamversion.Row, write bool) {
	_, leader := c.lease.Epoch()
	before := c.recorded.Complete(now)
	c.step.readAt = c.step.readBegunAt
	read.NewDeployment = read.NewDeployment || read.Absent && c.noneMayBeResumed(now)
	c.changeVersions(now, servicesOfRow(&read.Row), func() { next, write = c.recorded.Apply(now, read, leader) })
	c.announceRecorded(now, c.recorded.TakeNews())
	if complete := c.recorded.Complete(now); complete != before || write {
		c.logRecorded(event.StreamVersionsRead, &read.Row, complete)
	}
	return next, write
}

// noneMayBeResumed reports whether the configuration in force lets no streams be resumed. While it does
// not, and nobody has written the row, none has begun that a caller may resume: a version is recorded
// before. So the row of a deployment whose first daemons did not write it, as those of earlier releases,
// is complete from its first write on.
func (c *Core) noneMayBeResumed(now time.Time) bool {
	return c.configurationFresh(now) && len(c.index.resumable) == 0 && !c.recentlyRestored(now)
}

// VersionRowWritten records that the row has been written.
func (c *Core) VersionRowWritten(now time.Time, row *streamversion.Row) {
	c.changeVersions(now, servicesOfRow(row), func() { c.recorded.Written(now, row) })
	c.announceRecorded(now, c.recorded.TakeNews())
	c.logRecorded(event.StreamVersionsRecorded, row, c.recorded.Complete(now))
}

// VersionRowFailed records that a write of the row has failed or may not have taken effect.
func (c *Core) VersionRowFailed() { c.recorded.Failed() }

func servicesOfRow(row *streamversion.Row) []entity.ServiceName {
	var out []entity.ServiceName
	for _, v := range row.Versions {
		out = append(out, v.Service)
	}
	return slices.Compact(out)
}

// announceRecorded has recorded versions sent to all other daemons.
func (c *Core) announceRecorded(now time.Time, versions []streamversion.KnownVersion) {
	for _, v := range versions {
		c.recordedNews.addUnless(datedVersion{v.RowVersion, now.Add(-v.Ago)}, func(known datedVersion) bool { return known.version == v.RowVersion })
	}
}

// receiveRecorded learns of recorded versions from another daemon.
func (c *Core) receiveRecorded(now time.Time, versions []streamversion.KnownVersion) {
	if len(versions) > 0 {
		c.changeVersions(now, servicesOf(versions), func() { c.recorded.Receive(now, versions) })
	}
}

func servicesOf(versions []streamversion.KnownVersion) []entity.ServiceName {
	var out []entity.ServiceName
	for _, v := range versions {
		out = append(out, v.Service)
	}
	return out
}

// RecordedVersions returns all recorded versions, for a daemon that asks, if this one knows
// them all and is in touch with the others. While a version has servers that is not known to be
// recorded here, another daemon may have recorded it.
func (c *Core) RecordedVersions(now time.Time) (versions []streamversion.KnownVersion, complete bool) {
	if !c.recorded.Complete(now) || c.recorded.Pending() || !c.configurationFresh(now) || c.cutOff(now) {
		return nil, false
	}
	return c.recorded.Known(now), true
}

// LacksVersions reports whether another daemon should be asked for the recorded versions.
func (c *Core) LacksVersions(now time.Time) bool {
	return c.cfg.RecordVersions && !c.recorded.Complete(now)
}

// ReceiveAllRecorded learns all recorded versions from a daemon that was asked a moment ago.
func (c *Core) ReceiveAllRecorded(now time.Time, versions []streamversion.KnownVersion) {
	c.changeVersions(now, servicesOf(versions), func() { c.recorded.ReceiveAll(now, versions) })
}

// checkRecordAsLeader has the row read when this daemon has become the leader.
func (c *Core) checkRecordAsLeader(now time.Time) {
	_, leader := c.lease.Epoch()
	if leader && !c.wasLeader {
		c.recorded.CheckSoon(now)
	}
	c.wasLeader = leader
}

// logRecorded logs a row of recorded versions that this daemon has read or written.
func (c *Core) logRecorded(number event.Number, row *streamversion.Row, complete bool) {
	c.logEvent(event.Event{Number: number, Attrs: []event.Attr{
		event.A("versions", describeVersions(row)), event.A("generation", row.Generation), event.A("row_complete", row.Complete), event.A("all_known", complete),
	}})
}

// maxLoggedVersions bounds the versions in one line of the log.
const maxLoggedVersions = 32

func describeVersions(row *streamversion.Row) string {
	var out []string
	for _, v := range row.Versions[:min(len(row.Versions), maxLoggedVersions)] {
		text := string(v.Service) + " " + v.Version
		if v.Expiring {
			text += " (expiring)"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}
