package grant

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/system/routing"
)

// roster holds the live daemons by id.
type roster struct {
	self Member
	all  []seat
}

type seat struct {
	Member
	hash uint64
}

func newRoster(self Member) roster {
	return roster{self: self, all: []seat{newSeat(self)}}
}

func newSeat(m Member) seat { return seat{Member: m, hash: xxhash.Sum64String(string(m.ID))} }

// replace returns the roster with the given members, and with self if it is
// not among them.
func (r *roster) replace(members []Member) roster {
	next := roster{self: r.self, all: make([]seat, 0, len(members)+1)}
	for _, m := range members {
		next.all = append(next.all, newSeat(m))
	}
	slices.SortFunc(next.all, func(a, b seat) int { return strings.Compare(string(a.ID), string(b.ID)) })
	next.all = slices.CompactFunc(next.all, func(a, b seat) bool { return a.ID == b.ID })
	if next.find(r.self.ID) == nil {
		next.all = append(next.all, newSeat(r.self))
		slices.SortFunc(next.all, func(a, b seat) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return next
}

func (r *roster) find(id entity.InstanceID) *seat {
	i, found := slices.BinarySearchFunc(r.all, id, func(s seat, id entity.InstanceID) int {
		return strings.Compare(string(s.ID), string(id))
	})
	if !found {
		return nil
	}
	return &r.all[i]
}

// coordinates reports whether the daemon may be a coordinator.
func (r *roster) coordinates(id entity.InstanceID) bool {
	s := r.find(id)
	return s != nil && !s.Leaving
}

// bid is the claim of a daemon to coordinate a backend server: the nearest
// wins, then the highest hash (rendezvous hashing, Thaler and Ravishankar,
// 1998).
type bid struct {
	id    entity.InstanceID
	near  routing.Proximity
	score uint64
}

func (s *seat) bid(b *entity.BackendServer, hash uint64) bid {
	return bid{id: s.ID, near: routing.Nearness(s.Place, b.Place), score: routing.Mix(s.hash ^ hash)}
}

func (b bid) beats(o bid) bool {
	if b.near != o.near {
		return b.near > o.near
	}
	if b.score != o.score {
		return b.score > o.score
	}
	return b.id > o.id
}

// best returns the highest bid of all daemons that may coordinate; this
// daemon's own if none may.
func (r *roster) best(b *entity.BackendServer, hash uint64) bid {
	top := bid{id: r.self.ID, near: routing.OtherRegion - 1}
	for i := range r.all {
		if r.all[i].Leaving {
			continue
		}
		if own := r.all[i].bid(b, hash); own.beats(top) {
			top = own
		}
	}
	return top
}
