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
	Operation    string             `json:"operation"` // id unique to the change; a repeated call has the same
	Service      entity.ServiceName `json:"service"`
	Text         string             `json:"text"`          // TOML; empty deletes the service
	ReadRevision uint64             `json:"read_revision"` // revision of the document that was edited or found deleted; 0: the service never existed
	Author       string             `json:"author"`
}

// Status is the outcome of a change.
type Status string

const (
	// Applied: the change is accepted under the outcome's revision.
	Applied Status = "applied"
	// Conflict: the stored document is no longer the one that was edited;
	// nothing was written.
	Conflict Status = "conflict"
	// Refused: the change is invalid; nothing was written.
	Refused Status = "refused"
	// Unavailable: the table did not answer in time.
	Unavailable Status = "unavailable"
)

// ApplyOutcome reports how a change ended.
type ApplyOutcome struct {
	Operation       string             `json:"operation"`
	Service         entity.ServiceName `json:"service"`
	Status          Status             `json:"status"`
	Revision        uint64             `json:"revision,omitempty"` // Applied
	CurrentDocument Document           `json:"theirs,omitzero"`    // Conflict: the document in the table
	SubmittedText   string             `json:"yours,omitempty"`    // Conflict: the text that was not written
	Problems        tomldoc.Problems   `json:"problems,omitempty"` // Refused
	// MayHaveTakenEffect is set with Unavailable if a write was sent and its
	// result is not known. To find out, the same change may be applied again
	// with the same operation id.
	MayHaveTakenEffect bool `json:"may_have_taken_effect,omitempty"`
}

const (
	maxOperationBytes = 128
	applyRetryDelay   = 300 * time.Millisecond
	tokenBytes        = 16
)

// pendingChange is a Change that has not ended.
type pendingChange struct {
	Change
	service         *entity.Service // nil if the change deletes the service
	acceptedAt      time.Time
	retryAt         time.Time // when the rows are read again; zero while results are pending
	pendingReads    int       // number of reads without result
	readErr         error     // of the last failed read
	document        Document
	documentVersion uint64 // version of the document's row; 0: there is none
	head            headRow
	headVersion     uint64 // version of the head row; 0: there is none
	writePending    bool   // a write has been sent and its result has not arrived
	outcomeUnknown  bool   // the table has not reported whether an earlier write took effect
	done            bool
}

func (ch *pendingChange) deadline() time.Time { return ch.acceptedAt.Add(ApplyTimeout) }

func (ch *pendingChange) nextDueAt() time.Time { return earliestNonZero(ch.deadline(), ch.retryAt) }

// Apply starts a change. Its outcome is returned by Ready. A change that
// repeats one in progress, with the same operation id, shares that one's
// outcome.
func (c *Configuration) Apply(now time.Time, request Change) {
	ch := &pendingChange{Change: request, acceptedAt: now}
	if problems := ch.parseAndCheck(); len(problems) > 0 {
		c.refuseChange(now, ch, problems)
		return
	}
	for _, other := range c.changes {
		if other.Operation == ch.Operation && other.Change == ch.Change {
			return
		}
		if other.Operation == ch.Operation {
			c.refuseChange(now, ch, newProblems(string(ch.Service), "operation id %q belongs to another change on its way", ch.Operation))
			return
		}
	}
	c.changes = append(c.changes, ch)
	c.readChangeRows(ch)
}

func newProblems(name, format string, args ...any) tomldoc.Problems {
	return tomldoc.Problems{{File: name, Reason: fmt.Sprintf(format, args...)}}
}

// parseAndCheck parses the document of a change and checks it without regard to
// other documents.
func (ch *pendingChange) parseAndCheck() tomldoc.Problems {
	name := string(ch.Service)
	if ch.Operation == "" || len(ch.Operation) > maxOperationBytes {
		return newProblems(name, "the operation id must have 1 to %d bytes", maxOperationBytes)
	}
	if ch.Text == "" {
		return nil
	}
	s, err := servicedoc.Parse(name+".toml", []byte(ch.Text))
	if err != nil {
		return asProblems(name, err)
	}
	if s.Name != ch.Service {
		return newProblems(name, "the document is that of service %q", s.Name)
	}
	ch.service = s
	return nil
}

func asProblems(name string, err error) tomldoc.Problems {
	var p tomldoc.Problems
	if errors.As(err, &p) {
		return p
	}
	return newProblems(name, "%v", err)
}

func (c *Configuration) tickChanges(now time.Time) {
	for _, ch := range slices.Clone(c.changes) {
		switch {
		case !now.Before(ch.deadline()):
			c.timeOutChange(now, ch)
		case !ch.retryAt.IsZero() && !now.Before(ch.retryAt):
			c.readChangeRows(ch)
		}
	}
}

