package exchange

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

var zero = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return zero.Add(d) }

// newTestCore returns a core with a document, three ready servers of each service,
// and a fresh confirmation.
func newTestCore(t *testing.T, name string) *Core {
	t.Helper()
	return newTestCoreProcess(t, name, 1)
}

// newTestCoreProcess returns the core of one process of a daemon. Start identifies
// the process and seeds its random numbers.
func newTestCoreProcess(t *testing.T, name string, start int64) *Core {
	t.Helper()
	c := New(Config{
		Self:        Member{Name: entity.InstanceID(name), Start: start, CallerAddr: name + ":1", DataCentre: "a"},
		DataCentres: []entity.DataCentreID{"a", "b", "c"},
		Rand:        rand.New(rand.NewPCG(uint64(start), 2)),
		Started:     zero,
		Bounds: Bounds{
			StaleAfter: 4 * time.Second, RetryRatio: 0.2, RetryReserve: 10, UsageWindow: 5 * time.Second,
			ForgetServerAfter: 10 * time.Second, UpdateIntervalPerPeer: 10 * time.Millisecond, ForgetPeerAfter: 10 * time.Second,
		},
	})
	c.SetListedDaemons(zero, 1)
	c.quota.Restore(map[entity.OrganisationID]float64{"small": 1000})
	openRetryBudgetsEarlier(c, zero)
	if !c.SetDocument(zero, testDocument(1)) {
		t.Fatal("SetDocument rejected the first configuration")
	}
	c.Confirm(zero)
	for i, dc := range []entity.DataCentreID{"a", "b", "c"} {
		for j, service := range []entity.ServiceName{"engine", "plain"} {
			c.PutServer(zero, BackendServer{
				ID: entity.BackendServerID(string(service) + strconv.Itoa(i)), Born: 1, Service: service,
				Address: fmt.Sprintf("10.0.%d.1:%d", j, i), DataCentre: dc, Slots: 8, State: Ready,
			})
		}
	}
	return c
}

// openRetryBudgetsEarlier opens the retry budgets of all services so early that their reserve
// has accrued.
func openRetryBudgetsEarlier(c *Core, now time.Time) {
	for _, service := range testDocument(1).Services {
		c.budget.Open(now.Add(-time.Minute), service.Name)
	}
}

func testDocument(version uint64) *Document {
	return &Document{
		Version: version,
		Routes: []Route{
			{Name: "all", Host: "h", Prefix: "/", Kind: AtMostOnce, Timeout: time.Second, Objective: 100 * time.Millisecond, Targets: []Target{{"plain", 1}}, MaxServers: 1},
			{Name: "get", Host: "h", Prefix: "/get/", Kind: Idempotent, Timeout: time.Second, Objective: 100 * time.Millisecond, Targets: []Target{{"plain", 1}}, MaxServers: 2},
			{Name: "talk", Host: "h", Prefix: "/talk/", Kind: Stream, Resumable: true, Timeout: 5 * time.Second, Objective: 500 * time.Millisecond, Targets: []Target{{"engine", 1}}, MaxServers: 2, ModelWork: true},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: Idempotent, Timeout: time.Second, Targets: []Target{{"plain", 1}}, MaxServers: 2, Public: true},
		},
		Services: []Service{
			{Name: "plain"},
			{Name: "engine", Engine: &Engine{Slots: 8, CacheTokens: 100_000}, Scale: &Scale{Min: 1, Max: 8, ReclaimablePrice: 0.2}},
		},
		Organisations: []Organisation{
			{ID: "small", Keys: []string{"k1", "k2"}, InTokens: true, PlainTokens: 10, RatePerSec: 1000, Burst: 1000, QuotaDefined: true},
			{ID: "large", Keys: []string{"k3"}, QuotaDefined: true},
		},
	}
}

func testRequest(id, path, key string) Request {
	return Request{ID: entity.RequestID(id), Method: "POST", Host: "h", Path: path, Key: key, Patience: time.Second}
}

func mustAdmit(t *testing.T, c *Core, now time.Time, r Request) *Ticket {
	t.Helper()
	ticket, refusal := c.Admit(now, now, r)
	if refusal != nil {
		t.Fatalf("request refused on admission: %+v", *refusal)
	}
	return ticket
}

