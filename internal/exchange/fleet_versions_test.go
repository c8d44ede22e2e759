package exchange

import (
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// versionTable is what the table service of a test fleet stores of the versions of services.
type versionTable struct {
	use            bool            // daemons that start read it
	checkpoint     Checkpoint      // the newest one; only its versions are set
	checkpointLost bool            // the table service refuses checkpoints
	unlisted       map[string]bool // daemons that start do not find the servers of these versions in their first list
}

// readVersions lets a daemon that starts read what the table service stores of the versions.
func (f *testFleet) readVersions(_ *fleetDaemon, core *Core) {
	if f.versions.use {
		core.RestoreVersions(f.now, &f.versions.checkpoint)
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