// readChangeRows requests the document's row and the head row in their present
// versions.
func (c *Configuration) readChangeRows(ch *pendingChange) {
	ch.retryAt, ch.readErr, ch.pendingReads = time.Time{}, nil, 2
	c.issueOperation(readDocument(ch.Service, true), c.unlessDone(ch, c.changeDocumentRead))
	c.issueOperation(readHead(), c.unlessDone(ch, c.changeHeadRead))
}

// unlessDone returns a result handler that calls f unless the change has ended.
func (c *Configuration) unlessDone(ch *pendingChange, f func(time.Time, *pendingChange, provider.Result)) func(time.Time, provider.Result) {
	return func(now time.Time, r provider.Result) {
		if !ch.done {
			f(now, ch, r)
		}
	}
}

func (c *Configuration) changeDocumentRead(now time.Time, ch *pendingChange, r provider.Result) {
	ch.document, ch.documentVersion = Document{Deleted: true}, 0
	if r.Err == nil {
		ch.documentVersion = r.Row.Version
		ch.document, r.Err = decodeDocument(r.Row)
	}
	c.changeRowRead(now, ch, r.Err)
}

func (c *Configuration) changeHeadRead(now time.Time, ch *pendingChange, r provider.Result) {
	ch.head, ch.headVersion = headRow{}, 0
	if r.Err == nil {
		ch.headVersion = r.Row.Version
		r.Err = codec.Decode(r.Row.Value, &ch.head)
	}
	c.changeRowRead(now, ch, r.Err)
}

func (c *Configuration) changeRowRead(now time.Time, ch *pendingChange, err error) {
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		ch.readErr = err
	}
	ch.pendingReads--
	if ch.pendingReads > 0 {
		return
	}
	if ch.readErr != nil {
		c.retryChange(now, ch)
		return
	}
	c.compareWithTable(now, ch)
}

func (c *Configuration) retryChange(now time.Time, ch *pendingChange) {
	ch.retryAt = now.Add(c.jitter(applyRetryDelay))
}

// compareWithTable decides from the rows read how the change continues.
func (c *Configuration) compareWithTable(now time.Time, ch *pendingChange) {
	switch {
	case ch.document.Operation == ch.Operation:
		c.completeRepeated(now, ch, ch.document)
	case ch.document.Revision != ch.ReadRevision:
		c.searchHistory(ch)
	default:
		c.checkAndWrite(now, ch)
	}
}

// completeRepeated ends a change whose operation id is that of a document in
// the table.
func (c *Configuration) completeRepeated(now time.Time, ch *pendingChange, doc Document) {
	if doc.Text != ch.Text {
		c.refuseChange(now, ch, newProblems(string(ch.Service), "operation id %q was used for another change, revision %d", ch.Operation, doc.Revision))
		return
	}
	c.completeApplied(now, ch, doc)
}

// checkAndWrite checks the change against the document that it replaces and
// against all other documents, and writes it. This daemon must have every
// change up to the head row that it has read. The write is conditional on that
// row, so that no other document can have changed in between.
func (c *Configuration) checkAndWrite(now time.Time, ch *pendingChange) {
	if ch.document.Deleted && ch.Text == "" {
		c.refuseChange(now, ch, newProblems(string(ch.Service), "there is no such service"))
		return
	}
	if !c.loaded || c.revision < ch.head.Revision {
		c.observeRevision(now, ch.head.Revision)
		c.retryChange(now, ch)
		return
	}
	if problems := c.checkChange(ch); len(problems) > 0 {
		c.refuseChange(now, ch, problems)
		return
	}
	c.writeChange(ch)
}

// checkChange returns the reasons why the change is not valid with the
// documents in force.
func (c *Configuration) checkChange(ch *pendingChange) tomldoc.Problems {
	name := string(ch.Service) + ".toml"
	// A document that this release cannot parse may be replaced.
	previous, _ := ch.document.parseService()
	if err := servicedoc.CheckChange(name, previous, ch.service); err != nil {
		return asProblems(name, err)
	}
	if err := servicedoc.CheckConflicts(name, ch.service, c.Services()); err != nil {
		return asProblems(name, err)
	}
	return nil
}

// writeToken returns the token that identifies one write, so that its
// repetition has no further effect; any other write of the same operation fails
// its version conditions. It has 32 characters, since table services limit the
// length of tokens.
func (c *Configuration) writeToken(ch *pendingChange) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%d\x00%d\x00%d",
		ch.Operation, c.cfg.Self, ch.acceptedAt.UnixMicro(), ch.documentVersion, ch.headVersion))
	return hex.EncodeToString(sum[:tokenBytes])
}

