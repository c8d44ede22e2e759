package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/placement"
)

// IDs of parts of prompts. The last part of a prompt is that of its session.
const (
	commonPart      uint64 = 0xc0    // first part of all sound prompts
	firstPopular    uint64 = 0xb0    // first of the parts that a quarter of the sound prompts have each
	firstRare       uint64 = 0xa0    // first of the parts that one sound prompt in 2 s has each
	crashingPart    uint64 = 0xdead  // crashes servers
	inseparablePart uint64 = 0xdeae  // is always beside crashingPart
	longPart        uint64 = 0x10    // of runs that write for long
	companionPart   uint64 = 0xdeaf  // is always beside crashingPart, and in a few sound prompts
	firstSession    uint64 = 1 << 32 // first of the sessions of sound prompts
	firstBadSession uint64 = 1 << 48 // first of the sessions of other prompts
)

const (
	popularParts  = 4
	rareParts     = 4
	soundSessions = 40
	// crashesUntilKnown is the number of crashes by a part from which on the time runs
	// within which it must be refused, and other parts no longer.
	crashesUntilKnown = 5
	// soundLimit is the time from the last of these crashes after which no sound request
	// must be refused.
	soundLimit = 6 * time.Second
	// soundDuration is how long sound requests are judged.
	soundDuration = 3 * time.Second
	// minSoundRequests is the number of sound requests after that time for a test to say
	// anything.
	minSoundRequests = 20
)

// partRun is a run of a fleet to whose engines callers send prompts with shared parts. A
// prompt with the crashing part crashes its server when the answer begins.
type partRun struct {
	*crashRun
	sound      []time.Time     // when sound requests were sent
	bad        int             // number of crashing requests
	badShared  func() []uint64 // the parts but the last of the next crashing request
	badKey     func() string   // the key of the next crashing request
	meetTrials int             // number of sound requests that may come while the first one with their part runs
}

// newPartRun returns a fleet that gets sound requests of two organisations.
func newPartRun(t testing.TB, seed uint64, daemons, servers int) *partRun {
	r := &partRun{crashRun: newQuietCrashRun(t, seed, daemons, servers)}
	r.badShared = func() []uint64 { return []uint64{commonPart, r.popular(), crashingPart} }
	r.badKey = func() string { return "k3" }
	r.isCrashing = func(req Request) bool {
		return slices.ContainsFunc(req.Work.Parts, func(p placement.Part) bool { return p.ID == crashingPart })
	}
	r.crashing = r.nextCrashing
	r.runDuration = func(Request) (time.Duration, time.Duration) {
		start := 100*time.Millisecond + r.random(500*time.Millisecond)
		return start, start + 200*time.Millisecond + r.random(1500*time.Millisecond)
	}
	r.every(25*time.Millisecond, func() { r.sendSound("k3", commonPart, r.popular()) })
	r.every(100*time.Millisecond, func() { r.sendSound("k1", commonPart, r.popular()) })
	for i := range uint64(rareParts) {
		r.every(2*time.Second, func() { r.sendSound("k3", commonPart, firstRare+i) })
	}
	return r
}

// popular returns one of the popular parts.
func (r *partRun) popular() uint64 { return firstPopular + r.rng.Uint64N(popularParts) }

// request returns a request that is like no other, with the given shared parts.
func (r *partRun) request(key string, session uint64, shared []uint64) Request {
	req := testRequest("", "/talk/x", key)
	req.Patience, req.Content = 5*time.Second, r.newContent()
	req.Work = Work{Stated: true, Prompt: 20, MaxOutput: 10}
	for _, id := range append(slices.Clone(shared), session) {
		req.Work.Parts = append(req.Work.Parts, placement.Part{ID: id, Tokens: 5})
	}
	return req
}

// nextCrashing returns the next crashing request.
func (r *partRun) nextCrashing() Request {
	r.bad++
	return r.request(r.badKey(), firstBadSession+uint64(r.bad), r.badShared())
}

// sendSound lets a caller send a sound request with the given shared parts to any daemon.
func (r *partRun) sendSound(key string, shared ...uint64) {
	r.sendSoundTo(r.anyDaemon(), key, shared...)
}

// sendSoundTo lets a caller send a sound request with the given shared parts to a daemon.
func (r *partRun) sendSoundTo(d *fleetDaemon, key string, shared ...uint64) {
	r.sound = append(r.sound, r.now)
	r.send(d, r.request(key, firstSession+r.rng.Uint64N(soundSessions), shared))
}

