package streamversion

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// recordFleet runs the knowledge of several daemons against one row in virtual time. Lists of
// servers are old, daemons are suspended and restarted, calls fail, answers are lost, what
// daemons tell each other is late or lost, and the table service is restored.
type recordFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	daemons []*recordDaemon
	listed  map[SeenVersion]bool      // versions that have servers
	history []map[SeenVersion]bool    // of that, one for each second
	used    map[SeenVersion]time.Time // when a daemon last sent a stream to a version
	row     Row
	rows    []Row // the newest ones, for restores
	rev     int
	gen     uint64
	away    bool
}

type recordDaemon struct {
	*Recorded
	started   time.Time
	suspended time.Time // until then
	listAge   int       // of its list, in steps
	leader    bool
	mail      []mail
}

// mail is what one daemon tells another one, with the time of its arrival.
type mail struct {
	at   time.Time
	news []KnownVersion
}

// recordedVersions are the versions that come and go.
var recordedVersions = []SeenVersion{{"s", "v1"}, {"s", "v2"}, {"s", "v3"}}

const recordStep = 250 * time.Millisecond

func (f *recordFleet) start(i int) {
	d := &recordDaemon{Recorded: NewRecorded(rand.New(rand.NewPCG(f.rng.Uint64(), 1))), started: f.now, listAge: f.rng.IntN(12), leader: i == 0}
	f.daemons[i] = d
}

// call makes a daemon's call for the row.
func (f *recordFleet) call(d *recordDaemon, first bool) {
	defer f.tell(d)
	d.Called(f.now)
	if f.away || f.rng.IntN(8) == 0 {
		return
	}
	next, write := d.Apply(f.now, &Read{Row: f.row, Generation: f.gen, NewDeployment: first}, d.leader)
	if !write {
		return
	}
	switch f.rng.IntN(8) {
	case 0: // refused
		d.Failed()
		return
	case 1: // the answer is lost
		d.Failed()
	default:
		d.Written(f.now, &next)
	}
	f.rows = append(f.rows, f.row)
	f.row, f.rev = next, f.rev+1
}

// tell lets a daemon tell the others what it has recorded. They are told until they know it.
func (f *recordFleet) tell(d *recordDaemon) {
	news := d.TakeNews()
	for _, other := range f.daemons {
		if other != d && len(news) > 0 {
			other.mail = append(other.mail, mail{f.now.Add(time.Duration(f.rng.IntN(2500)) * time.Millisecond), news})
		}
	}
}

// receive lets a daemon receive what has reached it.
func (f *recordFleet) receive(d *recordDaemon) {
	var rest []mail
	for _, m := range d.mail {
		if f.now.Before(m.at) {
			rest = append(rest, m)
			continue
		}
		d.Receive(f.now, m.news)
	}
	d.mail = rest
}

// step lets a moment pass.
func (f *recordFleet) step() {
	f.now = f.now.Add(recordStep)
	if f.rng.IntN(60) == 0 {
		v := recordedVersions[f.rng.IntN(len(recordedVersions))]
		f.listed[v] = !f.listed[v]
	}
	list := map[SeenVersion]bool{}
	for v, up := range f.listed {
		list[v] = up
	}
	f.history = append(f.history, list)
	for _, d := range f.daemons {
		if f.now.Before(d.suspended) {
			continue
		}
		f.run(d)
	}
}

// run lets a daemon see its list, call the table service and send streams.
func (f *recordFleet) run(d *recordDaemon) {
	f.receive(d)
	list := f.history[max(len(f.history)-1-d.listAge, 0)]
	for _, v := range recordedVersions {
		if list[v] {
			d.Saw(f.now, v, time.Second)
		}
	}
	d.Forget(f.now)
	if d.CallDue(f.now, d.leader) {
		f.call(d, false)
	}
	for _, v := range recordedVersions {
		if _, ok := d.Usable(f.now, v); ok && list[v] && f.listed[v] {
			f.used[v] = f.now
		}
	}
}

