package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// nextServerID returns an ID for a server that replaces another one.
func (r *versionRun) nextServerID() entity.BackendServerID {
	r.nextServer++
	return entity.BackendServerID(fmt.Sprint("next", r.nextServer))
}

// newLedVersionRun returns a fleet with a leader whose engines have one version.
func newLedVersionRun(t testing.TB, daemons int) *versionRun {
	r := newVersionRun(t, uint64(daemons), daemons, "v1")
	r.versions.leader = true
	return r
}

// versionRestarts are the ways in which a fleet that restarts may know too little of its versions.
// Each leaves the first version in service, so that the next round finds it.
var versionRestarts = []struct {
	name   string
	strike func(r *versionRun)
}{
	// The checkpoint names neither the version that began the streams nor the one that follows.
	{"checkpoint-lost", func(r *versionRun) {
		r.versions.checkpointLost, r.versions.checkpoint = true, Checkpoint{}
		r.releaseAll("v2", r.nextServerID)
		r.restart(r.daemons)
		r.run(3 * time.Second)
		r.releaseAll("v1", r.nextServerID)
	}},
	// A version comes and goes between two checkpoints.
	{"within-one-checkpoint-interval", func(r *versionRun) {
		r.versions.checkpointLost = true
		r.releaseAll("v2", r.nextServerID)
		r.run(2500 * time.Millisecond)
		r.releaseAll("v1", r.nextServerID)
		r.restart(r.daemons)
	}},
	// The servers of the version that began the streams are not in the first list.
	{"list-partly-read", func(r *versionRun) {
		r.versions.checkpointLost, r.versions.checkpoint = true, Checkpoint{}
		for i, s := range r.engines() {
			if s.up && i%2 == 0 {
				r.crash(s)
				r.replaceWith(s, r.nextServerID(), r.now.UnixMilli(), func(e *BackendServer) { e.Version = "v2" })
			}
		}
		r.run(2500 * time.Millisecond)
		r.versions.unlisted = map[string]bool{"v1": true}
		r.restart(r.daemons)
		r.run(2 * time.Second)
		r.versions.unlisted = nil
		r.releaseAll("v1", r.nextServerID)
		r.restart(r.daemons)
	}},
	// Daemons that start cannot read the row for a while.
	{"row-unreadable", func(r *versionRun) {
		r.versions.checkpointLost, r.versions.checkpoint = true, Checkpoint{}
		r.versions.unreadable = func(*fleetDaemon) bool { return true }
		r.releaseAll("v2", r.nextServerID)
		r.restart(r.daemons)
		r.run(3 * time.Second)
		r.versions.unreadable = nil
		r.run(2 * time.Second)
		r.releaseAll("v1", r.nextServerID)
	}},
	// The row cannot be written when a version comes.
	{"row-refused", func(r *versionRun) {
		r.versions.checkpointLost, r.versions.refused = true, true
		r.releaseAll("v2", r.nextServerID)
		r.run(2500 * time.Millisecond)
		r.releaseAll("v1", r.nextServerID)
		r.restart(r.daemons)
		r.run(2 * time.Second)
		r.versions.refused = false
	}},
	// The answers to writes of the row are lost when a version comes.
	{"row-answers-lost", func(r *versionRun) {
		r.versions.checkpointLost, r.versions.answersLost = true, true
		r.releaseAll("v2", r.nextServerID)
		r.run(2500 * time.Millisecond)
		r.releaseAll("v1", r.nextServerID)
		r.restart(r.daemons)
		r.run(2 * time.Second)
		r.versions.answersLost = false
	}},
	// The table service comes back from a copy without the version that is in service.
	{"row-from-older-copy", func(r *versionRun) {
		r.versions.checkpointLost = true
		older := r.versions.row
		r.releaseAll("v2", r.nextServerID)
		r.run(2500 * time.Millisecond)
		r.restoreVersions(older)
		r.run(500 * time.Millisecond)
		r.releaseAll("v1", r.nextServerID)
		r.restart(r.daemons)
	}},
	// A daemon that has missed a version answers those that start, which cannot read the row.
	{"outdated-daemon-answers", func(r *versionRun) {
		r.versions.checkpointLost = true
		outdated := r.daemons[0]
		outdated.cut = true
		r.versions.unreadable = func(d *fleetDaemon) bool { return d == outdated }
		r.releaseAll("v2", r.nextServerID)
		r.run(2500 * time.Millisecond)
		r.versions.unreadable = func(*fleetDaemon) bool { return true }
		r.versions.checkpoint = Checkpoint{}
		r.releaseAll("v1", r.nextServerID)
		r.restart(r.daemons[1:])
		r.reconnect(outdated)
		r.run(3 * time.Second)
		r.versions.unreadable = nil
	}},
}

