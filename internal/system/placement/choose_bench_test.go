package placement

import (
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// benchmarkChoose measures the choice among 89 loaded engines at one of 70 daemons.
func benchmarkChoose(b *testing.B, p *Placer) {
	now := start
	for i := range 69 {
		var loads []ServerLoad
		p.servers.All(func(id entity.BackendServerID, _ *serverRow) bool {
			l := ServerLoad{Server: id, Running: i % 2}
			l.Waiting.addRequest(i%Ranks, i%2, 4000)
			loads = append(loads, l)
			return true
		})
		p.ReceiveLoads(now, entity.InstanceID(rune('a'+i)), loads, time.Hour)
	}
	shared := Part{ID: 7, Tokens: 4000}
	b.ResetTimer()
	for i := range b.N {
		q := query(6000, shared, Part{ID: uint64(i), Tokens: 2000})
		if _, ok := p.Choose(now, q, allUsable); !ok {
			b.Fatal("no backend server chosen")
		}
	}
}

func BenchmarkChoose(b *testing.B) { benchmarkChoose(b, newPlacer(89)) }

func BenchmarkChoose_ServerSpeeds(b *testing.B) {
	p := newPlacer(89)
	p.EnableServerSpeeds("self")
	p.SetUpdateInterval(700 * time.Millisecond)
	benchmarkChoose(b, p)
}