// check checks that a process that has started after a stream began, and that knows all
// versions, knows the one that began it.
func (f *recordFleet) check() {
	for i, d := range f.daemons {
		if !d.Complete(f.now) || f.now.Before(d.suspended) {
			continue
		}
		known := map[string]bool{}
		for _, v := range d.OfService(f.now, "s") {
			known[v] = true
		}
		for v, at := range f.used {
			if f.now.Sub(at) < maxLife && at.Before(d.started) && !known[v.Version] {
				f.t.Fatalf("%v: daemon %d, started %v ago, does not know %s, which began a stream %v ago; row %+v", f.now.Sub(time.Unix(0, 0)), i, f.now.Sub(d.started), v.Version, f.now.Sub(at), f.row)
			}
		}
	}
}

// disturb draws a fault.
func (f *recordFleet) disturb() {
	switch f.rng.IntN(300) {
	case 0:
		for i := range f.daemons {
			f.start(i)
		}
	case 1, 2:
		f.start(f.rng.IntN(len(f.daemons)))
	case 3, 4:
		f.daemons[f.rng.IntN(len(f.daemons))].suspended = f.now.Add(time.Duration(f.rng.IntN(6)) * time.Second)
	case 5:
		f.away = !f.away
	case 6:
		for i, d := range f.daemons {
			d.leader = i == 1 // another leader
		}
	case 7:
		if n := len(f.rows); n > 0 {
			f.row, f.rev, f.gen = f.rows[max(n-1-f.rng.IntN(3), 0)], f.rev+1, f.gen+1
		}
	}
}

// TestRecorded_FreshProcessKnowsAllVersionsOfStreams: over all daemons and all their lives, a
// process that concludes from the versions that it knows lacks none that began a stream before
// it started.
func TestRecorded_FreshProcessKnowsAllVersionsOfStreams(t *testing.T) {
	for seed := range uint64(200) {
		for _, daemons := range []int{3, 9} {
			t.Run(fmt.Sprint("daemons=", daemons, "/seed=", seed), func(t *testing.T) {
				f := &recordFleet{
					t: t, rng: rand.New(rand.NewPCG(seed, uint64(daemons))), now: time.Unix(0, 0), daemons: make([]*recordDaemon, daemons),
					listed: map[SeenVersion]bool{recordedVersions[0]: true}, used: map[SeenVersion]time.Time{},
				}
				for i := range f.daemons {
					f.start(i)
				}
				f.call(f.daemons[0], true)
				for range 4000 {
					f.step()
					f.disturb()
					f.check()
				}
			})
		}
	}
}

// The first process of a deployment must confirm the row also when another daemon has recorded a
// version between its read and its write, which then fails: nobody else could for a long time.
func TestRecorded_FirstProcessConfirmsARowWrittenMeanwhile(t *testing.T) {
	now := time.Unix(1000, 0)
	first := NewRecorded(rand.New(rand.NewPCG(1, 1)))
	first.Called(now)
	if next, write := first.Apply(now, &Read{Generation: 3, NewDeployment: true}, false); !write || !next.Complete {
		t.Fatalf("the first row is %+v, written %v", next, write)
	}
	// The write fails: another daemon has written the row.
	row := Row{Versions: []RowVersion{{SeenVersion: SeenVersion{Service: "s", Version: "v1"}, Count: 1}}}
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		if !first.CallDue(now, false) {
			continue
		}
		first.Called(now)
		if next, write := first.Apply(now, &Read{Row: row, Generation: 3, NewDeployment: true}, false); write {
			row = next
			first.Written(now, &next)
		}
	}
	if !row.current(3) || len(row.Versions) != 1 {
		t.Errorf("the row is %+v after 5 s, want it confirmed", row)
	}
	if first.CallDue(now, false) {
		t.Error("the confirmed row is read again")
	}
}
