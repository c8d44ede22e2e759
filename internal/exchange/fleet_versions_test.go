package exchange

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

// versionTable is what the table service of a test fleet stores of the versions of services.
type versionTable struct {
	use            bool            // daemons that start read it
	checkpoint     Checkpoint      // the newest one; only its versions are set
	checkpointLost bool            // the table service refuses checkpoints
	unlisted       map[string]bool // daemons that start do not find the servers of these versions in their first list

	row          streamversion.Row
	revision     int // of the row, for conditions; rises with each write and each restore
	generation   uint64
	claimed      bool                    // a daemon has been the first one of the deployment
	unreadable   func(*fleetDaemon) bool // the row cannot be read by a daemon
	refused      bool                    // no write of the row takes effect
	answersLost  bool                    // writes take effect, and their answers are lost
	reads, wrote int
	leader       bool   // the first daemon takes the lease
	notResumable bool   // the configuration lets no stream be resumed
	epoch        uint64 // of the lease

	saved map[string]savedRow // streams that processes have begun, by daemon and process
}

// savedRow is the row in which a process saves the streams that it has begun.
type savedRow struct {
	streamversion.SavedRow
	at time.Time
}

// saveStreams lets a daemon write its row of the streams that it has begun, and read those of all,
// when these are due.
func (f *testFleet) saveStreams(d *fleetDaemon, core *Core) {
	if !f.versions.use {
		return
	}
	if f.versions.saved == nil {
		f.versions.saved = map[string]savedRow{}
	}
	key := fmt.Sprint(d.name, "/", d.starts)
	if last := f.versions.saved[key]; f.now.Sub(last.at) >= core.SaveInterval() {
		if row, any := core.StreamsToSave(f.now); any || len(last.Groups) > 0 {
			f.versions.saved[key] = savedRow{row, f.now}
		}
	}
	if !core.SavedStreamsDue(f.now) {
		return
	}
	for _, other := range slices.Sorted(maps.Keys(f.versions.saved)) {
		if row := f.versions.saved[other]; other != key {
			core.AddSavedStreams(f.now, &row.SavedRow)
		}
	}
}

// document returns the configuration.
func (v *versionTable) document() *Document {
	if !v.notResumable {
		return testDocument(1)
	}
	document := testDocument(1)
	for i := range document.Routes {
		document.Routes[i].Resumable = false
	}
	return document
}

// readVersions lets a daemon that starts read what the table service stores of the versions.
func (f *testFleet) readVersions(d *fleetDaemon, core *Core) {
	if !f.versions.use {
		return
	}
	core.RestoreVersions(f.now, &f.versions.checkpoint)
	first := !f.versions.claimed
	f.versions.claimed = true
	f.recordVersions(d, core, first)
	if f.versions.leader && d == f.daemons[0] {
		f.after(leaseTakeover, func() {
			f.versions.epoch++
			core.LeaseAcquired(f.now, f.now, f.versions.epoch)
		})
	}
}

// recordCheckInterval is the time between two checks whether a daemon calls the table service for
// the row of versions.
const recordCheckInterval = 50 * time.Millisecond

// recordVersions makes a daemon's calls for the row of versions until it is restarted.
func (f *testFleet) recordVersions(d *fleetDaemon, core *Core, first bool) {
	if d.core != core {
		return
	}
	f.after(recordCheckInterval, func() { f.whenRunning(d, func() { f.recordVersions(d, core, first) }) })
	if !core.VersionCallDue(f.now) {
		return
	}
	core.VersionCallBegins(f.now)
	if core.LacksVersions(f.now) {
		f.askVersions(d, core)
	}
	if f.tableAway || d.tableCut || f.versions.unreadable != nil && f.versions.unreadable(d) {
		return
	}
	f.versions.reads++
	read := streamversion.Read{Row: f.versions.row, Generation: f.versions.generation, Absent: f.versions.revision == 0, NewDeployment: first}
	revision := f.versions.revision
	f.after(networkDelay, func() {
		f.whenRunning(d, func() {
			if next, write := core.VersionRowRead(f.now, &read); write && d.core == core {
				f.writeVersions(d, core, next, revision)
			}
		})
	})
}

// writeVersions writes the row, if it has not been written since the given revision.
func (f *testFleet) writeVersions(d *fleetDaemon, core *Core, next streamversion.Row, revision int) {
	f.after(networkDelay, func() {
		done := !f.tableAway && !f.versions.refused && f.versions.revision == revision
		if done {
			f.versions.row, f.versions.revision = next, revision+1
			f.versions.wrote++
		}
		f.after(networkDelay, func() {
			f.whenRunning(d, func() {
				if done && !f.versions.answersLost {
					core.VersionRowWritten(f.now, &next)
				} else {
					core.VersionRowFailed()
				}
				if d.core == core {
					f.perform(core)
				}
			})
		})
	})
}

// askVersions lets a daemon ask another one for all recorded versions.
func (f *testFleet) askVersions(d *fleetDaemon, core *Core) {
	peers := core.Peers()
	if len(peers) == 0 {
		return
	}
	f.message(d, peers[int(f.now.UnixMicro())%len(peers)].Name, func(to *fleetDaemon) {
		versions, complete := to.core.RecordedVersions(f.now)
		if !complete {
			return
		}
		f.message(to, entity.InstanceID(d.name), func(*fleetDaemon) { core.ReceiveAllRecorded(f.now, versions) })
	})
}

// restoreVersions restores the row from an older copy, in a new generation of the table service.
func (f *testFleet) restoreVersions(row streamversion.Row) {
	f.versions.row = row
	f.versions.revision++
	f.versions.generation++
	for _, d := range f.daemons {
		f.after(f.random(maxListDelay), func() { d.core.TableRestored(f.now) })
	}
}

// releaseAll replaces all engines that are up by ones of another version under other IDs.
func (f *testFleet) releaseAll(version string, nextID func() entity.BackendServerID) {
	for _, s := range f.engines() {
		if s.up && s.replacedBy == nil {
			f.crash(s)
			f.replaceWith(s, nextID(), f.now.UnixMilli(), func(e *BackendServer) { e.Version = version })
		}
	}
}