func mustPlace(t *testing.T, c *Core, now time.Time, ticket *Ticket) Attempt {
	t.Helper()
	a, refusal := c.Place(now, ticket)
	if refusal != nil {
		t.Fatalf("request not placed: %+v", *refusal)
	}
	return a
}

func TestAdmit_LongestPrefixWins(t *testing.T) {
	c := newTestCore(t, "d1")
	for path, want := range map[string]string{"/x": "all", "/get/x": "get", "/get": "all", "/talk/": "talk"} {
		if got := mustAdmit(t, c, zero, testRequest("r", path, "k1")).Route.Name; got != want {
			t.Errorf("path %s matched route %s, want %s", path, got, want)
		}
	}
}

func TestAdmit_Refusals(t *testing.T) {
	c := newTestCore(t, "d1")
	cases := []struct {
		name string
		at   time.Duration
		req  Request
		want Answer
	}{
		{"unknown key", 0, testRequest("r", "/x", "nobody"), Unauthorised},
		{"no key", 0, testRequest("r", "/x", ""), Unauthorised},
		{"unknown host", 0, Request{ID: "r", Host: "other", Path: "/x", Key: "k1"}, NoRoute},
		{"no id", 0, Request{Host: "h", Path: "/x", Key: "k1"}, Malformed},
		{"absolute form", 0, Request{ID: "r", Host: "h", Path: "http://h/x", Key: "k1"}, Malformed},
		// A daemon with a stale configuration may have missed new routes and keys, so
		// it must refuse with a status that lets callers retry.
		{"stale, unknown key", 5 * time.Second, testRequest("r", "/x", "nobody"), Unavailable},
		{"stale, unknown host", 5 * time.Second, Request{ID: "r", Host: "other", Path: "/x"}, Unavailable},
		{"stale, known key", 5 * time.Second, testRequest("r", "/x", "k1"), Unavailable},
	}
	for _, tc := range cases {
		_, refusal := c.Admit(at(tc.at), at(tc.at), tc.req)
		if refusal == nil || refusal.Status != tc.want {
			t.Errorf("%s: got %+v, want status %d", tc.name, refusal, tc.want)
		}
	}
}

func TestSetDocument_NeverGoesBack(t *testing.T) {
	c := newTestCore(t, "d1")
	if !c.SetDocument(zero, testDocument(7)) || c.SetDocument(zero, testDocument(6)) {
		t.Fatal("a newer configuration was rejected or an older one applied")
	}
	if v, _ := c.Version(zero); v != 7 {
		t.Fatalf("version %d in force, want 7", v)
	}
}

func TestPlace_KeyTakenAwayAfterAdmission(t *testing.T) {
	c := newTestCore(t, "d1")
	ticket := mustAdmit(t, c, zero, testRequest("r", "/x", "k2"))
	doc := testDocument(2)
	doc.Organisations[0].Keys = []string{"k1"}
	c.SetDocument(zero, doc)
	if _, refusal := c.Place(zero, ticket); refusal == nil || refusal.Status != Unavailable {
		t.Fatalf("a request whose key was removed after admission was placed: %+v", refusal)
	}
}

func TestPlace_StaleAfterAdmission(t *testing.T) {
	c := newTestCore(t, "d1")
	ticket := mustAdmit(t, c, at(3900*time.Millisecond), testRequest("r", "/x", "k1"))
	if _, refusal := c.Place(at(4100*time.Millisecond), ticket); refusal == nil || refusal.Status != Unavailable {
		t.Fatalf("a request was placed with a configuration that is no longer confirmed: %+v", refusal)
	}
}

func TestEnded_AtMostOnceIsNeverRepeated(t *testing.T) {
	for _, o := range []Outcome{Failed, Broken, Silent} {
		c := newTestCore(t, "d1")
		ticket := mustAdmit(t, c, zero, testRequest("r", "/x", "k1"))
		mustPlace(t, c, zero, ticket)
		refusal := c.Ended(zero, ticket, o)
		if refusal == nil || refusal.Status == Unavailable || refusal.Status == OverQuota {
			t.Errorf("after %s: %+v; want a final answer that does not invite a retry", o, refusal)
		}
	}
}

