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
		c.RemoveServer(now, attempt.Server)
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
