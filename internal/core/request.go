package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// stage says what a request waits for.
type stage uint8

const (
	stageJournal stage = iota + 1 // the journal's word on its key
	stageQueued                   // a grant
	stageBackoff                  // the time of its next try
	stageClaim                    // the journal's record of its dispatch
	stageRunning                  // the backend server
	stageCommit                   // the journal's record of its answer
	stageJoined                   // another request with the same key
	stageRelayed                  // the daemon that owns its key's shard
	stageStandby                  // the daemon that has offered it
	stageDone                     // nothing; its outcome is kept for callers
)

// request is the row of one accepted request.
type request struct {
	id         entity.RequestID
	work       Work
	deadline   time.Time
	acceptedAt time.Time
	stage      stage

	// last is the number of the newest attempt, granted or not.
	last entity.AttemptNumber
	// sends counts the attempts of this daemon.
	sends int
	// current is the attempt whose tokens are taken; 0: none.
	current entity.AttemptNumber
	// pending is the attempt that waits for a grant or a claim; 0: none.
	pending entity.AttemptNumber
	// pendingBackend is set once pending has its grant.
	pendingBackend *entity.BackendServer
	// mayHaveRun: some attempt was dispatched without proof that it did not run.
	mayHaveRun bool
	// begun: the journal knows the request and has not concluded it.
	begun bool
	// exclude lists the backend servers that the next attempt avoids.
	exclude []entity.BackendServerID
	// hedged: another backend server was asked for because the attempt had no
	// token in time.
	hedged bool
	// handle names the newest exported KV cache of the run.
	handle string
	// checkpointAt is the number of tokens at which the next export is due.
	checkpointAt int
	// stream is the request whose run is resumed, if it is another one with the
	// same key.
	stream entity.RequestID
	// progress is a run that another daemon has started; consumed at the start.
	progress *Progress

	// tokens holds the output so far. Only the attempt current appends to it,
	// and only an attempt that continues it exactly becomes current.
	tokens []string
	answer *Answer
	err    error
	doneAt time.Time

	// joined lists the requests with the same key that follow this one.
	joined    []entity.RequestID
	followers []follower
	// dirty: followers may have something to be told.
	dirty bool

	relay relayState // stageRelayed
	offer offerState
	from  entity.InstanceID // stageStandby: who has offered it
	// wakeAt is the time of the request's next timer.
	wakeAt time.Time
}

// follower is one receiver of a request's outcome: a caller of this daemon or
// another daemon.
type follower struct {
	caller CallerID
	peer   entity.InstanceID
	round  uint32 // of the peer's relay
	stream bool
	sent   int // tokens delivered
	// seen holds tokens that the receiver got from an earlier run. What is
	// delivered has to begin with them.
	seen []string
	// sum is the checksum of the tokens delivered. With unchecked, it is what
	// the receiver says, and has to be compared before anything is delivered.
	sum       uint32
	unchecked bool
}

// attempt is the row of one send to a backend server.
type attempt struct {
	backend    entity.BackendServer
	granted    bool // a grant is held and has to be released
	resumed    bool // reads a stream that ran before
	ranBefore  bool // the request may have run before this attempt
	started    time.Time
	lastToken  time.Time // or the start, before the first
	firstToken time.Time
	tokens     int       // received in this attempt
	brokenAt   time.Time // when the connection of a resumed stream broke
	exporting  bool      // its KV cache is being exported
}

// attemptKey names an attempt.
type attemptKey struct {
	request entity.RequestID
	number  entity.AttemptNumber
}

// finished reports whether the request has its final outcome.
func (r *request) finished() bool { return r.stage == stageDone }

// keyed reports whether the journal decides about the request.
func (r *request) keyed() bool { return r.work.Key != "" }

// needsClaim reports whether the journal has to record a dispatch before it.
func (r *request) needsClaim() bool {
	return r.keyed() && (r.work.Stream || !r.work.Repeatable)
}

// verdict returns what is known of the request's execution.
func (r *request) verdict() verdict.Verdict {
	if r.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// nextAttempt numbers a new attempt.
func (r *request) nextAttempt() entity.AttemptNumber {
	r.last++
	r.sends++
	return r.last
}

// addFollower adds a receiver. A peer replaces its earlier self.
func (r *request) addFollower(f follower) {
	for i := range r.followers {
		if f.peer != "" && r.followers[i].peer == f.peer {
			r.followers[i] = f
			return
		}
	}
	r.followers = append(r.followers, f)
}

// removeCaller removes a caller and reports whether it was there.
func (r *request) removeCaller(id CallerID) bool {
	return r.removeFollower(func(f *follower) bool { return f.peer == "" && f.caller == id })
}

// removePeer removes a daemon and reports whether it was there.
func (r *request) removePeer(id entity.InstanceID) bool {
	return r.removeFollower(func(f *follower) bool { return f.peer == id })
}

// removeFollower removes the first follower that matches.
func (r *request) removeFollower(matches func(*follower) bool) bool {
	for i := range r.followers {
		if matches(&r.followers[i]) {
			r.followers = append(r.followers[:i], r.followers[i+1:]...)
			return true
		}
	}
	return false
}
