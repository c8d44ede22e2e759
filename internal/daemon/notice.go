package daemon

import (
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// HandleReclaimNotice passes the announced reclaim of this daemon's instance to
// the core.
func (d *Daemon) HandleReclaimNotice(n provider.ReclaimNotice) {
	d.Inbox.Post(core.ReclaimNotice{Notice: n})
}

// Drain starts a graceful stop.
func (d *Daemon) Drain() { d.Inbox.Post(core.Drain{}) }

// BackendDraining notifies the core that a backend server drains, or no longer
// does.
func (d *Daemon) BackendDraining(b core.BackendDraining) { d.Inbox.Post(b) }