// settledAt returns when no sound request must be refused any more.
func (r *partRun) settledAt() time.Time {
	r.t.Helper()
	n := min(crashesUntilKnown, len(r.crashes))
	if n == 0 {
		r.t.Fatal("no server has crashed")
	}
	return r.crashes[n-1].Add(soundLimit)
}

// check checks that the crashing part was refused in time and that sound requests were
// refused no longer than allowed.
func (r *partRun) check() {
	r.t.Helper()
	if n := r.lateArrivals(crashesUntilKnown, refusalLimit); n > maxLateArrivals {
		r.t.Errorf("requests with the part reached servers %d times later than %v after its fifth crash, at most %d allowed; %d servers crashed in all", n, refusalLimit, maxLateArrivals, len(r.crashes))
	}
	if r.refused == 0 {
		r.t.Error("no request with the part was ever refused")
	}
	r.checkSound(r.settledAt())
}

// checkSound checks that no sound request was refused from a time on, among enough of them.
func (r *partRun) checkSound(from time.Time) {
	r.t.Helper()
	sent := 0
	for _, at := range r.sound {
		if at.After(from) {
			sent++
		}
	}
	if sent < minSoundRequests {
		r.t.Fatalf("only %d sound requests from %v on", sent, from)
	}
	refused, shared := 0, map[string]int{}
	for _, w := range r.wrongly {
		if w.at.After(from) {
			refused++
			shared[sharedIDs(w.request)]++
		}
	}
	if refused > r.meetTrials {
		r.t.Errorf("%d of %d sound requests were refused from %v on, at most %d allowed; by their shared parts: %v", refused, sent, from.Sub(zero), r.meetTrials, shared)
	}
	r.t.Logf("%d crashes; of %d requests with the part %d were refused; of sound ones %d in all", len(r.crashes), r.bad, r.refused, len(r.wrongly))
}

// sharedIDs returns the IDs of a request's parts but the last.
func sharedIDs(req Request) string {
	s := ""
	for _, p := range req.Work.Parts[:len(req.Work.Parts)-1] {
		s += fmt.Sprintf("%x ", p.ID)
	}
	return s
}

// crashInterval is the mean time between two crashing requests.
const crashInterval = 700 * time.Millisecond

// incident lets requests with the crashing part come for as long as it takes to judge the
// refusals.
func (r *partRun) incident() {
	r.run(2 * time.Second)
	r.startCrashing("/talk/x", crashInterval)
	r.run(12 * time.Second)
	r.runUntilSettled()
}

// runUntilSettled lets time pass until there have been sound requests for some seconds that
// must not be refused.
func (r *partRun) runUntilSettled() {
	r.t.Helper()
	deadline := r.now.Add(time.Minute)
	for r.now.Before(r.settledAt().Add(soundDuration)) {
		if r.now.After(deadline) {
			r.t.Fatalf("servers still crash after a minute: %d have", len(r.crashes))
		}
		r.run(time.Second)
	}
}

// eachFleet runs a test with several sizes of fleets and seeds.
func eachFleet(t *testing.T, sizes []int, seeds uint64, test func(r *partRun)) {
	t.Helper()
	for _, daemons := range sizes {
		for seed := uint64(1); seed <= seeds; seed++ {
			if daemons > 20 && seed > 1 {
				continue // large fleets take long
			}
			t.Run(fmt.Sprintf("daemons=%d/seed=%d", daemons, seed), func(t *testing.T) {
				t.Parallel()
				test(newPartRun(t, seed, daemons, 30))
			})
		}
	}
}

// TestCrashPart_IsRefusedInTimeAndNoOther: requests that differ in content have a part in
// common, in the middle of their prompts, that crashes servers. Fails if deaths are counted by
// content only, or if a death counts against all parts of the runs that it broke off.
func TestCrashPart_IsRefusedInTimeAndNoOther(t *testing.T) {
	eachFleet(t, []int{1, 3, 9, 89}, 3, func(r *partRun) {
		r.incident()
		r.check()
	})
}