// writeChange requests the transaction that stores the change.
func (c *Configuration) writeChange(ch *pendingChange) {
	revision := max(ch.head.Revision, c.revision) + 1
	doc := Document{
		Service: ch.Service, Revision: revision, Operation: ch.Operation, Author: ch.Author,
		Micros: ch.acceptedAt.UnixMicro(), Text: ch.Text, Deleted: ch.Text == "",
	}
	value, err := codec.Encode(doc)
	if err != nil {
		panic(err) // cannot happen: a Document always encodes
	}
	head, err := codec.Encode(ch.head.withChange(revision, ch.Service))
	if err != nil {
		panic(err)
	}
	ch.writePending = true
	c.issueOperation(provider.Operation{
		Kind:  provider.TransactRows,
		Token: c.writeToken(ch),
		Writes: []provider.Write{
			{Partition: configPartition, Sort: documentSortKey(ch.Service), Value: value, IfVersion: ch.documentVersion},
			{Partition: configPartition, Sort: headSortKey, Value: head, IfVersion: ch.headVersion},
			{Partition: historyPartitionOf(ch.Service), Sort: historySortKey(ch.documentVersion + 1), Value: value, Unconditional: true},
		},
	}, c.unlessDone(ch, func(now time.Time, ch *pendingChange, r provider.Result) { c.changeWritten(now, ch, doc, r) }))
}

func (c *Configuration) changeWritten(now time.Time, ch *pendingChange, doc Document, r provider.Result) {
	ch.writePending = false
	switch {
	case r.Err == nil:
		c.completeApplied(now, ch, doc)
	case errors.Is(r.Err, provider.ErrConditionFailed):
		c.readChangeRows(ch) // another daemon has changed the document or the head row
	case errors.Is(r.Err, provider.ErrUnavailable):
		c.retryChange(now, ch)
	default:
		ch.outcomeUnknown = true
		c.retryChange(now, ch)
	}
}

// searchHistory reads the service's history to find out whether the change has
// taken effect already: the reply may have been lost, and another change may
// have been made after it.
func (c *Configuration) searchHistory(ch *pendingChange) {
	c.issueOperation(readHistory(ch.Service), c.unlessDone(ch, c.changeHistoryRead))
}

func (c *Configuration) changeHistoryRead(now time.Time, ch *pendingChange, r provider.Result) {
	if r.Err != nil {
		c.retryChange(now, ch)
		return
	}
	for _, doc := range decodeHistory(r.Rows) {
		if doc.Operation == ch.Operation {
			c.completeRepeated(now, ch, doc)
			return
		}
	}
	c.emit(now, event.ConfigurationChangeConflict, ch.Service, ch.Operation)
	c.finishChange(ch, ApplyOutcome{Status: Conflict, CurrentDocument: ch.document, SubmittedText: ch.Text})
}

func (c *Configuration) refuseChange(now time.Time, ch *pendingChange, problems tomldoc.Problems) {
	c.emit(now, event.ConfigurationChangeRefused, ch.Service, problems[0].String())
	c.finishChange(ch, ApplyOutcome{Status: Refused, Problems: problems})
}

func (c *Configuration) timeOutChange(now time.Time, ch *pendingChange) {
	c.emit(now, event.ConfigurationChangeUndecided, ch.Service, ch.Operation)
	c.finishChange(ch, ApplyOutcome{Status: Unavailable, MayHaveTakenEffect: ch.outcomeUnknown || ch.writePending})
}

// completeApplied ends a change that is stored in the table and announces its
// revision.
func (c *Configuration) completeApplied(now time.Time, ch *pendingChange, doc Document) {
	c.emit(now, event.ConfigurationChangeAccepted, ch.Service, fmt.Sprintf("revision %d by %s", doc.Revision, doc.Author))
	if c.loaded {
		c.installDocument(now, doc)
	}
	if c.loaded && doc.Revision == c.revision+1 {
		c.advanceRevision(now, doc.Revision)
	}
	c.observeRevision(now, doc.Revision)
	c.finishChange(ch, ApplyOutcome{Status: Applied, Revision: doc.Revision})
}

func (c *Configuration) finishChange(ch *pendingChange, o ApplyOutcome) {
	ch.done = true
	c.changes = slices.DeleteFunc(c.changes, func(other *pendingChange) bool { return other == ch })
	o.Operation, o.Service = ch.Operation, ch.Service
	c.ready.Outcomes = append(c.ready.Outcomes, o)
}
