package rollout

import "testing"

// The model checks below visit every state that daemons can reach within bounds, with the real
// Split, Permit and MayFollow. A daemon may be killed at any moment. The first check has the row
// of a roll-out and delayed writes, and daemons that hear the leader or not, and find the version
// bad. The second one counts requests.

const (
	modelTTL   = 2 // ticks for which a statement of the leader counts
	modelKills = 2 // daemons killed in all
	modelTicks = 4 // that pass after the leader has learned that the version is bad
)

// modelDaemon is a daemon's knowledge.
type modelDaemon struct {
	stage   Stage
	stopped bool
	heard   int // ticks since the newest statement of the leader; modelTTL: too long ago
}

// modelWorld is a state of the model. Its leader is the daemon with confirmed lease.
type modelWorld struct {
	daemons  [2]modelDaemon
	leader   int
	row      Stage
	writing  Stage // a write of the leader under way; Unknown: none
	expects  Stage // what that write expects in the row
	kills    int
	stopTold int // ticks since the present leader has known that the version is bad; 0: it does not
}

// modelCheck visits states and checks them.
type modelCheck struct {
	t       *testing.T
	seen    map[modelWorld]bool
	queue   []modelWorld
	mutant  func(d *modelDaemon) Permission
	blind   bool // writes are not conditional on the row
	stopped int  // sends to the new version by a daemon that knew it to be bad
	late    int  // sends when the leader had known for longer than the statements count
	undone  int  // rows that left a last stage
}

func (m *modelCheck) visit(w modelWorld) {
	if !m.seen[w] {
		m.seen[w] = true
		m.queue = append(m.queue, w)
	}
}

// run visits all states.
func (m *modelCheck) run() {
	w := modelWorld{}
	for i := range w.daemons {
		w.daemons[i].heard = modelTTL
	}
	m.visit(w)
	for len(m.queue) > 0 {
		w := m.queue[len(m.queue)-1]
		m.queue = m.queue[:len(m.queue)-1]
		m.steps(w)
	}
}

// steps visits all states that follow one.
func (m *modelCheck) steps(w modelWorld) {
	for i := range w.daemons {
		m.request(w, i)
		m.hear(w, i)
		m.kill(w, i)
		m.find(w, i)
		if i != w.leader {
			next := w // the lease passes on
			next.leader, next.stopTold = i, 0
			next.noteStop()
			m.visit(next)
		}
	}
	m.decide(w)
	m.write(w)
	m.tick(w)
}

// request checks the send of a request that a daemon makes now.
func (m *modelCheck) request(w modelWorld, i int) {
	d := &w.daemons[i]
	if p := m.mutant(d); p == CanaryOnly || p == Rising {
		m.checkSend(&w, d)
	}
}

func (m *modelCheck) checkSend(w *modelWorld, d *modelDaemon) {
	if d.stopped || d.stage == RolledBack {
		m.stopped++
	}
	if w.stopTold > modelTTL && !d.stage.Ended() {
		m.late++
	}
}

// hear lets a daemon hear the leader, which states the stage unless it knows that the version is
// bad: then it tells that.
func (m *modelCheck) hear(w modelWorld, i int) {
	leader, d := &w.daemons[w.leader], &w.daemons[i]
	d.stage = max(d.stage, leader.stage)
	d.stopped = d.stopped || leader.stopped
	d.heard = 0
	m.visit(w)
}

// kill restarts a daemon, which knows nothing but the row.
func (m *modelCheck) kill(w modelWorld, i int) {
	if w.kills >= modelKills {
		return
	}
	w.kills++
	w.daemons[i] = modelDaemon{heard: modelTTL, stage: w.row}
	if i == w.leader {
		w.stopTold = 0
		w.noteStop()
	}
	m.visit(w)
}

// find lets a daemon find the version bad. The leader learns it at once or later, by a notice.
func (m *modelCheck) find(w modelWorld, i int) {
	if w.daemons[i].stage != Canary && w.daemons[i].stage != Promoting {
		return
	}
	w.daemons[i].stopped = true
	w.noteStop()
	m.visit(w)
}

// noteStop records that the present leader knows that the version is bad.
func (w *modelWorld) noteStop() {
	if l := &w.daemons[w.leader]; l.stopped || l.stage == RolledBack {
		w.stopTold = max(w.stopTold, 1)
	}
}

