package quarantine

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

const (
	// runsPerServer is the number of requests that a busy backend server runs when it dies.
	runsPerServer = 64
	// contentsPerRun is the number of contents of a request with a dozen parts of its own: the
	// whole of it, and two for each part but the last.
	contentsPerRun = 23
)

func numberedDigest(n int) entity.Digest {
	var d entity.Digest
	binary.BigEndian.PutUint64(d[:], uint64(n))
	return d
}

// recordServerDeath records the death of a busy server whose runs had nothing in common with
// others.
func recordServerDeath(r *Registry, at time.Time, server int) {
	for i := range runsPerServer * contentsPerRun {
		content := numberedDigest(server*runsPerServer*contentsPerRun + i + 1)
		r.RecordDeath(at, Death{Digest: content, Backend: entity.BackendServerID(fmt.Sprint("server", server)), Born: 1})
	}
}

// TestRegistry_ContentWithManyDeathsOutlastsThoseWithOne: content that has crashed several
// servers is refused when a few other servers die with all that they run. Fails if it is
// forgotten for contents with a single death each.
func TestRegistry_ContentWithManyDeathsOutlastsThoseWithOne(t *testing.T) {
	r := New(Config{})
	now := time.Unix(1000, 0)
	crashing := numberedDigest(0)
	const crashes = 5
	for i := range crashes {
		r.RecordDeath(now, Death{Digest: crashing, Backend: entity.BackendServerID(fmt.Sprint("crashed", i)), Born: 1})
		now = now.Add(time.Second)
	}
	for server := range 3 {
		now = now.Add(time.Second)
		recordServerDeath(r, now, server)
	}
	if got := r.Deaths(now, crashing); got != crashes {
		t.Errorf("%d deaths are known under the content, want %d", got, crashes)
	}
}

// BenchmarkRegistry_DeathOfABusyServer records the death of a busy server after several others.
func BenchmarkRegistry_DeathOfABusyServer(b *testing.B) {
	r := New(Config{})
	now := time.Unix(1000, 0)
	for server := range 4 {
		recordServerDeath(r, now, server)
	}
	server := 4
	for b.Loop() {
		recordServerDeath(r, now, server)
		server++
	}
}

// BenchmarkRegistry_Explained asks for an explanation that is not there.
func BenchmarkRegistry_Explained(b *testing.B) {
	r := New(Config{})
	now := time.Unix(1000, 0)
	for server := range 4 {
		recordServerDeath(r, now, server)
	}
	held := make([]entity.Digest, contentsPerRun)
	for i := range 5 {
		r.RecordDeath(now, Death{Digest: held[0], Backend: entity.BackendServerID(fmt.Sprint("crashed", i)), Born: 1})
	}
	for b.Loop() {
		if r.Explained(now, held[0], held) {
			b.Fatal("there is an explanation")
		}
	}
}