func TestEnded_NotRunIsTriedElsewhere(t *testing.T) {
	for _, o := range []Outcome{NotSent, Rejected, Misdirected} {
		c := newTestCore(t, "d1")
		ticket := mustAdmit(t, c, zero, testRequest("r", "/x", "k1"))
		first := mustPlace(t, c, zero, ticket)
		if refusal := c.Ended(zero, ticket, o); refusal != nil {
			t.Fatalf("after %s: %+v; want another attempt", o, *refusal)
		}
		if second := mustPlace(t, c, zero, ticket); second.Server == first.Server {
			t.Errorf("after %s the same server was tried again", o)
		}
	}
}

func TestEnded_RefusalIsTrueAfterRejections(t *testing.T) {
	c := newTestCore(t, "d1")
	ticket := mustAdmit(t, c, zero, testRequest("r", "/x", "k1"))
	for {
		a, refusal := c.Place(zero, ticket)
		if refusal == nil {
			refusal = c.Ended(zero, ticket, Rejected)
		}
		if refusal != nil {
			if refusal.Status != Unavailable || refusal.RetryAfter == 0 {
				t.Fatalf("got %+v, want status Unavailable with a retry delay", *refusal)
			}
			return
		}
		_ = a
	}
}

func TestEnded_IdempotentStaysWithinItsServers(t *testing.T) {
	c := newTestCore(t, "d1")
	ticket := mustAdmit(t, c, zero, testRequest("r", "/get/x", "k1"))
	mustPlace(t, c, zero, ticket)
	if refusal := c.Ended(zero, ticket, Broken); refusal != nil {
		t.Fatalf("idempotent request not repeated: %+v", *refusal)
	}
	mustPlace(t, c, zero, ticket)
	if refusal := c.Ended(zero, ticket, Broken); refusal == nil || refusal.Status != BadReply {
		t.Fatalf("after two broken servers: %+v, want status BadReply", refusal)
	}
}

// TestMayReplace_WithoutBudgetTheServersAnswerStands guards against discarding a
// backend server's failure answer for a retry that the budget does not allow.
func TestMayReplace_WithoutBudgetTheServersAnswerStands(t *testing.T) {
	c := newTestCore(t, "d1")
	replaced := 0
	for i := range 200 {
		ticket := mustAdmit(t, c, zero, testRequest(strconv.Itoa(i), "/get/x", "k3"))
		mustPlace(t, c, zero, ticket)
		if !c.MayReplace(zero, ticket) {
			c.Ended(zero, ticket, Answered)
			continue
		}
		replaced++
		if refusal := c.Ended(zero, ticket, Failed); refusal != nil {
			t.Fatalf("refused after the replacement was promised: %+v", *refusal)
		}
		if _, refusal := c.Place(zero, ticket); refusal != nil {
			t.Fatalf("refused after the replacement was promised: %+v", *refusal)
		}
		c.Ended(zero, ticket, Answered)
	}
	if replaced == 0 || replaced > 50 {
		t.Fatalf("%d of 200 requests were repeated, the contract permits 50", replaced)
	}
}

// TestCrash_ContentThatKillsThreeServersIsRefused sends the same content to two
// daemons under new IDs. Other content that was running at the same time must not
// be refused.
func TestCrash_ContentThatKillsThreeServersIsRefused(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	bad := testRequest("bad", "/talk/x", "k3")
	bad.Content = entity.Digest{1}
	good := testRequest("good", "/talk/x", "k3")
	good.Content = entity.Digest{2}
	for round := range 3 {
		now := at(time.Duration(round) * 10 * time.Second)
		c := []*Core{a, b}[round%2]
		a.Confirm(now)
		b.Confirm(now)
		for _, r := range []Request{bad, good} {
			ticket := mustAdmit(t, c, now, r)
			ticket.Route = &Route{Timeout: time.Minute, MaxServers: 1}
			attempt := mustPlace(t, c, now, ticket)
			if r.Content == bad.Content {
				c.Ended(now, ticket, Broken)
				c.RemoveServer(now.Add(time.Second), attempt.Server, 0)
				endProbes(c, now.Add(time.Second), Refused)
				continue
			}
			c.Ended(now, ticket, Answered)
		}
		afterDeath := now.Add(1100 * time.Millisecond)
		update := c.NextUpdate(afterDeath)
		for _, receiver := range []*Core{a, b} {
			receiver.ReceiveUpdate(afterDeath, &update, 0)
		}
	}
	for _, c := range []*Core{a, b} {
		c.Confirm(at(25 * time.Second))
		if _, refusal := c.Admit(at(25*time.Second), at(25*time.Second), bad); refusal == nil || refusal.Status != Unavailable {
			t.Errorf("content that crashed three servers is admitted: %+v", refusal)
		}
		mustAdmit(t, c, at(25*time.Second), good)
	}
}

