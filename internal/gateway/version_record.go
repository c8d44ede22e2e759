package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/streamversion"
)

const (
	// versionCheckInterval is the time between two checks whether the row of recorded versions
	// is to be read.
	versionCheckInterval = 50 * time.Millisecond
	// versionAnswerTTL is how long after a question its answer is used: a later one may lack
	// versions that have been recorded meanwhile.
	versionAnswerTTL = time.Second

	versionPartition = "streams"
	versionRow       = "versions"
)

// versionAnswer is the answer of a daemon that knows all recorded versions.
type versionAnswer struct {
	Number   uint64                       `cbor:"1,keyasint"` // of the question
	Versions []streamversion.KnownVersion `cbor:"2,keyasint,omitempty"`
}

// versionQuestion is the question for the recorded versions that was asked last.
type versionQuestion struct {
	mu     sync.Mutex
	number uint64
	at     time.Time
}

// ask returns the number of a new question.
func (q *versionQuestion) ask(now time.Time) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.number, q.at = rand.Uint64()|1, now // never 0, which asks nothing
	return q.number
}

// accepts reports whether an answer to the question with this number is still used.
func (q *versionQuestion) accepts(now time.Time, number uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return number == q.number && now.Sub(q.at) < versionAnswerTTL
}

// runVersionRecord reads the row of recorded versions and records new ones until the context ends.
func (g *Gateway) runVersionRecord(runCtx context.Context) {
	failing := false
	for clock.Wait(runCtx, versionCheckInterval) {
		due, lacking := g.versionCallDue()
		if !due {
			continue
		}
		if lacking {
			g.askVersions()
		}
		err := g.updateVersionRow(runCtx)
		if err != nil && !failing && runCtx.Err() == nil {
			g.event(event.StreamVersionsNotRecorded, "", event.A("error", err.Error()))
		}
		failing = err != nil
	}
}

// versionCallDue reports whether the row is to be read now, and whether this daemon lacks
// recorded versions until then.
func (g *Gateway) versionCallDue() (due, lacking bool) {
	g.withCore(func(c *exchange.Core, now time.Time) {
		if due = c.VersionCallDue(now); due {
			c.VersionCallBegins(now)
			lacking = c.LacksVersions(now)
		}
	})
	return due, lacking
}

// updateVersionRow reads the row and writes it, if a version is to be recorded or removed. The first
// daemon of a deployment, without which a row is not complete for long, tries again at once if
// another one has written the row meanwhile.
func (g *Gateway) updateVersionRow(runCtx context.Context) error {
	err := g.tryVersionRow(runCtx)
	if errors.Is(err, provider.ErrConditionFailed) && g.isNewDeployment() {
		err = g.tryVersionRow(runCtx)
	}
	if errors.Is(err, provider.ErrConditionFailed) {
		return nil // it is read again
	}
	return err
}

// tryVersionRow reads the row and writes it, if it is to be written.
func (g *Gateway) tryVersionRow(runCtx context.Context) error {
	ctx, cancel := context.WithTimeout(runCtx, tableTimeout)
	defer cancel()
	read, version, err := g.readVersionRow(ctx)
	if err != nil {
		return err
	}
	var next streamversion.Row
	var write bool
	g.withCore(func(c *exchange.Core, now time.Time) { next, write = c.VersionRowRead(now, read) })
	if !write {
		return nil
	}
	err = g.writeVersionRow(ctx, &next, version)
	if errors.Is(err, provider.ErrConditionFailed) {
		return err
	}
	if err != nil {
		g.withCore(func(c *exchange.Core, _ time.Time) { c.VersionRowFailed() })
		return err
	}
	g.withCore(func(c *exchange.Core, now time.Time) { c.VersionRowWritten(now, &next) })
	return nil
}

// errNoGeneration: no answer of the table service has shown its generation yet.
var errNoGeneration = errors.New("generation of the table service not known yet")

// readVersionRow reads the row. A row that cannot be decoded may have had any version, and is
// written anew.
func (g *Gateway) readVersionRow(ctx context.Context) (read *streamversion.Read, version uint64, err error) {
	g.meter.countVersionCall("read")
	read = &streamversion.Read{NewDeployment: g.isNewDeployment()}
	row, err := g.Table.Get(ctx, versionPartition, versionRow, true)
	if errors.Is(err, provider.ErrNotFound) {
		var known bool
		if read.Generation, _, known = g.generations.current(); !known {
			return nil, 0, errNoGeneration
		}
		read.Absent = true
		return read, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	read.Generation = provider.Generation(row.Version)
	if err := codec.Decode(row.Value, &read.Row); err != nil {
		g.event(event.StreamVersionsNotRecorded, "", event.A("error", err.Error()))
		read.Row = streamversion.Row{}
	}
	return read, row.Version, nil
}

func (g *Gateway) writeVersionRow(ctx context.Context, row *streamversion.Row, version uint64) error {
	g.meter.countVersionCall("write")
	value, err := codec.Encode(row)
	if err != nil {
		return err
	}
	write := provider.Write{Partition: versionPartition, Sort: versionRow, Value: value, IfVersion: version}
	return g.Table.Transact(ctx, "", []provider.Write{write})
}

// askVersions asks one of the other daemons for all recorded versions.
func (g *Gateway) askVersions() {
	transport := g.transport.Load()
	var peers []exchange.Member
	g.withCore(func(c *exchange.Core, _ time.Time) { peers = c.Peers() })
	if transport == nil || len(peers) == 0 {
		return
	}
	m := peers[rand.IntN(len(peers))]
	g.sendMessage(transport.Send, peer.Address{ID: m.Name, Addr: m.PeerAddr}, message{AskVersions: g.versionQuestion.ask(clock.Now())})
}

// receiveVersions handles what a message asks or says of the recorded versions.
func (g *Gateway) receiveVersions(m *message, reply func(message)) {
	if m.AskVersions != 0 {
		answer, complete := versionAnswer{Number: m.AskVersions}, false
		g.withCore(func(c *exchange.Core, now time.Time) { answer.Versions, complete = c.RecordedVersions(now) })
		if complete {
			reply(message{VersionAnswer: &answer})
		}
	}
	if a := m.VersionAnswer; a != nil && g.versionQuestion.accepts(clock.Now(), a.Number) {
		g.withCore(func(c *exchange.Core, now time.Time) { c.ReceiveAllRecorded(now, a.Versions) })
	}
}
