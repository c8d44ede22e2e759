package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// A state must come back from its row as it was written, and a row that is none must not pass for
// a state.
func TestState_EncodingRoundTrip(t *testing.T) {
	s := State{
		Service: "s", Order: 1 << 60, To: "v2", Stage: Promoting, Duration: 12 * time.Second,
		OrderedAt: 1_700_000_000 * time.Second, Sequence: 3, From: []string{"v1"},
	}
	row, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeState(row)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(s) {
		t.Errorf("state is %+v, %v after the round trip, want %+v", got, err, s)
	}
	for _, row := range []string{"", "{}", `{"service":"s","order":1,"stage":"none"}`, `{"service":"s","stage":"canary"}`, `[1]`} {
		if s, err := DecodeState([]byte(row)); err == nil {
			t.Errorf("row %q is read as %+v", row, s)
		}
	}
}

// Stages may only go forward, and nothing follows the last ones.
func TestStage_OnlyForward(t *testing.T) {
	for from := Unknown; from <= RolledBack; from++ {
		for to := Unknown; to <= RolledBack; to++ {
			if from.MayFollow(to) && (to <= from || from.Ended()) {
				t.Errorf("%s may follow %s", to, from)
			}
		}
	}
}

// Whatever the leader knows, the next stage must be one that may follow, and no version may be
// completed that was found bad or is in doubt, has too few servers, or after the deadline.
func TestNext_DecidesOnlyWhatIsAllowed(t *testing.T) {
	s := State{Duration: 12 * time.Second, OrderedAt: 100 * time.Second}
	schedule := ScheduleOf(&s, time.Second, 100*time.Millisecond)
	for now := s.OrderedAt; now < s.Deadline()+2*time.Second; now += 100 * time.Millisecond {
		for bits := range 1 << 6 {
			for _, ready := range []int{0, 7, 8, 10} {
				v := View{
					Now: now, OldReady: 10, NewReady: ready, Schedule: schedule,
					Bad: bits&1 > 0, Sampled: bits&2 > 0, Drained: bits&4 > 0, ServesAlone: bits&8 > 0,
					Doubtful: bits&16 > 0, Observed: bits&32 > 0,
				}
				for stage := Unknown; stage <= RolledBack; stage++ {
					s.Stage = stage
					checkNext(t, &s, &v)
				}
			}
		}
	}
}

func checkNext(t *testing.T, s *State, v *View) {
	t.Helper()
	next, reason := s.Next(v)
	if next != s.Stage && (!s.Stage.MayFollow(next) || reason == "") {
		t.Fatalf("%s follows %s for the reason %q", next, s.Stage, reason)
	}
	if s.Stage == Unknown || next == s.Stage {
		return
	}
	forward := next == Promoting || next == Completed
	if forward && (v.Bad || v.Doubtful || !v.EnoughReady() || v.Now >= s.Deadline()) {
		t.Fatalf("%s follows %s at %+v", next, s.Stage, *v)
	}
	if v.Bad && next != RolledBack {
		t.Fatalf("%s follows %s although the version is bad", next, s.Stage)
	}
}

// A roll-out must leave time for its canary, for draining and for the last write, whatever its
// duration and the size of the fleet.
func TestScheduleOf_LeavesTimeForEach(t *testing.T) {
	for _, duration := range []time.Duration{3 * time.Second, 12 * time.Second, time.Minute, time.Hour} {
		for _, run := range []time.Duration{0, 2 * time.Second, time.Hour} {
			for _, interval := range []time.Duration{0, 900 * time.Millisecond, 4 * time.Second} {
				s := State{Duration: duration, OrderedAt: time.Hour}
				p := ScheduleOf(&s, run, interval)
				if p.Promote < s.OrderedAt+duration/4 || p.LatestPromote < p.Promote || p.FinalDecision < p.LatestPromote+p.Ramp+duration/10 ||
					p.LatestCompletion <= p.FinalDecision || p.LatestCompletion >= s.Deadline() {
					t.Errorf("duration %v, longest run %v, interval %v: %+v", duration, run, interval, p)
				}
			}
		}
	}
}

// The share of the new version must rise without a jump from the canary to all.
func TestRampShare_RisesToAll(t *testing.T) {
	p := Schedule{Ramp: time.Second}
	last := 0.0
	for since := time.Duration(0); since <= time.Second; since += 10 * time.Millisecond {
		share := p.RampShare(since)
		if share < last || share > last+0.35 {
			t.Fatalf("the share goes from %.2f to %.2f", last, share)
		}
		last = share
	}
	if last != 1 {
		t.Errorf("the share is %.2f at the end of the ramp", last)
	}
}

// All daemons must choose the same few servers for the canary, whatever the order in which they
// know them, and the share of requests must be drawn evenly.
func TestSplit_ChoosesAlike(t *testing.T) {
	var servers, reversed []entity.BackendServerID
	for i := range 30 {
		servers = append(servers, entity.BackendServerID(fmt.Sprint("s", i)))
		reversed = append(reversed, entity.BackendServerID(fmt.Sprint("s", 29-i)))
	}
	a, b := CanaryServers(servers, 7, 0.08), CanaryServers(reversed, 7, 0.08)
	if len(a) != 3 || fmt.Sprint(a) != fmt.Sprint(b) {
		t.Errorf("canary servers %v and %v, want the same 3", a, b)
	}
	drawn := 0
	for i := range 10_000 {
		id := entity.RequestID(fmt.Sprint("r", i))
		if DrawsNew(id, 7, 0.4) {
			drawn++
			if !DrawsNew(id, 7, 0.7) {
				t.Fatalf("request %s is not drawn with a higher share", id)
			}
		}
	}
	if drawn < 3800 || drawn > 4200 {
		t.Errorf("%d of 10000 requests drawn with a share of 0.4", drawn)
	}
}

// A report that arrives again or late must not count twice, nor take anything away.
func TestSamples_SinceCountsOnce(t *testing.T) {
	var s, earlier Samples
	s.Answers, s.Failures = 5, 1
	s.First.Record(300*time.Millisecond, 100*time.Millisecond)
	earlier.Answers = 3
	if d := s.Since(earlier); d.Answers != 2 || d.Failures != 1 || d.First.Slow != 1 {
		t.Errorf("news of a later report: %+v", d)
	}
	if d := earlier.Since(s); d != (Samples{}) {
		t.Errorf("news of an earlier report: %+v", d)
	}
}
