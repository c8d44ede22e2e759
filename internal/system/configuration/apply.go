package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/servicedoc"
	"github.com/gooseberryslip/gooseberryslip/internal/tomldoc"
)

// Change is an operator's change of one service document.
type Change struct {
	Operation    string             `json:"operation"` // unique to the change; the same for a repeated call
	Service      entity.ServiceName `json:"service"`
	Text         string             `json:"text"`          // TOML; empty deletes the service
	ReadRevision uint64             `json:"read_revision"` // of the document that was edited or found deleted; 0: never existed
	Author       string             `json:"author"`
}

// Status is how a change ended.
type Status string

const (
	// Applied: the change is accepted under the outcome's revision.
	Applied Status = "applied"
	// Conflict: the document is not the one that was edited; nothing was written.
	Conflict Status = "conflict"
	// Refused: the change is faulty; nothing was written.
	Refused Status = "refused"
	// Unavailable: the table did not answer in time.
	Unavailable Status = "unavailable"
)

// ApplyOutcome is the end of a change.
type ApplyOutcome struct {
	Operation string             `json:"operation"`
	Service   entity.ServiceName `json:"service"`
	Status    Status             `json:"status"`
	Revision  uint64             `json:"revision,omitempty"` // Applied
	Theirs    Document           `json:"theirs,omitzero"`    // Conflict: what the table holds
	Yours     string             `json:"yours,omitempty"`    // Conflict: the text that was not written
	Problems  tomldoc.Problems   `json:"problems,omitempty"` // Refused
	// MayHaveTakenEffect: Unavailable after a write whose reply is lost. The
	// same change under the same operation id may be repeated and tells.
	MayHaveTakenEffect bool `json:"may_have_taken_effect,omitempty"`
}

const (
	maxOperationBytes = 128
	applyRetry        = 300 * time.Millisecond
	tokenBytes        = 16
)

// change is a Change on its way.
type change struct {
	Change
	service    *entity.Service // nil when the service is deleted
	acceptedAt time.Time
	retryAt    time.Time // zero while waiting for results
	waiting    int       // rows asked for
	err        error     // of a row asked for
	document   Document
	version    uint64 // of the document's row; 0: none
	head       headRow
	headRow    uint64 // version of the head row
	writing    bool   // a write has been sent and has no result yet
	unknown    bool   // a write's outcome is not known
	done       bool
}

func (ch *change) deadline() time.Time { return ch.acceptedAt.Add(ApplyTimeout) }

func (ch *change) wake() time.Time { return earlier(ch.deadline(), ch.retryAt) }

// Apply starts a change. Its outcome comes in Ready. A change with the
// operation id of one that is on its way joins that one.
func (c *Configuration) Apply(now time.Time, request Change) {
	ch := &change{Change: request, acceptedAt: now}
	if problems := ch.parse(); len(problems) > 0 {
		c.refuse(now, ch, problems)
		return
	}
	for _, other := range c.changes {
		if other.Operation == ch.Operation && other.Change == ch.Change {
			return
		}
		if other.Operation == ch.Operation {
			c.refuse(now, ch, problem(string(ch.Service), "operation id %q belongs to another change on its way", ch.Operation))
			return
		}
	}
	c.changes = append(c.changes, ch)
	c.readRows(ch)
}

func problem(name, format string, args ...any) tomldoc.Problems {
	return tomldoc.Problems{{File: name, Reason: fmt.Sprintf(format, args...)}}
}

// parse checks a change by itself.
func (ch *change) parse() tomldoc.Problems {
	name := string(ch.Service)
	if ch.Operation == "" || len(ch.Operation) > maxOperationBytes {
		return problem(name, "the operation id must have 1 to %d bytes", maxOperationBytes)
	}
	if ch.Text == "" {
		return nil
	}
	s, err := servicedoc.Parse(name+".toml", []byte(ch.Text))
	if err != nil {
		return asProblems(name, err)
	}
	if s.Name != ch.Service {
		return problem(name, "the document is that of service %q", s.Name)
	}
	ch.service = s
	return nil
}

func asProblems(name string, err error) tomldoc.Problems {
	var p tomldoc.Problems
	if errors.As(err, &p) {
		return p
	}
	return problem(name, "%v", err)
}

