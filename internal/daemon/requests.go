package daemon

import (
	"time"

	"github.com/google/uuid"

	"github.com/gooseberryslip/gooseberryslip/internal/callerapi"
	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// Submit passes a new request to the core and returns its replies.
func (d *Daemon) Submit(w core.Work, timeout time.Duration) callerapi.Replies {
	m := d.mailboxes.openMailbox(verdict.NotRun)
	id := core.NewRequestID(uuid.NewString(), d.Core.Self.ID)
	d.Inbox.Post(core.Submit{Caller: m.id, Request: id, Work: w, Timeout: timeout})
	return m
}

// Fetch attaches a caller to a request that was accepted earlier and returns its
// replies.
func (d *Daemon) Fetch(f core.Fetch) callerapi.Replies {
	m := d.mailboxes.openMailbox(verdict.MayHaveRun)
	f.Caller = m.id
	d.Inbox.Post(f)
	return m
}

// Cancel cancels a request of an organisation and returns the replies to the
// cancellation.
func (d *Daemon) Cancel(id entity.RequestID, org entity.OrganisationID) callerapi.Replies {
	m := d.mailboxes.openMailbox(verdict.MayHaveRun)
	d.Inbox.Post(core.Cancel{Caller: m.id, Request: id, Organisation: org})
	return m
}