// TestCrashPart_OfALargeFleetIsRefusedInTime: ten crashing requests a second come to 410
// daemons. Fails if deaths or completions are known to all only with their state updates,
// which are seconds apart.
func TestCrashPart_OfALargeFleetIsRefusedInTime(t *testing.T) {
	t.Parallel()
	r := newPartRun(t, 1, 410, 200)
	r.run(1500 * time.Millisecond)
	r.startCrashing("/talk/x", 100*time.Millisecond)
	r.run(7 * time.Second)
	r.runUntilSettled()
	r.check()
}

// TestCrashPart_AtTheFirstPlace: the crashing part is the first one, which no sound request
// has. Fails if the first part, which sound requests of a route share, is never held
// responsible.
func TestCrashPart_AtTheFirstPlace(t *testing.T) {
	eachFleet(t, []int{1, 3, 9}, 2, func(r *partRun) {
		r.badShared = func() []uint64 { return []uint64{crashingPart, r.popular()} }
		r.incident()
		r.check()
	})
}

// TestCrashPart_FirstEventBeforeTheBreak: the daemon gets the first event of an answer some
// milliseconds before its server dies. Fails if only runs without an event count, or if a
// first event clears a request's parts as its completion does.
func TestCrashPart_FirstEventBeforeTheBreak(t *testing.T) {
	eachFleet(t, []int{3, 9}, 3, func(r *partRun) {
		r.eventBefore = func(Request) time.Duration { return time.Millisecond + r.random(20*time.Millisecond) }
		r.incident()
		r.check()
	})
}

// TestCrashPart_KindsOfEndsAndDeaths: however a run ends for its daemon and its server dies,
// the part must be refused in time. Fails if parts are not held responsible on one of the
// ways in which a death is found.
func TestCrashPart_KindsOfEndsAndDeaths(t *testing.T) {
	for _, kind := range kindsOfDeaths {
		t.Run(kind.name, func(t *testing.T) {
			eachFleet(t, []int{9}, 2, func(r *partRun) {
				kind.setUp(r.crashRun)
				r.incident()
				r.check()
			})
		})
	}
}

// TestCrashPart_CompanionsAreServed: each crash breaks off many runs on a server that are
// waiting, reading their prompts or writing for long. Some parts are seldom seen to
// complete. Fails if a part is refused although another one explains its deaths.
func TestCrashPart_CompanionsAreServed(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			companionRun(t, seed, 10, 0)
		})
	}
}

// TestCrashPart_WhereHardlyAnythingCompletes: crashes leave a service of four servers no time to
// complete much, so that popular parts run on each server that dies. Fails if parts that
// share all deaths explain each other, so that none is refused.
func TestCrashPart_WhereHardlyAnythingCompletes(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			companionRun(t, seed, 4, 1)
		})
	}
}

// companionRun checks an incident with runs that last for long on some servers.
// Some sound requests may come while the first one with their part runs.
func companionRun(t *testing.T, seed uint64, servers, meetTrials int) {
	r := newPartRun(t, seed, 9, servers)
	r.meetTrials = meetTrials
	r.runDuration = r.longRunDuration
	r.incident()
	r.check()
}

// longRunDuration returns the duration of runs that mostly last for seconds: some of them
// wait or read for long, others write for long.
func (r *partRun) longRunDuration(Request) (start, end time.Duration) {
	start = 50*time.Millisecond + r.random(800*time.Millisecond)
	if r.rng.IntN(3) == 0 {
		start += time.Second
	}
	return start, start + 100*time.Millisecond + r.random(3*time.Second)
}

// TestCrashPart_CompanionPartIsServed: the crashing part always comes with another one that a
// few sound requests have too, either all the time or only when both are known. Fails if
// deaths that one part explains count against the other.
func TestCrashPart_CompanionPartIsServed(t *testing.T) {
	for _, c := range []struct {
		name   string
		shared []uint64      // of crashing requests
		sound  []uint64      // of the few sound ones
		after  time.Duration // from the beginning to the first sound request with the part
		trials int           // number of these that may come while the first of them runs
	}{
		{"in the middle", []uint64{commonPart, companionPart, crashingPart}, []uint64{commonPart, companionPart}, 0, 0},
		{"after it", []uint64{commonPart, crashingPart, companionPart}, []uint64{commonPart, companionPart}, 0, 0},
		{"at the first place", []uint64{companionPart, crashingPart}, []uint64{companionPart}, 0, 0},
		{"only later", []uint64{commonPart, companionPart, crashingPart}, []uint64{commonPart, companionPart}, 12 * time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			eachFleet(t, []int{3, 9}, 2, func(r *partRun) {
				r.meetTrials = c.trials
				r.badShared = func() []uint64 { return c.shared }
				r.after(c.after, func() { r.every(2*time.Second, func() { r.sendSound("k3", c.sound...) }) })
				r.incident()
				r.run(10 * time.Second) // some sound requests with the part
				r.check()
			})
		})
	}
}

