package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/peer"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
	"github.com/gooseberryslip/gooseberryslip/internal/system/feedlog"
)

// While the table service answers a daemon, its list of backend servers lacks no change that was
// made longer ago than Settings.DrainLimit, after which a draining server must get nothing. The
// ages and waits that add up to less than that limit are ratios of it.
const (
	// maxFeedAgeRatio is the age up to which a daemon answers others from the list it has read.
	maxFeedAgeRatio = 0.5
	// feedWaitRatio is how long a daemon that is asked waits for a change before it answers
	// that there is none.
	feedWaitRatio = 0.25
	// tableWaitRatio is how long a reader's call of the table service waits. What a call has
	// returned is as old as that call and the next one when the next one returns.
	tableWaitRatio = 0.2
	// defaultDrainLimit takes the place of a limit that is not stated.
	defaultDrainLimit = 4 * time.Second
	// feedAnswerMargin is added to the wait for an answer.
	feedAnswerMargin = 300 * time.Millisecond
)

// serverFeed reads the list of backend servers from the table service or, in a large fleet, its
// changes from daemons that do. It implements provider.Feed.
type serverFeed struct {
	g *Gateway

	mu        sync.Mutex // guards the fields below
	log       feedlog.Log[exchange.BackendServer]
	changed   chan struct{} // closed and replaced when the log gets changes
	held      int           // questions of others that wait
	preferred int           // number of the reader to ask first
	questions uint64        // asked so far
	relayed   bool          // the last changes came from another daemon
	waiting   map[uint64]chan *serverAnswer
}

func newServerFeed(g *Gateway) *serverFeed {
	return &serverFeed{g: g, changed: make(chan struct{}), waiting: make(map[uint64]chan *serverAnswer)}
}

// drainLimitRatio returns a part of the time after which a draining server must get nothing.
func (g *Gateway) drainLimitRatio(ratio float64) time.Duration {
	limit := g.Settings.DrainLimit
	if limit <= 0 {
		limit = defaultDrainLimit
	}
	return time.Duration(ratio * float64(limit))
}

// List implements provider.Feed.
func (f *serverFeed) List(ctx context.Context) ([]provider.Change[exchange.BackendServer], provider.Position, error) {
	start := clock.Now()
	list, position, err := f.g.Servers.List(ctx)
	if err == nil {
		f.mu.Lock()
		f.log.Reset(start, position.Version)
		f.mu.Unlock()
	}
	return list, position, err
}

// Changes implements provider.Feed. If no other daemon answers, it reads them from the table
// service.
func (f *serverFeed) Changes(ctx context.Context, after uint64, wait time.Duration) ([]provider.Change[exchange.BackendServer], provider.Position, error) {
	for _, reader := range f.readers() {
		changes, position, err := f.ask(ctx, reader, after)
		if err == nil {
			f.noteRead(true)
			return changes, provider.Position{Version: position}, nil
		}
		f.preferNext()
		f.g.event(event.FeedReaderFailed, "", event.A("peer_asked", reader.Name), event.A("error", err.Error()))
		if errors.Is(err, errNoFeedAnswer) {
			break // the list must not get older by the silence of another reader
		}
	}
	return f.readTable(ctx, after, wait)
}

// readTable reads the changes from the table service. In a large fleet it waits for a short
// time only, as others may be asking for what it returns.
func (f *serverFeed) readTable(ctx context.Context, after uint64, wait time.Duration) ([]provider.Change[exchange.BackendServer], provider.Position, error) {
	f.noteRead(false)
	if f.g.mayReadForOthers() {
		wait = min(wait, f.g.drainLimitRatio(tableWaitRatio))
	}
	start := clock.Now()
	changes, position, err := f.g.Servers.Changes(ctx, after, wait)
	if err == nil {
		f.add(start, position.Version, changes)
	}
	return changes, position, err
}

// noteRead counts a read, from another daemon or from the table service.
func (f *serverFeed) noteRead(relayed bool) {
	f.g.meter.countServerRead(relayed)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayed = relayed
}

// relayedDelay is the delay after changes from another daemon, which has gathered several.
const relayedDelay = 50 * time.Millisecond