// endProbes ends the probes that a core wants with a result.
func endProbes(c *Core, now time.Time, result ProbeResult) {
	for _, p := range c.TakeProbes() {
		if p.Path == "" { // those of a path go to other servers, and stay without a result here
			c.ProbeEnded(now, p, result)
		}
	}
}

func TestCrash_LostAnswersQuarantineNothing(t *testing.T) {
	c := newTestCore(t, "a")
	r := testRequest("r", "/get/x", "k3")
	r.Content = entity.Digest{1}
	for i := range 10 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		ticket := mustAdmit(t, c, now, r)
		mustPlace(t, c, now, ticket)
		c.Ended(now, ticket, Broken)
		c.Finish(now, ticket)
	}
}

// TestTick_UnseenDaemonsShareIsWithheld: a daemon that has just started and has
// received no updates must not spend the quota shares of the daemons that the table
// service lists.
func TestTick_UnseenDaemonsShareIsWithheld(t *testing.T) {
	c := newTestCore(t, "a")
	for i := range 9 {
		c.AddMember(zero, Member{Name: entity.InstanceID("p" + strconv.Itoa(i))})
	}
	admittedUnits := 0
	for i := range 400 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		c.Confirm(now)
		c.Tick(now)
		if _, refusal := c.Admit(now, now, testRequest("r", "/x", "k1")); refusal == nil {
			admittedUnits += 10
		}
	}
	if admittedUnits > 1000+4*100+50 { // the burst, and a tenth of the rate
		t.Fatalf("%d units admitted in 4 s of a rate of 1000/s shared by ten daemons", admittedUnits)
	}
}

func TestTick_CutOffDaemonSpendsItsShareOnly(t *testing.T) {
	c := newTestCore(t, "a")
	for i := range 9 {
		peer := newTestCore(t, "p"+strconv.Itoa(i))
		update := peer.NextUpdate(zero)
		c.ReceiveUpdate(zero, &update, 0)
	}
	c.Tick(at(100 * time.Millisecond))
	if got := c.admitUntilRefused(at(100 * time.Millisecond)); got < 900 {
		t.Fatalf("%d units admitted from a full bucket of 1000 while all daemons are reachable, want at least 900", got)
	}
	now := at(10 * time.Second)
	for i := range 9 {
		peer := newTestCore(t, "p"+strconv.Itoa(i))
		peer.sequence += 100
		update := peer.NextUpdate(now)
		c.ReceiveUpdate(now, &update, 0)
	}
	c.Tick(now)
	now = now.Add(450 * time.Millisecond)
	c.Tick(now)
	if got := c.admitUntilRefused(now); got > 150 {
		t.Fatalf("%d units admitted from a bucket of 1000 shared by ten daemons while no other one is reachable, want at most 150", got)
	}
}

// TestReceiveUpdate_InstancesWhoseClocksRestarted simulates a loss of power of all
// instances: the table service still lists the previous processes, and their start
// times are later than the current ones because the clocks have restarted at zero.
func TestReceiveUpdate_InstancesWhoseClocksRestarted(t *testing.T) {
	c, previous, restarted := newTestCore(t, "a"), newTestCoreProcess(t, "b", 1000), newTestCoreProcess(t, "b", 5)
	c.AddMember(zero, previous.cfg.Self)
	update := restarted.NextUpdate(zero)
	if c.ReceiveUpdate(zero, &update, 0); c.Ack("b") != restarted.sequence {
		t.Fatal("the update of a listed daemon is dropped after its clock has restarted")
	}
	update = previous.NextUpdate(at(time.Second))
	c.ReceiveUpdate(at(2*time.Second), &update, 0)
	update = restarted.NextUpdate(at(2100 * time.Millisecond))
	if c.ReceiveUpdate(at(2100*time.Millisecond), &update, 0); c.Ack("b") == restarted.sequence {
		t.Fatal("an update with an earlier start time replaced a process seen just now")
	}
	update = restarted.NextUpdate(at(4 * time.Second))
	if c.ReceiveUpdate(at(4*time.Second), &update, 0); c.Ack("b") != restarted.sequence {
		t.Fatal("the update of a silent daemon is dropped after its clock has restarted")
	}
}

