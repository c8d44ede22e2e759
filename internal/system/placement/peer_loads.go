package placement

import (
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// ServerLoads returns this daemon's load on each backend server on which it has any.
func (p *Placer) ServerLoads() []ServerLoad {
	var out []ServerLoad
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		if r.localSum.Waiting.total()+r.localSum.Running > 0 {
			out = append(out, r.localSum)
		}
		return true
	})
	return out
}

// ReceiveLoads replaces the load of another daemon. It is used until ttl has passed.
func (p *Placer) ReceiveLoads(now time.Time, peer entity.InstanceID, loads []ServerLoad, ttl time.Duration) {
	if old := p.peers.Get(peer); old != nil {
		p.addPeerSums(old.loads, -1)
	}
	p.peers.Put(peer, &peerLoad{loads: loads, expiresAt: now.Add(ttl)})
	p.addPeerSums(loads, 1)
	p.expirePeers(now)
}

// AddCachedPart records that another daemon has placed a prompt with this part on a
// backend server.
func (p *Placer) AddCachedPart(now time.Time, id entity.BackendServerID, part CachedPart) {
	if r := p.servers.Get(id); r != nil {
		r.cache.addKeys(now, []CachedPart{part})
	}
}

// expiryInterval is the shortest time between two searches for daemons whose
// load has expired.
const expiryInterval = 100 * time.Millisecond

// expirePeers removes the load of daemons that have sent no update in time.
func (p *Placer) expirePeers(now time.Time) {
	if now.Sub(p.lastExpiry) < expiryInterval {
		return
	}
	p.lastExpiry = now
	for _, id := range p.peers.Keys() {
		if l := p.peers.Get(id); now.After(l.expiresAt) {
			p.addPeerSums(l.loads, -1)
			p.peers.Delete(id)
		}
	}
}

func (p *Placer) recomputePeerSums() {
	p.servers.All(func(_ entity.BackendServerID, r *serverRow) bool {
		r.peerSum = ServerLoad{}
		return true
	})
	p.peers.All(func(_ entity.InstanceID, l *peerLoad) bool {
		p.addPeerSums(l.loads, 1)
		return true
	})
}

// addPeerSums adds a daemon's load to the sums over other daemons, or subtracts
// it if sign is -1.
func (p *Placer) addPeerSums(loads []ServerLoad, sign int) {
	for i := range loads {
		s := &loads[i]
		r := p.servers.Get(s.Server)
		if r == nil {
			continue
		}
		r.peerSum.Waiting.add(&s.Waiting, sign)
		r.peerSum.Running += sign * s.Running
		r.peerSum.Memory += entity.Tokens(sign) * s.Memory
	}
}