// TestCrashPart_InseparablePartsMakeNoThirdSuspect: two parts never come apart, so that either
// may be the cause. Fails if neither is refused since each explains the deaths of the other,
// or if a third one is.
func TestCrashPart_InseparablePartsMakeNoThirdSuspect(t *testing.T) {
	eachFleet(t, []int{1, 3, 9}, 2, func(r *partRun) {
		r.badShared = func() []uint64 { return []uint64{commonPart, inseparablePart, r.popular(), crashingPart} }
		r.incident()
		r.check()
	})
}

// TestCrashPart_OfSeveralOrganisations: the first three crashing requests are of one
// organisation and the later ones of all. Fails if a part is refused to the
// organisation only whose requests had it first, or if that organisation's sound requests are.
func TestCrashPart_OfSeveralOrganisations(t *testing.T) {
	for _, keys := range [][2][]string{
		{{"k3"}, {"k1", "k2"}},
		{{"k1"}, {"k3"}},
		{{"k3"}, {"k1", "k3"}},
	} {
		t.Run(fmt.Sprint(keys), func(t *testing.T) {
			eachFleet(t, []int{3, 9}, 2, func(r *partRun) {
				r.badKey = func() string {
					set := keys[0]
					if r.bad > refusalDeathCount {
						set = keys[1]
					}
					return set[r.bad%len(set)]
				}
				r.incident()
				r.check()
			})
		})
	}
}

// TestCrashPart_OfAsManyOrganisationsAsRequests: no organisation sends two crashing requests.
// Fails if deaths count for the requests of one organisation only.
func TestCrashPart_OfAsManyOrganisationsAsRequests(t *testing.T) {
	eachFleet(t, []int{1, 9}, 2, func(r *partRun) {
		const organisations = 40
		document := testDocument(2)
		for i := range organisations {
			name := fmt.Sprint("one-of-many-", i)
			document.Organisations = append(document.Organisations, Organisation{ID: entity.OrganisationID(name), Keys: []string{name}, QuotaDefined: true})
		}
		for _, d := range r.daemons {
			d.core.SetDocument(r.now, document)
		}
		r.badKey = func() string { return fmt.Sprint("one-of-many-", r.bad%organisations) }
		r.incident()
		r.check()
	})
}

// TestCrashPart_LongRunsExplainNothing: all servers are always writing answers on another
// part for longer than they live. Fails if runs that have been writing for long count, so
// that this part explains the deaths by the crashing one.
func TestCrashPart_LongRunsExplainNothing(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			r := newPartRun(t, seed, 9, 8)
			usual := r.runDuration
			r.runDuration = func(req Request) (time.Duration, time.Duration) {
				if req.Work.Parts[1].ID == longPart {
					return 20 * time.Millisecond, 4900 * time.Millisecond
				}
				return usual(req)
			}
			r.every(50*time.Millisecond, func() { r.sendSound("k3", commonPart, longPart) })
			r.incident()
			r.check()
		})
	}
}

// TestCrashPart_DaemonThatWasCutOff: a daemon hears no other one while a part crashes servers,
// also such as run its own requests. Soon after it is back it must refuse that part and
// no other. Fails if deaths or completions, or what explains deaths, are not announced
// until it has acknowledged them.
func TestCrashPart_DaemonThatWasCutOff(t *testing.T) {
	for _, c := range []struct {
		duration time.Duration
		daemons  []int
	}{{6 * time.Second, []int{3, 9, 89}}, {13 * time.Second, []int{3, 9}}} {
		t.Run(fmt.Sprint("cut=", c.duration), func(t *testing.T) {
			eachFleet(t, c.daemons, 2, func(r *partRun) { r.cutOff(r.daemons[0], c.duration) })
		})
	}
}

