package daemon

import (
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// finalVerdict reads the replies up to the failure and returns its verdict.
func finalVerdict(t *testing.T, m *mailbox) verdict.Verdict {
	t.Helper()
	for {
		reply, ok := m.removeFirst()
		if !ok {
			t.Fatal("no final reply")
		}
		if reply.Failed != nil {
			return verdict.Of(reply.Failed)
		}
	}
}

// TestMailboxes_StopAnswersEveryCaller: only a request that the core has not got is said
// not to have run.
func TestMailboxes_StopAnswersEveryCaller(t *testing.T) {
	c := newMailboxes(func(core.CallerID) {})
	untaken, taken, fetched := c.openMailbox(verdict.NotRun), c.openMailbox(verdict.NotRun), c.openMailbox(verdict.MayHaveRun)
	c.deliver(core.Reply{Caller: taken.id, Accepted: &core.Accepted{Request: "r"}})
	c.stop()
	late := c.openMailbox(verdict.NotRun)
	for name, want := range map[string]struct {
		mailbox *mailbox
		verdict verdict.Verdict
	}{
		"not taken": {untaken, verdict.NotRun}, "accepted": {taken, verdict.MayHaveRun},
		"fetch": {fetched, verdict.MayHaveRun}, "after the stop": {late, verdict.NotRun},
	} {
		if got := finalVerdict(t, want.mailbox); got != want.verdict {
			t.Errorf("%s: verdict %v, want %v", name, got, want.verdict)
		}
	}
}