func TestTick_MinorityRemembersTheOthersLonger(t *testing.T) {
	for _, silent := range []int{2, 7} {
		c := newTestCore(t, "a")
		for second := range 16 {
			now := at(time.Duration(second) * time.Second)
			for i := range 9 {
				if second > 0 && i < silent {
					continue
				}
				peer := newTestCore(t, "p"+strconv.Itoa(i))
				peer.sequence += uint32(second)
				update := peer.NextUpdate(now)
				c.ReceiveUpdate(now, &update, 0)
			}
			c.Tick(now)
		}
		if forgotten := c.peers.Len() == 9-silent; forgotten != (silent < 5) {
			t.Errorf("%d of 9 other daemons are known after %d of them were silent for 15 s", c.peers.Len(), silent)
		}
	}
}

// admitUntilRefused admits requests of one organisation until one is refused, and
// returns the units of the admitted ones.
func (c *Core) admitUntilRefused(now time.Time) int {
	c.Confirm(now)
	for admittedUnits := 0; ; admittedUnits += 10 {
		if _, refusal := c.Admit(now, now, testRequest("r", "/x", "k1")); refusal != nil {
			return admittedUnits
		}
	}
}

func TestPlace_LeftTimeShrinks(t *testing.T) {
	c := newTestCore(t, "d1")
	ticket := mustAdmit(t, c, zero, testRequest("r", "/get/x", "k1"))
	mustPlace(t, c, zero, ticket)
	c.Ended(at(600*time.Millisecond), ticket, Broken)
	if a := mustPlace(t, c, at(600*time.Millisecond), ticket); a.TimeLeft > 400*time.Millisecond {
		t.Fatalf("the second attempt has %v left, want at most 0.4 s", a.TimeLeft)
	}
}

func TestApplyConfirmation_DelayedMessageProvesNothingNew(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	b.Confirm(at(3 * time.Second))
	first := a.NextUpdate(at(3 * time.Second))
	b.ReceiveUpdate(at(3*time.Second), &first, 0)
	answer := b.NextUpdate(at(3100 * time.Millisecond))
	ack := b.Ack("a")
	// The answer is delayed by a minute, or daemon a is suspended meanwhile.
	a.ReceiveUpdate(at(time.Minute), &answer, ack)
	if _, age := a.Version(at(time.Minute)); age < 57*time.Second {
		t.Fatalf("a delayed message shortened the age of the confirmation to %v", age)
	}
	if a.Serving(at(time.Minute)) {
		t.Fatal("daemon a serves with a configuration confirmed a minute ago")
	}
}

func TestApplyConfirmation_PeerKeepsADaemonServing(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	for d := time.Duration(0); d < 20*time.Second; d += 100 * time.Millisecond {
		b.Confirm(at(d)) // only b reaches the table service
		fromA := a.NextUpdate(at(d))
		b.ReceiveUpdate(at(d), &fromA, a.Ack("b"))
		fromB := b.NextUpdate(at(d))
		a.ReceiveUpdate(at(d), &fromB, b.Ack("a"))
	}
	if !a.Serving(at(20 * time.Second)) {
		t.Fatal("a daemon that receives updates from a confirmed one does not serve")
	}
	b.SetDocument(at(20*time.Second), testDocument(2))
	for d := 20 * time.Second; d < 26*time.Second; d += 100 * time.Millisecond {
		b.Confirm(at(d))
		fromA := a.NextUpdate(at(d))
		b.ReceiveUpdate(at(d), &fromA, a.Ack("b"))
		fromB := b.NextUpdate(at(d))
		a.ReceiveUpdate(at(d), &fromB, b.Ack("a"))
	}
	if a.Serving(at(26 * time.Second)) {
		t.Fatal("a daemon was confirmed in an older version than its peer's")
	}
	a.NewerConfiguration(at(25 * time.Second))
	if m, ok := a.NewerConfiguration(at(26 * time.Second)); !ok || m.Name != "b" {
		t.Fatal("NewerConfiguration does not name the daemon that has the newer version")
	}
}

