package exchange

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

const (
	// seriesStart is the time of the first stop.
	seriesStart = 12 * time.Second
	// seriesGrace is the time from the stop signal until requests in flight are ended, and
	// seriesRestart the time until the next process serves.
	seriesGrace   = 7500 * time.Millisecond
	seriesRestart = time.Second
	// seriesAddressTime is the time from the start of a process until callers know its address.
	seriesAddressTime = 2500 * time.Millisecond
	// mayOutlast is the time after the signal until which a request may be sent that its daemon ends.
	mayOutlast = 3 * time.Second
	// One answer in seriesLongShare lasts for seriesLong, the others for up to seriesShort.
	seriesLongShare = 12
	seriesLong      = 4500 * time.Millisecond
	seriesShort     = 800 * time.Millisecond
	// seriesSilence is the longest silence of a sound server.
	seriesSilence = 1400 * time.Millisecond
)

// stopSeries stops the daemons of a fleet in turn, so that several stops overlap and processes are
// stopped again seconds after their start.
type stopSeries struct {
	*testFleet
	stopping    map[*Core]time.Time // since when
	down        map[*fleetDaemon]bool
	sentInStops int
	cut         int
}

// TestStop_SeriesOfOverlappingStopsCutsNoStream: streams were cut that a daemon had taken late in its stop, since its
// process was so young that no long answer had ended yet.
func TestStop_SeriesOfOverlappingStopsCutsNoStream(t *testing.T) {
	for _, daemons := range []int{3, 9} {
		testStopSeries(t, daemons, func(*stopSeries) {})
	}
}

// TestStop_SeriesBesideSilentServersCutsNoStream: streams were cut that a daemon had taken late in its stop, since their
// server fell silent for a second.
func TestStop_SeriesBesideSilentServersCutsNoStream(t *testing.T) {
	testStopSeries(t, 3, (*stopSeries).silenceServers)
}

// testStopSeries runs a series of stops beside something else, with requests that state their size and others.
func testStopSeries(t *testing.T, daemons int, beside func(*stopSeries)) {
	for _, work := range []Work{{}, {Stated: true, Prompt: 100, MaxOutput: 500}} {
		t.Run(fmt.Sprintf("daemons=%d,stated=%v", daemons, work.Stated), func(t *testing.T) {
			t.Parallel()
			s := &stopSeries{testFleet: newTestFleet(t, 1, daemons, 9), stopping: map[*Core]time.Time{}, down: map[*fleetDaemon]bool{}}
			s.runDuration, s.onBegin = seriesDuration, s.countBegin
			beside(s)
			for _, d := range s.daemons {
				s.allowLongAnswers(d)
				s.every(10*time.Millisecond, func() { s.sendTo(d, work) })
			}
			s.run(seriesStart)
			for i := range 6 * daemons {
				s.stop(s.daemons[i%daemons])
				s.run(1300 * time.Millisecond)
			}
			s.run(2 * seriesGrace)
			t.Logf("%d requests, %d sent during stops, %d of them cut", s.sent, s.sentInStops, s.cut)
			if s.cut > 0 {
				t.Errorf("%d streams, sent later than %v after a stop signal, were cut", s.cut, mayOutlast)
			}
			if s.sentInStops == 0 {
				t.Error("daemons that stop served nothing")
			}
		})
	}
}

// silenceServers has answers be short, and all engines fall silent once, shortly before the first daemon ends: what
// they get meanwhile begins after that.
func (s *stopSeries) silenceServers() {
	s.runDuration = func(Request) (start, end time.Duration) { return 50 * time.Millisecond, seriesShort }
	silentFrom := s.now.Add(seriesStart + seriesGrace - seriesSilence - 100*time.Millisecond)
	s.onRun = func(_ *fleetRun, _ *fleetServer, start, end *time.Duration) Outcome {
		if left := silentFrom.Add(seriesSilence).Sub(s.now); left > 0 && left < seriesSilence {
			*start, *end = *start+left, *end+left
		}
		return Answered
	}
}

func seriesDuration(r Request) (start, end time.Duration) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.ID)) // a hash returns no error
	n := h.Sum32()
	start = 50 * time.Millisecond
	if n%seriesLongShare == 0 {
		return start, seriesLong
	}
	return start, start + time.Duration(n>>8)%seriesShort
}

// allowLongAnswers gives a daemon that has just started a configuration whose streams may last long.
func (s *stopSeries) allowLongAnswers(d *fleetDaemon) {
	doc := testDocument(2)
	for i := range doc.Routes {
		doc.Routes[i].Timeout, doc.Routes[i].Objective = time.Minute, 0
	}
	d.core.SetDocument(s.now, doc)
}

func (s *stopSeries) sendTo(d *fleetDaemon, work Work) {
	if s.down[d] || s.now.Sub(d.core.cfg.Started) < seriesAddressTime {
		return
	}
	r := testRequest("", "/talk/x", "k3")
	r.Patience, r.Work = 0, work
	s.send(d, r)
}

func (s *stopSeries) countBegin(run *fleetRun, _ *fleetServer) {
	if since := s.stopping[run.core]; !since.IsZero() && run.ticket.sentAt.After(since) {
		s.sentInStops++
	}
}

// stop stops a daemon, unless it stops already, and starts it again.
func (s *stopSeries) stop(d *fleetDaemon) {
	core := d.core
	if s.down[d] || !s.stopping[core].IsZero() {
		return
	}
	s.stopping[core] = s.now
	core.Leave(s.now.Add(seriesGrace))
	s.after(seriesGrace, func() { s.end(d, core) })
}

// end ends the process of a daemon that has stopped, with what it has in flight.
func (s *stopSeries) end(d *fleetDaemon, core *Core) {
	for _, server := range s.servers {
		for run := range server.runs {
			if run.core == core && !run.ended && run.ticket.sentAt.Sub(s.stopping[core]) > mayOutlast {
				s.cut++
			}
		}
	}
	s.down[d] = true
	s.after(seriesRestart, func() {
		s.start(d)
		s.allowLongAnswers(d)
		s.down[d] = false
	})
}
