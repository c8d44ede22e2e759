package exchange

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// another part explains the deaths.
func TestCrashPart_SoundRequestThatReachedNoServerIsSentElsewhere(t *testing.T) {
	c := newTestCore(t, "a")
	send := func(now time.Time, shared ...uint64) (*Ticket, Attempt) {
		c.Confirm(now)
		req := testRequest("r", "/talk/x", "k3")
		req.Content = entity.Digest{1, byte(now.UnixMilli()), byte(now.UnixMilli() >> 8), byte(len(shared))}
		req.Work = Work{Stated: true, Prompt: 20, MaxOutput: 10}
		for _, id := range append(shared, firstSession) {
			req.Work.Parts = append(req.Work.Parts, placement.Part{ID: id, Tokens: 5})
		}
		ticket := mustAdmit(t, c, now, req)
		return ticket, mustPlace(t, c, now, ticket)
	}
	for i := range refusalDeathCount {
		now := at(time.Duration(i) * time.Second)
		ticket, attempt := send(now, commonPart, crashingPart)
		c.Ended(now, ticket, Broken)
		c.Finish(now, ticket)
		endProbes(c, now, Refused)
		c.RemoveServer(now, attempt.Server, 0)
		c.PutServer(now, BackendServer{
			ID: attempt.Server + "-next", Born: 1, Service: "engine", Address: attempt.Address, DataCentre: "a", Slots: 8, State: Ready,
		})
	}
	now := at(refusalDeathCount * time.Second)
	ticket, _ := send(now, commonPart, firstPopular)
	if refusal := c.Ended(now, ticket, NotListening); refusal != nil {
		t.Errorf("a sound request that has not run is refused: %+v", *refusal)
	}
}

// TestCrash_RepeatThatEndsAnotherServerCountsAtAllDaemons: a repeated request ends a second server
// at once, and the news of the first death take longer than those of the second one.
func TestCrash_RepeatThatEndsAnotherServerCountsAtAllDaemons(t *testing.T) {
	sender, receiver := newTestCore(t, "a"), newTestCore(t, "b")
	sender.Confirm(zero)
	req := testRequest("r", "/get/x", "k3")
	req.Content = crashingContent
	ticket := mustAdmit(t, sender, zero, req)
	tell := func(sent time.Time, transit time.Duration) {
		notice := sender.NextNotice(sent)
		receiver.ReceiveNotice(sent.Add(transit), "a", &notice)
	}
	runUntilBroken := func(from, until time.Duration) {
		mustPlace(t, sender, at(from), ticket)
		sender.Ended(at(until), ticket, Broken)
		endProbes(sender, at(until), Refused)
	}
	runUntilBroken(0, time.Millisecond)
	tell(at(time.Millisecond), 1500*time.Microsecond)
	runUntilBroken(1100*time.Microsecond, 3*time.Millisecond)
	now := at(900 * time.Millisecond)
	sender.pathProved(now, ticket.Service, now)
	tell(now, 100*time.Microsecond)
	for name, c := range map[string]*Core{"the daemon that repeated it": sender, "the other one": receiver} {
		if n := c.crash.registry.Deaths(now, crashingContent); n != 2 {
			t.Errorf("%s counts %d deaths, want 2", name, n)
		}
	}
}
