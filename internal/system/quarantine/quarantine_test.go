package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var start = time.UnixMicro(1_700_000_000_000_000)

func digest(i int) entity.Digest { return entity.Digest{byte(i), byte(i >> 8), byte(i >> 16)} }

func deathOf(d int, server string, isolated bool) Death {
	return Death{Digest: digest(d), Backend: entity.BackendServerID(server), DataCentre: "a", Isolated: isolated}
}

func mustHaveStatus(t *testing.T, r *Registry, at time.Time, d int, want Status) {
	t.Helper()
	if got := r.Check(at, digest(d)); got != want {
		t.Fatalf("status of content %d is %d, want %d", d, got, want)
	}
}

func TestRegistry_SingleDeathInIsolationQuarantines(t *testing.T) {
	r := New(Config{})
	r.RecordDeath(start, deathOf(1, "s1", false))
	r.RecordDeath(start, deathOf(2, "s1", false))
	mustHaveStatus(t, r, start, 1, Watched)
	r.Clear(digest(2))
	mustHaveStatus(t, r, start, 2, Clean)
	at := start.Add(10 * time.Second)
	r.RecordDeath(at, deathOf(1, "s2", false))
	mustHaveStatus(t, r, at, 1, Suspect)
	at = at.Add(10 * time.Second)
	r.RecordDeath(at, deathOf(1, "s3", true))
	mustHaveStatus(t, r, at, 1, VerdictPending)
	at = r.Deadline()
	if got := r.Tick(at); len(got) != 1 || got[0].Digest != digest(1) {
		t.Fatalf("quarantine entries %v", got)
	}
	mustHaveStatus(t, r, at, 1, Quarantined)
	mustHaveStatus(t, r, at.Add(defaultEntryTTL), 1, Clean)
}

func TestRegistry_LossOfADataCentreMakesNothingSuspect(t *testing.T) {
	r := New(Config{})
	r.RecordDeath(start, deathOf(100, "s100", true)) // ran in isolation when the data centre was lost
	for i := range 10 {
		r.RecordDeath(start.Add(time.Duration(i)*time.Millisecond), deathOf(i, fmt.Sprintf("s%d", i), false))
	}
	at := start.Add(time.Second)
	for i := range 10 {
		mustHaveStatus(t, r, at, i, Clean)
	}
	r.RecordDeath(at, deathOf(3, "s11", false)) // was running on two of the dead servers
	mustHaveStatus(t, r, at, 3, Suspect)
	if got := r.Tick(start.Add(time.Minute)); len(got) != 0 {
		t.Fatalf("quarantined %v", got)
	}
}

func TestRegistry_FailureOfADeadServerProvesNothing(t *testing.T) {
	r := New(Config{})
	r.RecordDeath(start, deathOf(1, "s1", false))
	at := start.Add(20 * time.Second)
	r.RecordDeath(at, deathOf(2, "s1", true))
	if got := r.Tick(at.Add(time.Minute)); len(got) != 0 {
		t.Fatalf("quarantined %v", got)
	}
}

func TestRegistry_OldEntryDoesNotRenewAQuarantine(t *testing.T) {
	r := New(Config{})
	e := Entry{Digest: digest(1), Version: start.UnixMicro()}
	r.Quarantine(start, e)
	afterExpiry := start.Add(defaultEntryTTL + time.Minute)
	r.Quarantine(afterExpiry, e)
	r.Quarantine(afterExpiry, Entry{Digest: digest(1)})
	mustHaveStatus(t, r, afterExpiry, 1, Clean)
	r.Quarantine(afterExpiry, Entry{Digest: digest(1), Version: afterExpiry.UnixMicro()})
	mustHaveStatus(t, r, afterExpiry, 1, Quarantined)
}

func TestRegistry_MemoryIsBounded(t *testing.T) {
	r := New(Config{MaxSuspects: 10, MaxEntries: 10, MaxDeaths: 10})
	for i := range 1000 {
		at := start.Add(time.Duration(i) * time.Second)
		r.RecordDeath(at, deathOf(i, fmt.Sprintf("s%d", i), false))
		r.Quarantine(at, Entry{Digest: digest(1 << 16 / 2 * (i % 2 * i)), Version: at.UnixMicro()})
	}
	if r.suspects.Len() > 10 || r.entries.Len() > 10 || len(r.deaths) > 10 {
		t.Fatalf("%d suspects, %d quarantine entries, %d deaths", r.suspects.Len(), r.entries.Len(), len(r.deaths))
	}
}

