package quarantine

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// TestRegistry_DeathThatIsToldAgainHastensNoTrial: a daemon tells the deaths of some content
// again. Fails if the last death is then taken for as old as the one told last.
func TestRegistry_DeathThatIsToldAgainHastensNoTrial(t *testing.T) {
	r := New(Config{})
	content := entity.Digest{1}
	at := func(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }
	deaths := []Death{{Digest: content, Backend: "a"}, {Digest: content, Backend: "b"}, {Digest: content, Backend: "c"}}
	for i, d := range deaths {
		r.RecordDeath(at(10*i), d)
	}
	due := r.NextTrial(content)
	r.RecordDeath(at(0), deaths[0])
	if got := r.NextTrial(content); got.Before(due) {
		t.Errorf("the next trial is due %v earlier than before", due.Sub(got))
	}
}
