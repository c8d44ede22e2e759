package daemon

import (
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// Notice takes the announced reclaim of this daemon's instance.
func (d *Daemon) Notice(n provider.Notice) { d.Inbox.Post(core.ReclaimNotice{Notice: n}) }

// Drain starts a planned stop.
func (d *Daemon) Drain() { d.Inbox.Post(core.Drain{}) }

// BackendLeaving takes word that a backend server leaves, or no longer does.
func (d *Daemon) BackendLeaving(b core.BackendLeaving) { d.Inbox.Post(b) }