func (c *Configuration) tickChanges(now time.Time) {
	for _, ch := range slices.Clone(c.changes) {
		switch {
		case !now.Before(ch.deadline()):
			c.giveUp(now, ch)
		case !ch.retryAt.IsZero() && !now.Before(ch.retryAt):
			c.readRows(ch)
		}
	}
}

// readRows asks for the document and the head as they are now.
func (c *Configuration) readRows(ch *change) {
	ch.retryAt, ch.err, ch.waiting = time.Time{}, nil, 2
	c.issue(readDocument(ch.Service, true), c.step(ch, c.changeDocumentRead))
	c.issue(readHead(), c.step(ch, c.changeHeadRead))
}

// step returns a continuation that does nothing once the change has ended.
func (c *Configuration) step(ch *change, f func(time.Time, *change, provider.Result)) func(time.Time, provider.Result) {
	return func(now time.Time, r provider.Result) {
		if !ch.done {
			f(now, ch, r)
		}
	}
}

func (c *Configuration) changeDocumentRead(now time.Time, ch *change, r provider.Result) {
	ch.document, ch.version = Document{Deleted: true}, 0
	if r.Err == nil {
		ch.version = r.Row.Version
		ch.document, r.Err = decodeDocument(r.Row)
	}
	c.rowRead(now, ch, r.Err)
}

func (c *Configuration) changeHeadRead(now time.Time, ch *change, r provider.Result) {
	ch.head, ch.headRow = headRow{}, 0
	if r.Err == nil {
		ch.headRow = r.Row.Version
		r.Err = codec.Decode(r.Row.Value, &ch.head)
	}
	c.rowRead(now, ch, r.Err)
}

func (c *Configuration) rowRead(now time.Time, ch *change, err error) {
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		ch.err = err
	}
	ch.waiting--
	if ch.waiting > 0 {
		return
	}
	if ch.err != nil {
		c.retry(now, ch)
		return
	}
	c.decide(now, ch)
}

func (c *Configuration) retry(now time.Time, ch *change) {
	ch.retryAt = now.Add(c.jitter(applyRetry))
}

// decide compares the change with the rows read.
func (c *Configuration) decide(now time.Time, ch *change) {
	switch {
	case ch.document.Operation == ch.Operation:
		c.recognise(now, ch, ch.document)
	case ch.document.Revision != ch.ReadRevision:
		c.searchHistory(ch)
	default:
		c.checkAndWrite(now, ch)
	}
}

// recognise ends a change whose operation id the table already holds.
func (c *Configuration) recognise(now time.Time, ch *change, doc Document) {
	if doc.Text != ch.Text {
		c.refuse(now, ch, problem(string(ch.Service), "operation id %q was used for another change, revision %d", ch.Operation, doc.Revision))
		return
	}
	c.applied(now, ch, doc)
}

// checkAndWrite checks the change against the document it replaces and against
// all others. The write is conditional on the head row, so that the others
// cannot have changed in between once this daemon has all up to that head.
func (c *Configuration) checkAndWrite(now time.Time, ch *change) {
	if ch.document.Deleted && ch.Text == "" {
		c.refuse(now, ch, problem(string(ch.Service), "there is no such service"))
		return
	}
	if !c.loaded || c.revision < ch.head.Revision {
		c.hear(now, ch.head.Revision)
		c.retry(now, ch)
		return
	}
	if problems := c.check(ch); len(problems) > 0 {
		c.refuse(now, ch, problems)
		return
	}
	c.write(ch)
}

// check returns why the change cannot follow on what is in force.
func (c *Configuration) check(ch *change) tomldoc.Problems {
	name := string(ch.Service) + ".toml"
	// A document that this release cannot read may be replaced.
	from, _ := ch.document.parse()
	if err := servicedoc.CheckChange(name, from, ch.service); err != nil {
		return asProblems(name, err)
	}
	if err := servicedoc.CheckAgainst(name, ch.service, c.Services()); err != nil {
		return asProblems(name, err)
	}
	return nil
}

