package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// model describes how the servers of a roll-out answer, for a simulation of its samples.
type model struct {
	rate      float64                 // requests per second of the service
	share     float64                 // of the new version
	duration  time.Duration           // of the canary
	natural   [4]float64              // share of failures by nature, by route
	badFrom   time.Duration           // when the new version becomes bad
	fails     float64                 // share of the bad version's answers that fail
	slower    float64                 // factor by which answers of the bad version are slower; 0: none are
	slowShare float64                 // share of the answers that are slower
	onlyRoute int                     // the one bad route; -1: all are
	spread    float64                 // standard deviation of the logarithm of the times
	stall     [2]time.Duration        // time in which all answers of the new version are slow, as by a stalled server
	load      func(t float64) float64 // factor of all times and failures, by the part of the time that has passed
}

// result is how a simulated roll-out went.
type result struct {
	finding *Finding
	bad     int           // bad answers until it was found
	at      time.Duration // when
}

const simulationStep = 100 * time.Millisecond

// simulate runs a roll-out and judges it every step.
func simulate(rng *rand.Rand, m model) result {
	j, out := NewJudge(), result{}
	for at := time.Duration(0); at < m.duration; at += simulationStep {
		out.bad += m.answers(rng, j, at)
		if out.finding = j.Find(); out.finding != nil {
			out.at = at
			return out
		}
	}
	return out
}

// answers adds the answers of one step to a judge and returns the number of bad ones.
func (m *model) answers(rng *rand.Rand, j *Judge, at time.Duration) (bad int) {
	for range poisson(rng, m.rate*simulationStep.Seconds()) {
		g, route := Old, rng.IntN(len(m.natural))
		if rng.Float64() < m.share {
			g = New
		}
		s, isBad := m.answer(rng, at, g, route)
		if isBad {
			bad++
		}
		j.Add(time.Unix(1000, 0).Add(at), fmt.Sprint(route), g, s)
	}
	return bad
}

// answer returns one answer's samples and whether it is bad beyond what its route is by nature.
func (m *model) answer(rng *rand.Rand, at time.Duration, g Group, route int) (s Samples, bad bool) {
	load := 1.0
	if m.load != nil {
		load = m.load(float64(at) / float64(m.duration))
	}
	isBad := g == New && at >= m.badFrom && (m.onlyRoute < 0 || m.onlyRoute == route)
	s.Answers = 1
	if rng.Float64() < m.natural[route]*load {
		s.Failures = 1
	}
	if isBad && rng.Float64() < m.fails {
		s.Failures, bad = 1, true
	}
	factor := load * math.Exp(m.spread*rng.NormFloat64())
	if isBad && m.slower > 0 && rng.Float64() < m.slowShare {
		factor, bad = factor*m.slower, true
	}
	if g == New && at >= m.stall[0] && at < m.stall[1] {
		factor *= 20
	}
	s.First.Record(time.Duration(factor*float64(100*time.Millisecond)), 100*time.Millisecond)
	s.Rest.Record(time.Duration(factor*float64(time.Second)), time.Second)
	return s, bad
}

// poisson returns a random number of events whose mean is given.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for p := rng.Float64(); p > math.Exp(-mean); p *= rng.Float64() {
		n++
	}
	return n
}

// goodModel is a good version at 50 canary requests a second, over a whole roll-out.
func goodModel() model {
	return model{rate: 625, share: 0.08, duration: 12 * time.Second, natural: [4]float64{0, 0.01, 0.05, 0.14}, onlyRoute: -1, spread: 0.6}
}

// goodRollouts is the number of simulated roll-outs of good versions, of which none may be
// found bad.
const goodRollouts = 60

// A good version must not be taken for a bad one over a whole roll-out on four routes with a
// look every 100 ms, also while its routes fail by nature, times vary widely, the load grows or
// a canary server stalls for a moment.
func TestJudge_GoodVersionIsNotFoundBad(t *testing.T) {
	cases := map[string]func(*model){
		"steady":              func(*model) {},
		"natural failures":    func(m *model) { m.natural = [4]float64{0.14, 0.14, 0.14, 0.14} },
		"long":                func(m *model) { m.duration, m.rate = 40*time.Second, 200 },
		"widely varied times": func(m *model) { m.spread = 1.2 },
		"half of the traffic": func(m *model) { m.share = 0.5 },
		"growing load":        func(m *model) { m.load = func(t float64) float64 { return 1 + 2*t } },
		"stalled server":      func(m *model) { m.stall = [2]time.Duration{3 * time.Second, 3700 * time.Millisecond} },
		"little traffic":      func(m *model) { m.rate = 30 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(7, 7))
			for i := range goodRollouts {
				m := goodModel()
				change(&m)
				if r := simulate(rng, m); r.finding != nil {
					t.Fatalf("run %d: a good version is found bad after %v: %+v", i, r.at, *r.finding)
				}
			}
		})
	}
}

// maxBadAnswers is the number of bad answers before which a bad version must be found.
const maxBadAnswers = 50

// stopBound is the time after the 50th bad answer in which a bad version must be found: the 5 s
// after which it may get no request, less the greatest age of a daemon's view.
const stopBound = 5*time.Second - 2*time.Second

// TestJudge_OneStallIsNoEvidence: the first answers of a good version all come within a part of a
// second in which its servers or the network stall, so that they take twice as long. The old version
// has answered for some seconds.
func TestJudge_OneStallIsNoEvidence(t *testing.T) { testStall(t, 2400*time.Millisecond) }

