package core

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// stage is what a request waits for.
type stage uint8

const (
	stageJournal stage = iota + 1 // the journal's decision about its key
	stageQueued                   // a grant
	stageBackoff                  // the time of its next attempt or routing
	stageClaim                    // the journal's record of its dispatch
	stageRunning                  // the backend server's reply
	stageCommit                   // the journal's record of its answer
	stageJoined                   // another request with the same key
	stageRelayed                  // the daemon that owns the shard of its key
	stageStandby                  // the daemon that has offered it, to commit the offer or to fail
	stageDone                     // nothing; the outcome is kept for callers
)

// request is the row of one accepted request.
type request struct {
	id         entity.RequestID
	work       Work
	deadline   time.Time
	acceptedAt time.Time
	stage      stage

	// lastAttempt is the highest attempt number used, whether granted or not.
	lastAttempt entity.AttemptNumber
	// attemptCount is the number of attempts that this daemon has started, whether
	// granted or not.
	attemptCount int
	// currentAttempt is the attempt whose tokens are accepted; 0: none.
	currentAttempt entity.AttemptNumber
	// pendingAttempt is the attempt that waits for a grant or a claim; 0: none.
	pendingAttempt entity.AttemptNumber
	// pendingBackend is set once the pending attempt has its grant.
	pendingBackend *entity.BackendServer
	// mayHaveRun: an attempt was dispatched and there is no proof that it did
	// not run.
	mayHaveRun bool
	// inJournal: the journal has the request and has not concluded it.
	inJournal bool
	// excludedServers lists the backend servers that the next attempt avoids.
	excludedServers []entity.BackendServerID
	// hedged: another backend server was requested because the attempt had no
	// token in time.
	hedged bool
	// kvHandle names the latest exported KV cache of the run.
	kvHandle string
	// nextCheckpointTokens is the number of output tokens at which the next
	// export is due.
	nextCheckpointTokens int
	// streamRequest is the request under which the resumed run was started, if
	// it is another one with the same key.
	streamRequest entity.RequestID
	// progress is the state of a run that was started before the request was
	// routed here or suspended; it is cleared when the request starts.
	progress *Progress

	// tokens is the output so far. Only the current attempt appends to it, and
	// an attempt becomes current only if it continues the output exactly.
	tokens []string
	answer *Answer
	err    error
	doneAt time.Time

	// joined lists the requests with the same key that get their tokens from
	// this one.
	joined    []entity.RequestID
	followers []follower
	// changed: queued for deliverChanges.
	changed bool

	relay     relayState // valid in stageRelayed
	offer     offerState
	offeredBy entity.InstanceID // the offering daemon; valid in stageStandby
	// wakeAt is when the request's next timer fires; zero: there is none.
	wakeAt time.Time
}

// follower is a receiver of a request's outcome: a caller of this daemon or
// another daemon.
type follower struct {
	caller     CallerID
	peer       entity.InstanceID
	relayRound uint32 // the round of the peer's relay
	stream     bool
	sentCount  int // number of tokens delivered
	// seenTokens holds tokens that the receiver got from an earlier run. The
	// tokens delivered have to begin with them.
	seenTokens []string
	// sum is the checksum of the tokens delivered. If sumUnverified is set, it
	// was stated by the receiver and has to be compared with the run before
	// anything is delivered.
	sum           uint32
	sumUnverified bool
}

// attempt is the row of one dispatch to a backend server.
type attempt struct {
	backend          entity.BackendServer
	granted          bool // a grant is held and has to be released
	resumed          bool // reads a stream that was started before
	mayHaveRunBefore bool // the request may have run before this attempt
	started          time.Time
	lastToken        time.Time // time of the last token; before the first one, the start
	firstToken       time.Time
	receivedTokens   int       // number received in this attempt
	brokenAt         time.Time // when the connection broke whose stream this attempt resumes
	exporting        bool      // its KV cache is being exported
}

// attemptKey identifies an attempt.
type attemptKey struct {
	request entity.RequestID
	number  entity.AttemptNumber
}

// finished reports whether the request has its final outcome.
func (r *request) finished() bool { return r.stage == stageDone }

// keyed reports whether the request has an idempotency key, so that the journal
// decides whether it runs.
func (r *request) keyed() bool { return r.work.Key != "" }

// needsClaim reports whether a dispatch has to be recorded in the journal
// beforehand.
func (r *request) needsClaim() bool {
	return r.keyed() && (r.work.Stream || !r.work.Repeatable)
}

// executionVerdict returns what is known about whether the request has run.
func (r *request) executionVerdict() verdict.Verdict {
	if r.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// nextAttempt returns the number of a new attempt.
func (r *request) nextAttempt() entity.AttemptNumber {
	r.lastAttempt++
	r.attemptCount++
	return r.lastAttempt
}

// addFollower adds a receiver. For a daemon that already follows, it replaces
// the earlier entry.
func (r *request) addFollower(f follower) {
	for i := range r.followers {
		if f.peer != "" && r.followers[i].peer == f.peer {
			r.followers[i] = f
			return
		}
	}
	r.followers = append(r.followers, f)
}

// removeCaller removes a caller and reports whether it was a follower.
func (r *request) removeCaller(id CallerID) bool {
	return r.removeFollower(func(f *follower) bool { return f.peer == "" && f.caller == id })
}

// removePeer removes a daemon and reports whether it was a follower.
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