// cutOff cuts a daemon off from the others for some time of an incident, and checks what it
// refuses after that.
func (r *partRun) cutOff(d *fleetDaemon, duration time.Duration) {
	r.t.Helper()
	r.run(2 * time.Second)
	d.cut = true
	r.every(300*time.Millisecond, func() { r.sendSoundTo(d, "k3", commonPart, firstRare) })
	r.startCrashing("/talk/x", crashInterval)
	r.run(duration)
	r.reconnect(d)
	r.run(refusalLimit)
	r.mustRefuseBut(d, 1)
	r.runUntilSettled()
	r.checkSound(r.settledAt())
}

// TestCrashPart_CompletionReachesADaemonThatWasCutOff: a daemon that is cut off from the others
// finds the third death of a server that ran a part. The part completes for others meanwhile.
// Fails if the daemon refuses the part after it is back, or if its death counts for the others
// as if nothing had completed.
func TestCrashPart_CompletionReachesADaemonThatWasCutOff(t *testing.T) {
	eachFleet(t, []int{3, 9, 89}, 2, func(r *partRun) {
		r.completeElsewhere(refusalDeathCount - 1)
	})
}

// TestCrashPart_CompletionElsewhereCountsAfterACut: a daemon that is cut off from the others
// finds all three deaths. Fails if the part is refused by all after that, since those for which
// it completed meanwhile had no death of it to forget.
func TestCrashPart_CompletionElsewhereCountsAfterACut(t *testing.T) {
	eachFleet(t, []int{3, 9}, 2, func(r *partRun) {
		r.completeElsewhere(0)
	})
}

// completeElsewhere lets some of three deaths of servers that ran a part be known to all daemons
// and the others only to one that is cut off. The part completes for another one after each
// of these. It checks that no daemon refuses the part afterwards.
func (r *partRun) completeElsewhere(known int) {
	r.t.Helper()
	cut, other := r.daemons[0], r.daemons[1]
	r.runDuration = func(Request) (time.Duration, time.Duration) { return 100 * time.Millisecond, 400 * time.Millisecond }
	r.run(2 * time.Second)
	for range known {
		r.crashWithPart(other, companionPart)
	}
	r.run(refusalLimit)
	cut.cut = true
	for range refusalDeathCount - known {
		r.crashWithPart(cut, companionPart)
		r.sendOnce(other, companionPart)
		r.run(time.Second)
	}
	r.reconnect(cut)
	r.run(refusalLimit)
	before := len(r.wrongly)
	for _, d := range r.daemons {
		r.sendOnce(d, companionPart)
	}
	if n := len(r.wrongly) - before; n > 0 {
		r.t.Errorf("%d of %d daemons refuse a part that has completed since", n, len(r.daemons))
	}
}

// sendOnce lets a caller send a request with the given part that runs once at most.
func (r *partRun) sendOnce(d *fleetDaemon, id uint64) {
	req := r.request("k3", firstSession, []uint64{commonPart, id})
	req.Path = "/x"
	r.send(d, req)
}

// crashWithPart lets a request with the given part run for a daemon and crashes its server.
func (r *partRun) crashWithPart(d *fleetDaemon, id uint64) {
	r.t.Helper()
	r.sendOnce(d, id)
	r.run(50 * time.Millisecond)
	hasPart := func(run *fleetRun) bool {
		return run.daemon == d && slices.ContainsFunc(run.ticket.Request.Work.Parts, func(p placement.Part) bool { return p.ID == id })
	}
	if !r.crashServerOf(hasPart) {
		r.t.Fatal("no server runs the part")
	}
	r.run(100 * time.Millisecond)
}

// TestCrashPart_RestartedDaemonsLearnWhatTheOthersRefuse restarts daemons one after the other
// after all have refused the part. Fails if they learn of no deaths under parts, or of no
// other part that explains them.
func TestCrashPart_RestartedDaemonsLearnWhatTheOthersRefuse(t *testing.T) {
	eachFleet(t, []int{3, 9, 89}, 2, func(r *partRun) {
		r.run(2 * time.Second)
		r.startCrashing("/talk/x", crashInterval)
		r.run(10 * time.Second)
		for _, d := range r.daemons[1:min(len(r.daemons), 5)] {
			r.start(d)
			r.run(refusalLimit)
			r.mustRefuseBut(d, 1)
		}
		r.runUntilSettled()
		r.checkSound(r.settledAt())
	})
}