// TestJudge_OneStallOverTwoBinsIsNoEvidence: as before, and a new bin begins during the stall.
func TestJudge_OneStallOverTwoBinsIsNoEvidence(t *testing.T) { testStall(t, 1850*time.Millisecond) }

func testStall(t *testing.T, from time.Duration) {
	t.Helper()
	for _, expected := range []time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond} { // of 10 ms
		j := NewJudge()
		add := func(at time.Duration, g Group, took time.Duration) {
			s := Samples{Answers: 1}
			s.First.Record(took, expected)
			s.Rest.Record(took, expected)
			j.Add(time.Unix(1000, 0).Add(at), "r", g, s)
		}
		for at := time.Duration(0); at < 3*time.Second; at += 5 * time.Millisecond {
			add(at, Old, 10*time.Millisecond)
			if since := at - from; since >= 0 && since < 300*time.Millisecond && since%(20*time.Millisecond) == 0 {
				add(at, New, 23*time.Millisecond)
			}
		}
		if f := j.Find(); f != nil {
			t.Errorf("expected times of %v: found bad by %+v", expected, *f)
		}
		if f := j.Doubt(); f != nil {
			t.Errorf("expected times of %v: in doubt by %+v", expected, *f)
		}
	}
}

// At the last decision a good version must seldom be in doubt, since it is then rolled back, and
// one of which a third of the answers fail must seldom be out of it, with few answers too.
func TestJudge_DoubtAtTheLastDecision(t *testing.T) {
	const runs = 400
	cases := map[string]struct {
		change     func(*model)
		least, max int // of the runs in doubt
	}{
		"good":                      {func(*model) {}, 0, 8},
		"good, natural failures":    {func(m *model) { m.natural = [4]float64{0.14, 0.14, 0.14, 0.14} }, 0, 8},
		"good, half of the traffic": {func(m *model) { m.share = 0.5 }, 0, 8},
		"good, widely varied times": {func(m *model) { m.spread = 1.2 }, 0, 8},
		"good, little traffic":      {func(m *model) { m.rate, m.share = 30, 0.3 }, 0, 8},
		"good, 20 new answers": {func(m *model) {
			m.rate, m.share, m.duration = 50, 0.13, 3*time.Second
		}, 0, 20},
		"a third fails, 20 new answers": {func(m *model) {
			m.fails, m.rate, m.share, m.duration = 0.33, 50, 0.13, 3*time.Second
		}, 380, runs},
		"a third fails, 60 new answers": {func(m *model) {
			m.fails, m.rate, m.share, m.duration = 0.33, 50, 0.4, 3*time.Second
		}, 385, runs},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rng, inDoubt := rand.New(rand.NewPCG(9, 9)), 0
			for range runs {
				m, j := goodModel(), NewJudge()
				c.change(&m)
				for at := time.Duration(0); at < m.duration; at += simulationStep {
					m.answers(rng, j, at)
				}
				if j.Doubt() != nil {
					inDoubt++
				}
			}
			t.Logf("%d of %d in doubt", inDoubt, runs)
			if inDoubt < c.least || inDoubt > c.max {
				t.Errorf("%d of %d in doubt, %d to %d wanted", inDoubt, runs, c.least, c.max)
			}
		})
	}
}

// A version that fails or is slow in one of the usual ways must be found before its 50th bad
// answer, and one that is slow before its stop is due after that answer.
func TestJudge_BadVersionIsFoundInTime(t *testing.T) {
	cases := map[string]struct {
		change func(*model)
		within time.Duration // after the 50th bad answer; 0: before it
	}{
		"20 in 100 fail":                       {func(m *model) { m.fails = 0.2 }, 0},
		"20 in 100 fail on one route":          {func(m *model) { m.fails, m.onlyRoute, m.natural[0] = 0.2, 0, 0.01 }, 0},
		"20 in 100 fail beside natural ones":   {func(m *model) { m.fails, m.natural = 0.2, [4]float64{0.14, 0.14, 0.14, 0.14} }, stopBound},
		"20 in 100 fail from the middle on":    {func(m *model) { m.fails, m.badFrom = 0.2, 5*time.Second }, 0},
		"three times slower":                   {func(m *model) { m.slower, m.slowShare = 3, 1 }, stopBound},
		"three times slower later":             {func(m *model) { m.slower, m.slowShare, m.badFrom = 3, 1, 5*time.Second }, stopBound},
		"three times slower on one route":      {func(m *model) { m.slower, m.slowShare, m.onlyRoute = 3, 1, 2 }, stopBound},
		"three times slower, times vary":       {func(m *model) { m.slower, m.slowShare, m.spread = 3, 1, 1 }, stopBound},
		"30 in 100 four times slower":          {func(m *model) { m.slower, m.slowShare = 4, 0.3 }, stopBound},
		"all fail at once with little traffic": {func(m *model) { m.fails, m.rate = 1, 60 }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(8, 8))
			late, worst := 0, 0
			for range 30 {
				m := goodModel()
				c.change(&m)
				r := simulate(rng, m)
				worst = max(worst, r.bad)
				if allowed := maxBadAnswers + int(c.within.Seconds()*m.rate*m.share); r.finding == nil || r.bad >= allowed {
					late++
				}
			}
			t.Logf("at most %d bad answers, %d found too late", worst, late)
			if late > 0 {
				t.Errorf("%d of 30 bad versions were found too late", late)
			}
		})
	}
}
