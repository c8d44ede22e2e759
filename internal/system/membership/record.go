package membership

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

// Topic is a kind of gossip record. Records of topics that this release does
// not know are forwarded all the same.
type Topic uint8

const (
	// TopicConfigHead announces the newest accepted revision of the
	// configuration.
	TopicConfigHead Topic = iota + 1
	// TopicQuarantine announces content that crashes backend servers and is
	// quarantined for it.
	TopicQuarantine
	// TopicBackendDraining announces that a backend server drains and takes no
	// new work.
	TopicBackendDraining
	// TopicHandoff announces which daemon a request has been handed to.
	TopicHandoff
)

const (
	quarantineTTL = time.Hour
	defaultTTL    = 10 * time.Minute
	// tombstoneTTL is how long the version of a dropped record is remembered,
	// so that a peer's copy, which may expire a little later, does not bring
	// the record back.
	tombstoneTTL = time.Minute
)

// ttl returns how long records of the topic are retained after their
// announcement; 0 means without limit.
func (t Topic) ttl() time.Duration {
	switch t {
	case TopicConfigHead:
		return 0
	case TopicQuarantine:
		return quarantineTTL
	default:
		return defaultTTL
	}
}

// Record is a small record that is spread to every daemon. Of the records with
// one topic and key, the one with the highest version takes precedence; a
// version always has the same body.
type Record struct {
	Topic   Topic
	Key     string
	Version uint64
	Body    []byte
}

type recordKey struct {
	Topic Topic
	Key   string
}

// recordRow is a stored record. A dropped one has no body and is remembered for
// tombstoneTTL.
type recordRow struct {
	recordKey
	Version     uint64
	Body        []byte
	announcedAt time.Time // by this daemon's clock, from the age of the record when it was received
	dropped     bool
}

func (r *recordRow) size() int { return recordOverheadBytes + len(r.Key) + len(r.Body) }

// expiresAt returns when the record is dropped or, if it has been dropped,
// forgotten. The zero time means never.
func (r *recordRow) expiresAt() time.Time {
	ttl := r.Topic.ttl()
	if ttl == 0 {
		return time.Time{}
	}
	if r.dropped {
		ttl += tombstoneTTL
	}
	return r.announcedAt.Add(ttl)
}

// recordStore holds all records. Their number and total size are limited by
// maxRecordKeys and maxTotalRecordBytes.
type recordStore struct {
	rows  *entity.Table[recordKey, recordRow]
	bytes int
}

func newRecordStore() recordStore {
	return recordStore{rows: entity.NewTable[recordKey, recordRow]()}
}

// Announce spreads a record to all daemons. It is ignored if the record's
// version is not above the stored one.
func (m *Membership) Announce(now time.Time, r Record) {
	k := recordKey{r.Topic, r.Key}
	record := GossipRecord{Topic: r.Topic, Key: r.Key, Version: r.Version, Body: r.Body}
	if m.storeRecord(now, record) {
		m.gossip.add(now, m.cfg.GossipInterval, recordItem(k, ""))
	}
}

// mergeRecord merges a record received from a peer. It returns false if this
// daemon holds a newer version, which should be sent to the peer.
func (m *Membership) mergeRecord(now time.Time, from entity.InstanceID, r GossipRecord) bool {
	if !r.valid() {
		return true
	}
	k := recordKey{r.Topic, r.Key}
	if existing := m.records.rows.Get(k); existing != nil && existing.Version > r.Version {
		return existing.dropped
	}
	if m.storeRecord(now, r) {
		m.ready.Records = append(m.ready.Records, Record{Topic: r.Topic, Key: r.Key, Version: r.Version, Body: r.Body})
		m.gossip.add(now, m.cfg.GossipInterval, recordItem(k, from))
	}
	return true
}

// storeRecord stores a record and returns true, unless it is expired, not newer
// than the stored version or over the limits.
func (m *Membership) storeRecord(now time.Time, record GossipRecord) bool {
	k := recordKey{record.Topic, record.Key}
	if ttl := record.Topic.ttl(); ttl > 0 && record.age() >= ttl {
		return false
	}
	existing := m.records.rows.Get(k)
	if existing != nil && existing.Version >= record.Version {
		return false
	}
	newRow := &recordRow{recordKey: k, Version: record.Version, Body: record.Body, announcedAt: now.Add(-record.age())}
	if !record.valid() || !m.evictUntilFits(newRow, existing) {
		m.emit(now, event.GossipRecordRefused, "", k.Key)
		return false
	}
	if existing != nil {
		m.removeFromTotals(existing)
	}
	m.records.rows.Put(k, newRow)
	m.records.bytes += newRow.size()
	m.digest.xorRecord(newRow)
	return true
}

// evictUntilFits reports whether newRow fits into the store in place of
// existing, which may be nil. For that, it evicts the records announced first,
// except those that never expire.
func (m *Membership) evictUntilFits(newRow, existing *recordRow) bool {
	for {
		bytes, keys := m.records.bytes+newRow.size(), m.records.rows.Len()+1
		if existing != nil {
			bytes, keys = bytes-existing.size(), keys-1
		}
		if bytes <= maxTotalRecordBytes && keys <= maxRecordKeys {
			return true
		}
		oldest := m.records.oldestExpiring(existing)
		if oldest == nil {
			return false
		}
		m.removeFromTotals(oldest)
		m.records.rows.Delete(oldest.recordKey)
	}
}

// oldestExpiring returns the record announced first among those that expire,
// leaving out except; nil if there is none.
func (s *recordStore) oldestExpiring(except *recordRow) *recordRow {
	var oldest *recordRow
	s.rows.All(func(_ recordKey, r *recordRow) bool {
		if r == except || r.Topic.ttl() == 0 {
			return true
		}
		if oldest == nil || r.announcedAt.Before(oldest.announcedAt) {
			oldest = r
		}
		return true
	})
	return oldest
}

// removeFromTotals subtracts a record from the byte count and removes it from
// the digest. The record stays in the table.
func (m *Membership) removeFromTotals(r *recordRow) {
	m.records.bytes -= r.size()
	if !r.dropped {
		m.digest.xorRecord(r)
	}
}

// expireRecords drops the records that are older than their topic's ttl, and
// forgets the dropped ones after another tombstoneTTL.
func (m *Membership) expireRecords(now time.Time) {
	for _, k := range m.records.rows.Keys() {
		r := m.records.rows.Get(k)
		expiresAt := r.expiresAt()
		if expiresAt.IsZero() || now.Before(expiresAt) {
			continue
		}
		m.removeFromTotals(r)
		if r.dropped {
			m.records.rows.Delete(k)
			continue
		}
		r.dropped, r.Body = true, nil
		m.records.bytes += r.size()
	}
}

// outgoingRecord returns a stored record as it is sent to peers, or nil if
// there is none. With the zero time as now, the age is left out.
func (m *Membership) outgoingRecord(k recordKey, now time.Time) *GossipRecord {
	stored := m.records.rows.Get(k)
	if stored == nil || stored.dropped {
		return nil
	}
	r := &GossipRecord{Topic: k.Topic, Key: k.Key, Version: stored.Version, Body: stored.Body}
	if k.Topic.ttl() > 0 && now.After(stored.announcedAt) {
		r.AgeMillis = uint32(now.Sub(stored.announcedAt).Milliseconds())
	}
	return r
}
