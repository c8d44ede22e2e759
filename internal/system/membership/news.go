package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Topic is a kind of news. Topics that this release does not know are passed
// on all the same.
type Topic uint8

const (
	// TopicConfigHead tells the newest accepted revision of the configuration.
	TopicConfigHead Topic = iota + 1
	// TopicConviction tells of content that crashes backend servers.
	TopicConviction
	// TopicBackendLeaving tells that a backend server takes no new work.
	TopicBackendLeaving
	// TopicHandoff tells where a request has moved.
	TopicHandoff
)

const (
	convictionLife = time.Hour
	defaultLife    = 10 * time.Minute
	// tombstoneLife is how long a dropped version is remembered, so that a
	// copy that is a little younger elsewhere does not bring it back.
	tombstoneLife = time.Minute
)

// life returns how long a key is kept after its last announcement; 0 means
// for ever.
func (t Topic) life() time.Duration {
	switch t {
	case TopicConfigHead:
		return 0
	case TopicConviction:
		return convictionLife
	default:
		return defaultLife
	}
}

// News is a small piece of information for every daemon. Of one topic and
// key, the highest version counts; one version always has the same body.
type News struct {
	Topic   Topic
	Key     string
	Version uint64
	Body    []byte
}

type newsKey struct {
	Topic Topic
	Key   string
}

// newsRow is a piece of news that is held. A dropped one has no body and
// stays for tombstoneLife.
type newsRow struct {
	newsKey
	Version     uint64
	Body        []byte
	announcedAt time.Time // by this daemon's clock
	dropped     bool
}

func (n *newsRow) size() int { return recordBytes + len(n.Key) + len(n.Body) }

// endsAt returns when the row is dropped or, if it has been, forgotten; zero
// for never.
func (n *newsRow) endsAt() time.Time {
	life := n.Topic.life()
	if life == 0 {
		return time.Time{}
	}
	if n.dropped {
		life += tombstoneLife
	}
	return n.announcedAt.Add(life)
}

// newsStore holds all news, within bounds.
type newsStore struct {
	rows  *entity.Table[newsKey, newsRow]
	bytes int
}

func newNewsStore() newsStore {
	return newsStore{rows: entity.NewTable[newsKey, newsRow]()}
}

// Announce spreads a piece of news to all daemons. A version that is not
// above the one held is ignored, except that the same version starts its life
// anew here.
func (m *Membership) Announce(now time.Time, n News) {
	k := newsKey{n.Topic, n.Key}
	record := NewsRecord{Topic: n.Topic, Key: n.Key, Version: n.Version, Body: n.Body}
	if m.learn(now, record) {
		m.gossip.add(now, m.cfg.GossipInterval, newsItem(k, ""))
	}
}

// mergeNews takes in a piece of news from a peer. It returns false if this
// daemon holds a newer version, which the peer should hear.
func (m *Membership) mergeNews(now time.Time, from entity.InstanceID, r NewsRecord) bool {
	if !r.valid() {
		return true
	}
	k := newsKey{r.Topic, r.Key}
	if held := m.news.rows.Get(k); held != nil && held.Version > r.Version {
		return held.dropped
	}
	if m.learn(now, r) {
		m.ready.News = append(m.ready.News, News{Topic: r.Topic, Key: r.Key, Version: r.Version, Body: r.Body})
		m.gossip.add(now, m.cfg.GossipInterval, newsItem(k, from))
	}
	return true
}

// learn holds a record if it is newer than what is held and still alive.
func (m *Membership) learn(now time.Time, r NewsRecord) bool {
	k := newsKey{r.Topic, r.Key}
	if life := r.Topic.life(); life > 0 && r.age() >= life {
		return false
	}
	held := m.news.rows.Get(k)
	if held != nil && held.Version >= r.Version {
		return false
	}
	n := &newsRow{newsKey: k, Version: r.Version, Body: r.Body, announcedAt: now.Add(-r.age())}
	if !r.valid() || !m.makeRoom(n, held) {
		m.emit(now, event.NewsRefused, "", k.Key)
		return false
	}
	if held != nil {
		m.takeOut(held)
	}
	m.news.rows.Put(k, n)
	m.news.bytes += n.size()
	m.digest.toggleNews(n)
	return true
}

// makeRoom says whether there is room for n in place of held, and drops the
// oldest news that may be dropped if there is not.
func (m *Membership) makeRoom(n, held *newsRow) bool {
	for {
		bytes, keys := m.news.bytes+n.size(), m.news.rows.Len()+1
		if held != nil {
			bytes, keys = bytes-held.size(), keys-1
		}
		if bytes <= maxNewsBytes && keys <= maxNewsKeys {
			return true
		}
		oldest := m.news.oldest(held)
		if oldest == nil {
			return false
		}
		m.takeOut(oldest)
		m.news.rows.Delete(oldest.newsKey)
	}
}

// oldest returns the row announced first among those that do not last for
// ever, except one; nil if there is none.
func (s *newsStore) oldest(except *newsRow) *newsRow {
	var oldest *newsRow
	s.rows.All(func(_ newsKey, n *newsRow) bool {
		if n == except || n.Topic.life() == 0 {
			return true
		}
		if oldest == nil || n.announcedAt.Before(oldest.announcedAt) {
			oldest = n
		}
		return true
	})
	return oldest
}

// takeOut removes a row from the digest and the count of bytes.
func (m *Membership) takeOut(n *newsRow) {
	m.news.bytes -= n.size()
	if !n.dropped {
		m.digest.toggleNews(n)
	}
}

// sweepNews drops what has outlived its topic's life.
func (m *Membership) sweepNews(now time.Time) {
	for _, k := range m.news.rows.Keys() {
		n := m.news.rows.Get(k)
		end := n.endsAt()
		if end.IsZero() || now.Before(end) {
			continue
		}
		m.takeOut(n)
		if n.dropped {
			m.news.rows.Delete(k)
			continue
		}
		n.dropped, n.Body = true, nil
		m.news.bytes += n.size()
	}
}

// newsRecord returns the encoding of a held piece of news; nil if there is
// none. A zero time gives no age.
func (m *Membership) newsRecord(k newsKey, now time.Time) *NewsRecord {
	n := m.news.rows.Get(k)
	if n == nil || n.dropped {
		return nil
	}
	r := &NewsRecord{Topic: k.Topic, Key: k.Key, Version: n.Version, Body: n.Body}
	if k.Topic.life() > 0 && now.After(n.announcedAt) {
		r.AgeMillis = uint32(now.Sub(n.announcedAt).Milliseconds())
	}
	return r
}
