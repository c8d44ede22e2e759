package grant

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// memberList holds the live daemons, sorted by ID.
type memberList struct {
	self Member
	all  []listedMember
}

type listedMember struct {
	Member
	hash uint64 // of the ID
}

func newMemberList(self Member) memberList {
	return memberList{self: self, all: []listedMember{newListedMember(self)}}
}

func newListedMember(m Member) listedMember {
	return listedMember{Member: m, hash: xxhash.Sum64String(string(m.ID))}
}

// replace returns a list of the given members, and of self if it is not among
// them.
func (l *memberList) replace(members []Member) memberList {
	next := memberList{self: l.self, all: make([]listedMember, 0, len(members)+1)}
	for _, m := range members {
		next.all = append(next.all, newListedMember(m))
	}
	slices.SortFunc(next.all, func(a, b listedMember) int { return strings.Compare(string(a.ID), string(b.ID)) })
	next.all = slices.CompactFunc(next.all, func(a, b listedMember) bool { return a.ID == b.ID })
	if next.find(l.self.ID) == nil {
		next.all = append(next.all, newListedMember(l.self))
		slices.SortFunc(next.all, func(a, b listedMember) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return next
}

func (l *memberList) find(id entity.InstanceID) *listedMember {
	i, found := slices.BinarySearchFunc(l.all, id, func(m listedMember, id entity.InstanceID) int {
		return strings.Compare(string(m.ID), string(id))
	})
	if !found {
		return nil
	}
	return &l.all[i]
}

// mayCoordinate reports whether the daemon may be a coordinator.
func (l *memberList) mayCoordinate(id entity.InstanceID) bool {
	m := l.find(id)
	return m != nil && !m.Leaving
}

// bid ranks a daemon as coordinator of a backend server: the nearest daemon wins,
// then the highest hash (rendezvous hashing, Thaler and Ravishankar, 1998).
type bid struct {
	id        entity.InstanceID
	proximity routing.Proximity
	score     uint64
}

func (m *listedMember) bid(b *entity.BackendServer, hash uint64) bid {
	return bid{id: m.ID, proximity: routing.ProximityOf(m.Location, b.Location), score: routing.Mix(m.hash ^ hash)}
}

func (b bid) beats(o bid) bool {
	if b.proximity != o.proximity {
		return b.proximity > o.proximity
	}
	if b.score != o.score {
		return b.score > o.score
	}
	return b.id > o.id
}

// bestBid returns the highest bid of all daemons that may coordinate, or this
// daemon's if none may.
func (l *memberList) bestBid(b *entity.BackendServer, hash uint64) bid {
	top := bid{id: l.self.ID, proximity: routing.OtherRegion - 1}
	for i := range l.all {
		if l.all[i].Leaving {
			continue
		}
		if candidate := l.all[i].bid(b, hash); candidate.beats(top) {
			top = candidate
		}
	}
	return top
}
