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
}

// TestStreamVersion_AllRestartWhileAVersionLeaves: daemons that have just started know one
// version of a service, and streams of another one are taken up.
func TestStreamVersion_AllRestartWhileAVersionLeaves(t *testing.T) {
	for _, daemons := range []int{3, 9, 89} {
		for _, fault := range versionRestarts {
			t.Run(fmt.Sprint(fault.name, "/daemons=", daemons), func(t *testing.T) {
				t.Parallel()
				r := newVersionRun(t, uint64(daemons), daemons, "v1")
				r.run(4 * time.Second)
				for range 4 {
					fault.strike(r)
					r.run(4 * time.Second)
				}
				r.check()
			})
		}
	}
}