func TestRegistry_ClearedContentMayBecomeSuspectAgain(t *testing.T) {
	r := New(Config{})
	r.RecordDeath(start, deathOf(1, "s1", false))
	r.Clear(digest(1))
	r.RecordDeath(start, deathOf(1, "s1", false)) // reported late by another daemon
	if n := r.Deaths(start, digest(1)); n != 0 {
		t.Fatalf("%d deaths of cleared content after a late report, want 0", n)
	}
	if list := r.ListCleared(10); len(list) != 1 || list[0] != digest(1) {
		t.Fatalf("cleared contents %v", list)
	}
	r.RecordDeath(start.Add(time.Minute), deathOf(1, "s2", false))
	if n := r.Deaths(start.Add(time.Minute), digest(1)); n != 1 {
		t.Fatalf("%d deaths of content that has crashed a server since it was cleared, want 1", n)
	}
	if list := r.ListCleared(10); len(list) != 0 {
		t.Fatalf("content that has crashed a server since is listed as cleared: %v", list)
	}
}

func TestRegistry_DeathAfterADisprovedOneCounts(t *testing.T) {
	r := New(Config{})
	r.RecordDeath(start, deathOf(1, "s1", false))
	r.Clear(digest(1))
	r.RemoveDeaths("s1", 0) // it answers
	at := start.Add(10 * time.Second)
	r.RecordDeath(at, deathOf(1, "s1", false))
	if n := r.Deaths(at, digest(1)); n != 1 {
		t.Fatalf("%d deaths of content that has crashed a server that counted as dead before, want 1", n)
	}
}

// recordDeaths records the death of each server under some content, seconds apart.
func recordDeaths(r *Registry, d entity.Digest, servers ...entity.BackendServerID) {
	for i, server := range servers {
		at := time.Unix(int64(10*i), 0)
		r.RecordDeath(at, Death{Digest: d, Backend: server})
	}
}

// TestRegistry_ExplainedByContentWithAllDeaths: only content that is not among the held one,
// has not completed and ran on every process that died is an explanation.
func TestRegistry_ExplainedByContentWithAllDeaths(t *testing.T) {
	now := time.Unix(60, 0)
	suspect, other := entity.Digest{1}, entity.Digest{2}
	for _, c := range []struct {
		name   string
		deaths []entity.BackendServerID // under the other content
		held   []entity.Digest
		clear  bool
		want   bool
	}{
		{"all deaths", []entity.BackendServerID{"a", "b", "c"}, []entity.Digest{suspect}, false, true},
		{"more deaths", []entity.BackendServerID{"a", "x", "b", "c"}, []entity.Digest{suspect}, false, true},
		{"one missing", []entity.BackendServerID{"a", "b"}, []entity.Digest{suspect}, false, false},
		{"another one instead", []entity.BackendServerID{"a", "b", "x"}, []entity.Digest{suspect}, false, false},
		{"held as well", []entity.BackendServerID{"a", "b", "c"}, []entity.Digest{suspect, other}, false, false},
		{"has completed", []entity.BackendServerID{"a", "b", "c"}, []entity.Digest{suspect}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(Config{})
			recordDeaths(r, suspect, "a", "b", "c")
			recordDeaths(r, other, c.deaths...)
			if c.clear {
				r.Clear(other)
			}
			if got := r.Explained(now, suspect, c.held); got != c.want {
				t.Errorf("explained %v, want %v", got, c.want)
			}
		})
	}
}

// TestRegistry_ClearedTwiceKeepsNoOldDeath: content has completed after each of two deaths,
// and both are reported again.
func TestRegistry_ClearedTwiceKeepsNoOldDeath(t *testing.T) {
	r := New(Config{})
	d := entity.Digest{1}
	for _, server := range []entity.BackendServerID{"a", "b"} {
		recordDeaths(r, d, server)
		r.Clear(d)
	}
	recordDeaths(r, d, "a", "b")
	if n := r.Deaths(time.Unix(20, 0), d); n != 0 {
		t.Errorf("%d deaths held against content that has completed since", n)
	}
}