// rounds returns how often a fleet of a size is struck. Large ones take long to run.
func rounds(daemons int) int {
	if daemons > 20 {
		return 2
	}
	return 4
}

// TestStreamVersion_AllRestartWhileAVersionLeaves: daemons that have just started know one
// version of a service, and streams of another one are taken up.
func TestStreamVersion_AllRestartWhileAVersionLeaves(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		for _, fault := range versionRestarts {
			t.Run(fmt.Sprint(fault.name, "/daemons=", daemons), func(t *testing.T) {
				t.Parallel()
				r := newLedVersionRun(t, daemons)
				r.run(4 * time.Second)
				for range rounds(daemons) {
					fault.strike(r)
					r.run(4 * time.Second)
				}
				r.check()
			})
		}
	}
}

// TestStreamVersion_AllRestartWithOneVersion: streams that callers resume go on, as the row says
// that the service has had no other version.
func TestStreamVersion_AllRestartWithOneVersion(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			t.Parallel()
			r := newLedVersionRun(t, daemons)
			r.maxTries, r.contact = 15, time.Second
			r.run(4 * time.Second)
			for range 4 {
				r.restart(r.daemons)
				r.run(5 * time.Second)
			}
			r.check()
			if r.takenUp < minTakenUp {
				t.Errorf("%d streams were taken up, too few to judge", r.takenUp)
			}
		})
	}
}

// TestStreamVersion_FirstResumableRouteAfterARoll: streams may be resumed from a configuration on
// that comes when no daemon runs any more that was there at the beginning of the deployment. A
// daemon that is killed later has its streams taken up elsewhere.
func TestStreamVersion_FirstResumableRouteAfterARoll(t *testing.T) {
	testFirstResumableRoute(t, false)
}

// TestStreamVersion_FirstResumableRouteAfterAnUpgrade: the same, and the daemons of the beginning were of a
// release that did not write the row of versions while no streams could be resumed.
func TestStreamVersion_FirstResumableRouteAfterAnUpgrade(t *testing.T) {
	testFirstResumableRoute(t, true)
}

// testFirstResumableRoute replaces all daemons, lets streams be resumed from then on, and checks that
// callers can. Claimed says that the table service knows an earlier deployment, which has left no row.
func testFirstResumableRoute(t *testing.T, claimed bool) {
	for _, daemons := range []int{3, 9, 89} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			t.Parallel()
			r := newLedVersionRun(t, daemons)
			r.versions = versionTable{use: true, leader: true, notResumable: true, claimed: claimed}
			r.restart(r.daemons)
			r.run(3 * time.Second)
			r.restart(r.daemons)
			r.run(5 * time.Second)
			r.versions.notResumable = false
			for _, d := range r.daemons {
				d.core.SetDocument(r.now, testDocument(2))
			}
			r.callers = map[entity.RequestID]*streamCaller{}
			r.asked, r.begun, r.takenUp, r.continued, r.mixed = 0, 0, 0, 0, 0
			for range 4 {
				r.run(5 * time.Second)
				r.restart(r.daemons[1:3])
			}
			r.run(5 * time.Second)
			r.check()
		})
	}
}

// TestStreamVersion_SteadyFleetDoesNotCallTheTable: each process reads the row once when it
// starts, and a leader when it has become one. Nothing is written.
func TestStreamVersion_SteadyFleetDoesNotCallTheTable(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		t.Run(fmt.Sprint("daemons=", daemons), func(t *testing.T) {
			t.Parallel()
			r := newLedVersionRun(t, daemons)
			r.run(10 * time.Second)
			reads, writes := r.versions.reads, r.versions.wrote
			r.restart(r.daemons)
			r.run(20 * time.Second)
			if n, want := r.versions.reads-reads, daemons+1; n > want {
				t.Errorf("%d reads of the row by %d daemons that have started, of which one has become the leader; want %d", n, daemons, want)
			}
			if n := r.versions.wrote - writes; n != 0 {
				t.Errorf("%d writes of the row by a steady fleet", n)
			}
		})
	}
}