func TestReceiveUpdate_DrainingServerIsNotUsed(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	b.PutServer(at(time.Second), BackendServer{ID: "plain0", Born: 1, Service: "plain", Address: "x:1", Slots: 8, State: Draining})
	update := b.NextUpdate(at(1100 * time.Millisecond))
	a.ReceiveUpdate(at(1100*time.Millisecond), &update, 0)
	if a.usable(at(1200*time.Millisecond), "plain0") {
		t.Fatal("a server that another daemon knows to drain is still used")
	}
}

func TestAddresses_OnlyServingDaemons(t *testing.T) {
	a, b, s := newTestCore(t, "a"), newTestCore(t, "b"), newTestCore(t, "s")
	for _, c := range []*Core{b, s} {
		update := c.NextUpdate(zero)
		a.ReceiveUpdate(zero, &update, 0)
	}
	if got := a.Addresses(zero, "a"); len(got) != 3 {
		t.Fatalf("addresses %v, want three", got)
	}
	b.Leave(at(time.Minute))
	update := b.NextUpdate(at(100 * time.Millisecond))
	a.ReceiveUpdate(at(100*time.Millisecond), &update, 0)
	for _, address := range a.Addresses(at(200*time.Millisecond), "a") {
		if address == "b:1" {
			t.Fatal("Addresses names a daemon that is stopping")
		}
	}
	if got := a.Addresses(at(3*time.Second), "a"); len(got) != 1 {
		t.Fatalf("addresses %v, want one: silent daemons must not be named", got)
	}
}

func TestContend_LeavingHolderIsReplacedAtOnce(t *testing.T) {
	a, b, c := newTestCore(t, "a"), newTestCore(t, "b"), newTestCore(t, "c")
	a.LeaseAcquired(zero, zero, 3)
	a.Leave(at(8 * time.Second))
	for ms := range 300 {
		now := at(time.Duration(ms) * 10 * time.Millisecond)
		if ms%9 == 0 {
			for _, pair := range [][2]*Core{{a, b}, {a, c}, {b, c}, {c, b}} {
				update := pair[0].NextUpdate(now)
				pair[1].ReceiveUpdate(now, &update, 0)
			}
		}
		b.Confirm(now)
		c.Confirm(now)
		if ms < 100 && c.Contend(now) {
			t.Fatal("the second daemon in rank contends for the lease together with the first")
		}
		if b.Contend(now) {
			if now.After(at(500 * time.Millisecond)) {
				t.Fatalf("the first daemon contends for the lease only %v after the holder started to leave", now.Sub(zero))
			}
			return
		}
	}
	t.Fatal("no daemon contends for the lease of a holder that leaves")
}

// TestUsageComplete_WaitsForUnseenDaemons: a daemon that was suspended at the end
// of a window, or whose connections are established late, still has counts to
// report.
func TestUsageComplete_WaitsForUnseenDaemons(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	a.SetTrueTime(-time.Duration(zero.UnixNano())) // window 0 ends 5 s after zero
	b.SetTrueTime(-time.Duration(zero.UnixNano()))
	update := b.NextUpdate(at(4 * time.Second))
	a.ReceiveUpdate(at(4*time.Second), &update, 0)
	if a.UsageComplete(at(6500*time.Millisecond), 0) {
		t.Fatal("window 0 is complete, though a daemon has sent no update since its end")
	}
	update = b.NextUpdate(at(6600 * time.Millisecond))
	a.ReceiveUpdate(at(6600*time.Millisecond), &update, 0)
	if !a.UsageComplete(at(6700*time.Millisecond), 0) {
		t.Fatal("window 0 is not complete, though all daemons have sent updates since its end")
	}
	a.AddMember(at(6700*time.Millisecond), Member{Name: "c"})
	if a.UsageComplete(at(6800*time.Millisecond), 0) {
		t.Fatal("window 0 is complete, though a listed daemon has never sent an update")
	}
	if !a.UsageComplete(at(9*time.Second), 0) {
		t.Fatal("window 0 is not complete 4 s after its end because of a silent daemon")
	}
}

