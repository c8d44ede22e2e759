package exchange

import (
	"testing"
	"time"
)

// replaceInPlace has an engine's process replaced at once, under its ID and at its address, by one
// of another version, whose entry daemons read later.
func (r *versionRun) replaceInPlace(s *fleetServer, version string, entryDelay time.Duration) {
	r.crash(s)
	entry := s.BackendServer
	entry.Born, entry.Version = r.now.UnixMilli(), version
	r.startReplacement(s, entry, entryDelay)
}

// connect returns since when a daemon's connections have reached a process, to which it has one now.
func (d *fleetDaemon) connect(s *fleetServer, now time.Time) time.Time {
	open := now.Before(d.idle[s])
	for run := range s.runs {
		open = open || run.sender == d
	}
	if !open {
		d.reached[s] = now
	}
	return d.reached[s]
}

// TestStreamVersion_ReplacedInPlaceWhileTheTableIsAway: engines are replaced in place by those of
// another version while nobody can read their entries. Streams that break then must not be
// continued by the version that an entry from before names.
func TestStreamVersion_ReplacedInPlaceWhileTheTableIsAway(t *testing.T) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v3"}} {
		forSizes(t, func(t *testing.T, daemons int) {
			r := newVersionRun(t, 1100, daemons, versions...)
			const away, first, gap = 4500 * time.Millisecond, 2800 * time.Millisecond, 250 * time.Millisecond
			r.run(3 * time.Second)
			r.tableAway = true
			r.run(first)
			for i, s := range r.engines()[:4] {
				r.after(time.Duration(i)*gap, func() { r.replaceInPlace(s, "v2", away-first-time.Duration(i)*gap) })
			}
			r.run(away - first)
			r.tableAway = false
			r.run(6 * time.Second)
			t.Logf("%d streams began of %d, %d hold events of two versions", r.begun, r.asked, r.mixed)
			if r.mixed > maxMixedStreams {
				t.Errorf("%d streams hold events of two versions, %d allowed", r.mixed, maxMixedStreams)
			}
		})
	}
}

// TestProvesProcess_ListInDoubt: what proves that a connection reaches the process in the list, by
// how long ago the list was known and which calls fail.
func TestProvesProcess_ListInDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		now     time.Duration // since the last confirmation
		since   time.Duration // of the connection, likewise
		failing string        // feed whose calls fail
		readAt  time.Duration // of the list of servers, likewise
		proves  bool
	}{
		"confirmed lately":                 {time.Second, 500 * time.Millisecond, "", 0, true},
		"older connection":                 {3 * time.Second, -time.Second, "", 0, true},
		"opened just before":               {3 * time.Second, -100 * time.Millisecond, "", 0, false},
		"opened since":                     {3 * time.Second, time.Second, "", 0, false},
		"calls fail already":               {time.Second, 500 * time.Millisecond, "configuration", 0, false},
		"only the list cannot be read":     {time.Second, -2 * time.Second, ServersFeed, -5 * time.Second, false},
		"older than the last list":         {time.Second, -7 * time.Second, ServersFeed, -5 * time.Second, true},
		"others confirm the configuration": {0, -time.Second, "configuration", -5 * time.Second, true},
	} {
		core := newTestCore(t, "a")
		core.FeedRead(ServersFeed, at(c.readAt))
		if c.failing != "" {
			core.FeedFailed(c.failing)
		}
		if got := core.provesProcess(at(c.now), at(c.since)); got != c.proves {
			t.Errorf("%s: %v, want %v", name, got, c.proves)
		}
		core.FeedRead(c.failing, at(c.now))
		core.Confirm(at(c.now))
		if !core.provesProcess(at(c.now), at(c.now)) {
			t.Errorf("%s: in doubt after all calls have succeeded", name)
		}
	}
}