// decide lets the leader begin to write the next stage that its knowledge allows.
func (m *modelCheck) decide(w modelWorld) {
	leader := &w.daemons[w.leader]
	for _, next := range []Stage{Canary, Promoting, Completed, RolledBack} {
		if w.writing != Unknown || !leader.stage.MayFollow(next) || leader.stopped != (next == RolledBack) {
			continue
		}
		written := w
		written.writing, written.expects = next, leader.stage
		m.visit(written)
	}
}

// write lets the write under way take effect, with its answer lost or not, whoever leads by then.
func (m *modelCheck) write(w modelWorld) {
	if w.writing == Unknown {
		return
	}
	next, expected := w.writing, w.expects
	w.writing, w.expects = Unknown, Unknown
	if w.row != expected && !m.blind {
		w.daemons[w.leader].stage = max(w.daemons[w.leader].stage, w.row) // the row is read again
		m.visit(w)
		return
	}
	if w.row.Ended() {
		m.undone++
	}
	w.row = next
	m.visit(w) // the answer is lost
	w.daemons[w.leader].stage = max(w.daemons[w.leader].stage, next)
	m.visit(w)
}

// tick lets time pass.
func (m *modelCheck) tick(w modelWorld) {
	for i := range w.daemons {
		w.daemons[i].heard = min(w.daemons[i].heard+1, modelTTL)
	}
	if w.stopTold > 0 {
		w.stopTold = min(w.stopTold+1, modelTicks)
	}
	m.visit(w)
}

func newModelCheck(t *testing.T) *modelCheck {
	return &modelCheck{t: t, seen: map[modelWorld]bool{}, mutant: func(d *modelDaemon) Permission {
		return Permit(d.stage, d.stopped, d.heard < modelTTL)
	}}
}

// In no state that can be reached may the new version get a request of a daemon that knows it to
// be bad, or one when a leader has known that for longer than statements count. A last stage is
// never followed by another one, whichever write is late.
func TestModel_NoStateBreaksTheBounds(t *testing.T) {
	m := newModelCheck(t)
	m.run()
	t.Logf("%d states", len(m.seen))
	if m.stopped+m.late+m.undone > 0 {
		t.Errorf("%d sends after a stop, %d late ones, %d last stages undone", m.stopped, m.late, m.undone)
	}
}

// The check must see what it looks for: each mechanism taken out breaks a bound.
func TestModel_SeesMissingMechanisms(t *testing.T) {
	cases := map[string]func(d *modelDaemon) Permission{
		"does not stop":  func(d *modelDaemon) Permission { return Permit(d.stage, false, d.heard < modelTTL) },
		"needs not hear": func(d *modelDaemon) Permission { return Permit(d.stage, d.stopped, true) },
	}
	cases["writes without condition"] = nil
	for name, mutant := range cases {
		m := newModelCheck(t)
		if m.blind = mutant == nil; !m.blind {
			m.mutant = mutant
		}
		m.run()
		if m.stopped+m.late+m.undone == 0 {
			t.Errorf("%s: no bound is broken in %d states", name, len(m.seen))
		}
	}
}

// canaryWorld is a state of the second check.
type canaryWorld struct {
	splits          [3]Split
	reached, sends  int // over all lives of the daemons
	kills, unstable int // daemons killed, and requests that were sent and did not reach the service
}

// In no state may the canary's sends, over all lives of three daemons, be more than its share of
// the requests that have reached the service, however these are spread.
func TestModel_CanaryShareHoldsOverAllLives(t *testing.T) {
	const share, requests, kills, lost = 0.25, 13, 2, 2
	seen := map[canaryWorld]bool{}
	queue := []canaryWorld{{}}
	sends := 0
	visit := func(w canaryWorld) {
		if !seen[w] {
			seen[w] = true
			queue = append(queue, w)
		}
	}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		sends = max(sends, w.sends)
		if float64(w.sends) > share*float64(w.reached) {
			t.Fatalf("%d canaries of %d requests: %+v", w.sends, w.reached, w)
		}
		for i := range w.splits {
			if w.kills < kills {
				next := w
				next.kills++
				next.splits[i] = Split{}
				visit(next)
			}
			if w.reached >= requests {
				continue
			}
			next := w
			if next.splits[i].MaySend(share) {
				next.splits[i].CountSend()
				next.sends++
			}
			if w.unstable < lost {
				unanswered := next
				unanswered.unstable++
				visit(unanswered)
			}
			next.reached++
			next.splits[i].CountReached(share)
			visit(next)
		}
	}
	t.Logf("%d states, up to %d canaries", len(seen), sends)
	if sends < 2 {
		t.Error("no canary was sent: the check sees nothing")
	}
}