func TestUsageComplete_CountsOfLostUpdatesAreResent(t *testing.T) {
	a, b := newTestCore(t, "a"), newTestCore(t, "b")
	a.SetTrueTime(-time.Duration(zero.UnixNano())) // window 0 ends 5 s after zero
	b.SetTrueTime(-time.Duration(zero.UnixNano()))
	ticket := mustAdmit(t, b, zero, testRequest("r", "/x", "k1"))
	mustPlace(t, b, zero, ticket)
	b.Started(at(time.Second), ticket)
	fromA := a.NextUpdate(at(time.Second))
	b.ReceiveUpdate(at(time.Second), &fromA, 0)
	for i := range 10 {
		b.NextUpdate(at(time.Second + time.Duration(i)*90*time.Millisecond)) // lost
	}
	late := b.NextUpdate(at(4990 * time.Millisecond))
	a.ReceiveUpdate(at(6500*time.Millisecond), &late, 0)
	if a.UsageComplete(at(6600*time.Millisecond), 0) {
		t.Fatal("window 0 is complete by an update that was sent before its end")
	}
	update := b.NextUpdate(at(6600 * time.Millisecond))
	a.ReceiveUpdate(at(6600*time.Millisecond), &update, 0)
	if got := a.UsageCounts(0)["small"]; !a.UsageComplete(at(6700*time.Millisecond), 0) || got != 1 {
		t.Fatalf("%d requests counted, 1 ran", got)
	}
}

func TestReceiveUpdate_AckOfPreviousProcessIsIgnored(t *testing.T) {
	previous, a, b := newTestCore(t, "a"), newTestCoreProcess(t, "a", 7), newTestCore(t, "b")
	for range 500 {
		update := previous.NextUpdate(zero)
		b.ReceiveUpdate(zero, &update, 0)
	}
	a.SetTrueTime(-time.Duration(zero.UnixNano()))
	ticket := mustAdmit(t, a, zero, testRequest("r", "/x", "k1"))
	mustPlace(t, a, zero, ticket)
	a.Started(zero, ticket)
	for range 5 {
		a.NextUpdate(zero) // lost
		update := b.NextUpdate(zero)
		a.ReceiveUpdate(zero, &update, b.Ack("a"))
	}
	if update := a.NextUpdate(zero); len(update.Usage) == 0 {
		t.Fatal("a count is no longer reported, though only updates of the previous process were received")
	}
}

func TestUsage_CountsRequestsStartedBeforeTrueTimeIsKnown(t *testing.T) {
	c := newTestCore(t, "d1")
	ticket := mustAdmit(t, c, zero, testRequest("r", "/x", "k1"))
	mustPlace(t, c, zero, ticket)
	c.Started(at(time.Second), ticket)
	c.SetTrueTime(0)
	window := c.usage.Window(c.sinceUnixEpoch(at(time.Second)))
	if got := c.UsageCounts(window)["small"]; got != 1 {
		t.Fatalf("%d requests counted, want the 1 that started", got)
	}
}

func TestRank_OrganisationBeforeRoute(t *testing.T) {
	low := &Ticket{Route: &Route{Priority: 0}, Org: &Organisation{Priority: 2, HasPriority: true}}
	high := &Ticket{Route: &Route{Priority: 1}, Org: &Organisation{Priority: 1, HasPriority: true}}
	if priorityRank(low) <= priorityRank(high) {
		t.Fatalf("ranks %d and %d: the organisation's priority must go first", priorityRank(low), priorityRank(high))
	}
}

func TestProblems_NameWhereAndWhy(t *testing.T) {
	if p := testDocument(1).Problems(); len(p) != 0 {
		t.Fatalf("a valid configuration has the problems %v", p)
	}
	d := testDocument(1)
	d.Routes[0].Prefix = "x"
	d.Routes[1].Targets = []Target{{"nobody", -1}}
	d.Routes[2].Targets = nil
	d.Organisations[1].Keys = []string{"k1"}
	got := strings.Join(d.Problems(), "\n")
	for _, want := range []string{`route "all": prefix "x"`, `route "get": service "nobody" is not defined`, "negative weight", `route "talk": names no service`, `organisation "large": a key`} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
}

func TestPick_FollowsWeights(t *testing.T) {
	targets := []Target{{"a", 90}, {"b", 10}, {"c", 0}}
	counts := map[entity.ServiceName]int{}
	for i := range 5000 {
		counts[pickTarget(targets, entity.RequestID(strconv.Itoa(i)))]++
	}
	if counts["b"] < 350 || counts["b"] > 650 || counts["c"] != 0 {
		t.Fatalf("services picked %v times in 5000, want about 4500, 500 and 0", counts)
	}
}