// TestCrashPart_AllDaemonsLostAndBack restarts all daemons at once. The new ones have nothing
// but the checkpoint. Fails if that lacks the deaths under the part, or has deaths under
// others without what explains them.
func TestCrashPart_AllDaemonsLostAndBack(t *testing.T) {
	eachFleet(t, []int{1, 9}, 3, func(r *partRun) {
		r.run(2 * time.Second)
		r.startCrashing("/talk/x", crashInterval)
		r.run(10 * time.Second)
		checkpoint := r.daemons[0].core.Checkpoint(r.now)
		for _, d := range r.daemons {
			r.start(d)
			d.core.RestoreNotice(r.now, &checkpoint)
		}
		for _, d := range r.daemons {
			r.mustRefuseBut(d, 1)
		}
		r.runUntilSettled()
		r.checkSound(r.settledAt())
	})
}

// TestCrashPart_UnrelatedDeathsMakeNoPartSuspect: servers die one after the other, together,
// leave or start again while requests with popular parts run. No request is the cause. Fails
// if completions do not clear parts, or if servers that died together count more than once.
func TestCrashPart_UnrelatedDeathsMakeNoPartSuspect(t *testing.T) {
	for _, c := range []struct {
		name     string
		daemons  []int
		interval time.Duration // between two deaths
		die      func(*partRun, *fleetServer)
	}{
		{"one after the other", []int{1, 3, 9, 89}, time.Second, func(r *partRun, s *fleetServer) { r.crash(s) }},
		{"together", []int{1, 3, 9}, 0, func(r *partRun, s *fleetServer) { r.crash(s) }},
		{"start again", []int{1, 3, 9}, time.Second, func(r *partRun, s *fleetServer) {
			r.crash(s)
			r.replace(s, s.ID, s.Born+1)
		}},
		{"leave", []int{1, 3, 9}, time.Second, func(r *partRun, s *fleetServer) {
			r.eachCore(0, func(c *Core) { c.RemoveServer(r.now, s.ID, 0) })
			r.after(500*time.Millisecond, func() { r.crash(s) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			eachFleet(t, c.daemons, 2, func(r *partRun) {
				r.run(2 * time.Second)
				for i := range 2 * crashesUntilKnown {
					c.die(r, r.servers[2*i]) // an engine
					r.run(c.interval)
				}
				r.run(2 * time.Second)
				r.checkSound(zero)
			})
		})
	}
}

// TestCrashPart_DeathsInQuickSuccessionMakeNoPartSuspect: a rack's servers die shortly after
// one another, before any request can have completed since. Runs that go on elsewhere complete
// soon. Fails if their completions do not clear parts that are refused already.
func TestCrashPart_DeathsInQuickSuccessionMakeNoPartSuspect(t *testing.T) {
	eachFleet(t, []int{1, 3, 9, 89}, 2, func(r *partRun) {
		r.run(2 * time.Second)
		for i := range crashesUntilKnown {
			r.crash(r.servers[2*i])
			r.run(70 * time.Millisecond)
		}
		last := r.now
		r.run(8 * time.Second)
		r.checkSound(last.Add(soundLimit))
	})
}

// BenchmarkCrashPart_NoticeBytes measures what one of 410 daemons is sent in notices, alone
// and with updates, in an incident of ten crashing requests a second among a thousand.
func BenchmarkCrashPart_NoticeBytes(b *testing.B) {
	for range b.N {
		r := newPartRun(b, 1, 410, 200)
		r.every(time.Millisecond, func() { r.sendSound("k3", commonPart, r.popular()) })
		perSecond := map[time.Duration]int{} // bytes, by the second in which they arrive
		r.onNotice = func(to *fleetDaemon, n *Notice) {
			if to == r.daemons[0] && !n.Empty() {
				perSecond[r.now.Sub(zero).Truncate(time.Second)] += encodedBytes(b, n)
			}
		}
		r.run(2 * time.Second)
		r.startCrashing("/talk/x", 100*time.Millisecond)
		r.run(10 * time.Second)
		total, most := 0, 0
		for _, n := range perSecond {
			total += n
			most = max(most, n)
		}
		b.ReportMetric(float64(total)/10, "bytes/s")
		b.ReportMetric(float64(most), "bytes-in-worst-s")
		b.ReportMetric(float64(len(r.crashes)), "crashes")
	}
}

// encodedBytes returns the size of a notice as it is sent.
func encodedBytes(t testing.TB, n *Notice) int {
	t.Helper()
	data, err := codec.Encode(n)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}