// token names the very write that a daemon decides on, so that its repetition
// is harmless; any other write of the operation fails its conditions. It has 32
// bytes, since table services limit the length of tokens.
func (c *Configuration) token(ch *change) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d\x00%d\x00%d",
		ch.Operation, c.cfg.Self, ch.acceptedAt.UnixMicro(), ch.version, ch.headRow))
	return hex.EncodeToString(sum[:tokenBytes])
}

// write asks for the transaction that makes the change.
func (c *Configuration) write(ch *change) {
	revision := max(ch.head.Revision, c.revision) + 1
	doc := Document{
		Service: ch.Service, Revision: revision, Operation: ch.Operation, Author: ch.Author,
		Micros: ch.acceptedAt.UnixMicro(), Text: ch.Text, Deleted: ch.Text == "",
	}
	value, err := codec.Encode(doc)
	if err != nil {
		panic(err) // a Document always encodes
	}
	head, err := codec.Encode(ch.head.with(revision, ch.Service))
	if err != nil {
		panic(err)
	}
	ch.writing = true
	c.issue(provider.Operation{
		Kind:  provider.TransactRows,
		Token: c.token(ch),
		Writes: []provider.Write{
			{Partition: configPartition, Sort: documentSort(ch.Service), Value: value, IfVersion: ch.version},
			{Partition: configPartition, Sort: headSort, Value: head, IfVersion: ch.headRow},
			{Partition: historyOf(ch.Service), Sort: historySort(ch.version + 1), Value: value, Unconditional: true},
		},
	}, c.step(ch, func(now time.Time, ch *change, r provider.Result) { c.written(now, ch, doc, r) }))
}

func (c *Configuration) written(now time.Time, ch *change, doc Document, r provider.Result) {
	ch.writing = false
	switch {
	case r.Err == nil:
		c.applied(now, ch, doc)
	case errors.Is(r.Err, provider.ErrConditionFailed):
		c.readRows(ch) // somebody else changed the document or the head
	case errors.Is(r.Err, provider.ErrUnavailable):
		c.retry(now, ch)
	default:
		ch.unknown = true
		c.retry(now, ch)
	}
}

// searchHistory looks for an earlier effect of the change: its reply may have
// been lost and another change may have come after it.
func (c *Configuration) searchHistory(ch *change) {
	c.issue(readHistory(ch.Service), c.step(ch, c.historySearched))
}

func (c *Configuration) historySearched(now time.Time, ch *change, r provider.Result) {
	if r.Err != nil {
		c.retry(now, ch)
		return
	}
	for _, doc := range decodeHistory(r.Rows) {
		if doc.Operation == ch.Operation {
			c.recognise(now, ch, doc)
			return
		}
	}
	c.emit(now, event.ConfigurationConflict, ch.Service, ch.Operation)
	c.finish(ch, ApplyOutcome{Status: Conflict, Theirs: ch.document, Yours: ch.Text})
}

func (c *Configuration) refuse(now time.Time, ch *change, problems tomldoc.Problems) {
	c.emit(now, event.ConfigurationRefused, ch.Service, problems[0].String())
	c.finish(ch, ApplyOutcome{Status: Refused, Problems: problems})
}

func (c *Configuration) giveUp(now time.Time, ch *change) {
	c.emit(now, event.ConfigurationUndecided, ch.Service, ch.Operation)
	c.finish(ch, ApplyOutcome{Status: Unavailable, MayHaveTakenEffect: ch.unknown || ch.writing})
}

// applied ends a change that the table holds and spreads the news.
func (c *Configuration) applied(now time.Time, ch *change, doc Document) {
	c.emit(now, event.ConfigurationApplied, ch.Service, fmt.Sprintf("revision %d by %s", doc.Revision, doc.Author))
	if c.loaded {
		c.install(now, doc)
	}
	if c.loaded && doc.Revision == c.revision+1 {
		c.advance(now, doc.Revision)
	}
	c.hear(now, doc.Revision)
	c.finish(ch, ApplyOutcome{Status: Applied, Revision: doc.Revision})
}

func (c *Configuration) finish(ch *change, o ApplyOutcome) {
	ch.done = true
	c.changes = slices.DeleteFunc(c.changes, func(other *change) bool { return other == ch })
	o.Operation, o.Service = ch.Operation, ch.Service
	c.ready.Outcomes = append(c.ready.Outcomes, o)
}