// TestRegistry_ListsDeathsOfTheMostSuspectFirst: of more contents than can be told, those
// with most deaths are.
func TestRegistry_ListsDeathsOfTheMostSuspectFirst(t *testing.T) {
	r := New(Config{})
	for i := range 10 {
		recordDeaths(r, entity.Digest{byte(i)}, "a", "b")
	}
	recordDeaths(r, entity.Digest{0xff}, "a", "b", "c")
	list := r.ListDeaths(time.Unix(30, 0), 2, 3)
	if len(list) != 7 || list[0].Digest != (entity.Digest{0xff}) {
		t.Errorf("%d deaths, the first under %v", len(list), list[0].Digest)
	}
}

// TestRegistry_ListsTheNewestCompletionsFirst: of more cleared contents than can be told,
// those with the newest deaths are.
func TestRegistry_ListsTheNewestCompletionsFirst(t *testing.T) {
	r := New(Config{})
	for i := range 10 {
		d := entity.Digest{byte(i)}
		r.RecordDeath(time.Unix(int64(i), 0), Death{Digest: d, Backend: "a"})
		r.Clear(d)
	}
	if list := r.ListCleared(2); len(list) != 2 || list[0] != (entity.Digest{9}) || list[1] != (entity.Digest{8}) {
		t.Errorf("listed %v", list)
	}
}

// TestRegistry_NextTrialWaitsLongerAfterEachRound: trials that daemons began before they heard
// of each other's are one round, and those with an explanation are none.
func TestRegistry_NextTrialWaitsLongerAfterEachRound(t *testing.T) {
	r := New(Config{})
	d := entity.Digest{1}
	recordDeaths(r, d, "a", "b", "c") // the last one 20 s after the epoch
	at := func(seconds float64) time.Time { return time.Unix(0, int64(seconds*float64(time.Second))) }
	for _, step := range []struct {
		trial Trial
		want  time.Duration // until the next trial, since the trial
	}{
		{Trial{At: at(21), Explained: true}, firstTrialDelay},
		{Trial{At: at(30)}, trialDelayFactor * firstTrialDelay},
		{Trial{At: at(30.01)}, trialDelayFactor*firstTrialDelay - 10*time.Millisecond}, // the same one
		{Trial{At: at(32)}, trialDelayFactor * firstTrialDelay},
		{Trial{At: at(60)}, trialDelayFactor * trialDelayFactor * firstTrialDelay},
	} {
		r.RecordTrial(d, step.trial)
		if got := r.NextTrial(d).Sub(step.trial.At); got != step.want {
			t.Errorf("after the trial at %v: next one in %v, want %v", step.trial.At.Unix(), got, step.want)
		}
	}
	if n := r.OpenTrials(at(61), d); n != 1 {
		t.Errorf("%d open trials, want 1", n)
	}
	r.RemoveTrial(d, Trial{At: at(60)})
	if got, want := r.NextTrial(d), at(32).Add(trialDelayFactor*firstTrialDelay); !got.Equal(want) {
		t.Errorf("next trial at %v after the last one was removed, want %v", got, want)
	}
}

// TestRegistry_ManyDeathsAreNotExplained: content under which many servers have died is
// refused, whatever else ran on them.
func TestRegistry_ManyDeathsAreNotExplained(t *testing.T) {
	r := New(Config{})
	suspect, other := entity.Digest{1}, entity.Digest{2}
	for i := range maxExplainedDeaths + 1 {
		for _, d := range []entity.Digest{suspect, other} {
			r.RecordDeath(time.Unix(int64(i), 0), Death{Digest: d, Backend: entity.BackendServerID(rune('a' + i))})
		}
		if got, want := r.Explained(time.Unix(int64(i), 0), suspect, nil), i < maxExplainedDeaths; got != want {
			t.Errorf("explained %v with %d deaths, want %v", got, i+1, want)
		}
	}
}