// batchDelay returns the delay after a result with changes, so that the next one has several.
func (f *serverFeed) batchDelay() time.Duration {
	f.mu.Lock()
	relayed := f.relayed
	f.mu.Unlock()
	if relayed {
		return relayedDelay
	}
	return f.g.serverBatchDelay()
}

// mayReadForOthers reports whether other daemons may ask this one for the list of backend servers.
func (g *Gateway) mayReadForOthers() (may bool) {
	g.withCore(func(c *exchange.Core, _ time.Time) { may = c.MayHaveFeedReaders() })
	return may
}

// add records changes that were read by a call that began at the given time, and wakes those
// that wait for them.
func (f *serverFeed) add(start time.Time, position uint64, changes []provider.Change[exchange.BackendServer]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log.Add(start, position, changes)
	if len(changes) > 0 {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// readers returns the daemons to ask, the one that answered last first.
func (f *serverFeed) readers() []exchange.Member {
	var readers []exchange.Member
	f.g.withCore(func(c *exchange.Core, now time.Time) { readers = c.FeedReaders(now) })
	if len(readers) == 0 || f.g.transport.Load() == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.preferred % len(readers)
	return append(readers[first:len(readers):len(readers)], readers[:first]...)
}

// preferNext makes the next question go to the next reader.
func (f *serverFeed) preferNext() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preferred++
}

var (
	errNoFeedAnswer = errors.New("no answer in time")
	errFeedDropped  = errors.New("the reader no longer has all changes")
	errFeedStale    = errors.New("the reader has not read the list lately")
)

// ask asks a reader for the changes after a version, and waits for its answer.
func (f *serverFeed) ask(ctx context.Context, reader exchange.Member, after uint64) ([]provider.Change[exchange.BackendServer], uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.g.drainLimitRatio(feedWaitRatio)+feedAnswerMargin)
	defer cancel()
	number, answers := f.open()
	defer f.close(number)
	start := clock.Now()
	transport := f.g.transport.Load()
	if transport == nil {
		return nil, 0, errNoFeedAnswer
	}
	f.g.sendMessage(transport.Send, peer.Address{ID: reader.Name, Addr: reader.PeerAddr}, message{AskServers: &serverQuestion{number, after}})
	select {
	case answer := <-answers:
		return f.useAnswer(start, answer)
	case <-ctx.Done():
		return nil, 0, errNoFeedAnswer
	}
}

// useAnswer returns the changes of an answer to a question that was sent at the given time.
func (f *serverFeed) useAnswer(sent time.Time, a *serverAnswer) ([]provider.Change[exchange.BackendServer], uint64, error) {
	switch a.Answer {
	case feedlog.Changed, feedlog.Unchanged:
	case feedlog.Dropped:
		return nil, 0, errFeedDropped
	default:
		return nil, 0, errFeedStale
	}
	changes := make([]provider.Change[exchange.BackendServer], 0, len(a.Changes))
	for _, c := range a.Changes {
		changes = append(changes, c.decode())
	}
	f.add(sent.Add(-a.Age), a.Position, changes)
	return changes, a.Position, nil
}

// open returns the number of a new question and a channel that gets its answer.
func (f *serverFeed) open() (uint64, <-chan *serverAnswer) {
	ch := make(chan *serverAnswer, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.questions++
	f.waiting[f.questions] = ch
	return f.questions, ch
}

func (f *serverFeed) close(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, number)
}

// receiveAnswer passes an answer to the call that waits for it, if one still does.
func (f *serverFeed) receiveAnswer(a *serverAnswer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ch := f.waiting[a.Number]; ch != nil {
		delete(f.waiting, a.Number)
		ch <- a
	}
}

// receiveServerFeed handles what a message asks or says of the list of backend servers.
func (g *Gateway) receiveServerFeed(m *message, reply func(message)) {
	if m.AskServers != nil {
		go g.serverFeed.answer(m.AskServers, reply)
	}
	if m.ServerAnswer != nil {
		g.serverFeed.receiveAnswer(m.ServerAnswer)
	}
}
