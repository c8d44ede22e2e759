package exchange

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// deathsUnderPart lets a run of a prompt end some time after its answer has begun, lets its
// server be found dead, and returns the deaths recorded under the prompt's first part and under the
// whole request.
func deathsUnderPart(t *testing.T, written time.Duration, o Outcome) (part, whole int) {
	t.Helper()
	c := newTestCore(t, "a")
	req := testRequest("r", "/talk/x", "k3")
	req.Content = entity.Digest{0xff}
	req.Work = Work{Stated: true, Prompt: 20, MaxOutput: 10, Parts: []placement.Part{{ID: commonPart, Tokens: 5}, {ID: firstSession, Tokens: 5}}}
	ticket := mustAdmit(t, c, zero, req)
	mustPlace(t, c, zero, ticket)
	c.Started(at(100*time.Millisecond), ticket)
	process := ticket.process
	end := at(100*time.Millisecond + written)
	c.Ended(end, ticket, o)
	c.Finish(end, ticket)
	c.recordDeath(end.Add(time.Second), end.Add(time.Second), process, proofRefused)
	now := end.Add(2 * time.Second)
	return c.crash.registry.Deaths(now, partDigest(commonPart)), c.crash.registry.Deaths(now, req.Content)
}

// TestCrashPart_AnswerWrittenForLongBreaksOff: a part crashes its server when the answer begins.
func TestCrashPart_AnswerWrittenForLongBreaksOff(t *testing.T) {
	for _, c := range []struct {
		written time.Duration
		want    int
	}{{10 * time.Millisecond, 1}, {400 * time.Millisecond, 1}, {2 * time.Second, 0}} {
		part, whole := deathsUnderPart(t, c.written, Broken)
		if part != c.want || whole != 1 {
			t.Errorf("written for %v: %d deaths under the part, want %d; %d under the whole request, want 1", c.written, part, c.want, whole)
		}
	}
}

// TestCrashPart_CallerLeavesAnAnswerWrittenForLong: the same, but the caller has left shortly
// before the server dies.
func TestCrashPart_CallerLeavesAnAnswerWrittenForLong(t *testing.T) {
	if part, whole := deathsUnderPart(t, 2*time.Second, Abandoned); part != 0 || whole != 1 {
		t.Errorf("%d deaths under the part, want 0; %d under the whole request, want 1", part, whole)
	}
}
