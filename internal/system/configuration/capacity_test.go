package configuration

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// BenchmarkCapacity_Fleet measures table reads, and the time until a change is
// in force on all daemons, in virtual time.
func BenchmarkCapacity_Fleet(b *testing.B) {
	for _, n := range []int{9, 100, 410} {
		for _, table := range []string{"fast", "slow"} {
			b.Run(fmt.Sprintf("daemons=%d/table=%s", n, table), func(b *testing.B) {
				for b.Loop() {
					measureFleet(b, n, table == "slow")
				}
			})
		}
	}
}

func measureFleet(b *testing.B, n int, slow bool) {
	w := newWorld(b, n)
	w.enableGossip()
	if slow {
		w.makeTableSlow()
	}
	w.run(30 * time.Second)
	before := w.table.reads
	w.run(time.Minute)
	idle := float64(w.table.reads-before) / 60
	worst := time.Duration(0)
	before = w.table.reads
	const changes = 5
	for i := range changes {
		worst = max(worst, w.timeToAll(fmt.Sprint("op", i)))
	}
	b.ReportMetric(idle, "idle-reads/s")
	b.ReportMetric((float64(w.table.reads-before)-changes*idle*60)/changes, "reads/change")
	b.ReportMetric(worst.Seconds(), "s-to-all")
}

// BenchmarkCapacity_Documents measures the memory that documents in force use
// and the processor time to put one in force.
func BenchmarkCapacity_Documents(b *testing.B) {
	data, err := os.ReadFile("../../../examples/kerlann/crowding-model.toml")
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("documents=%d", n), func(b *testing.B) {
			c := New(Config{})
			before := heapBytes()
			at, next := time.Unix(1_700_000_000, 0), uint64(0)
			install := func() {
				next++
				name := entity.ServiceName(fmt.Sprint("crowding-model-", next%uint64(n)))
				text := strings.Replace(string(data), "crowding-model", string(name), 1)
				c.installDocument(at, Document{Service: name, Revision: next, Operation: "op", Author: "anna", Text: text})
				c.ready = Ready{}
			}
			for range n {
				install()
			}
			heldBytes := heapBytes() - before
			for b.Loop() {
				install()
			}
			d, _ := c.Document("crowding-model-1")
			row, _ := codec.Encode(d)
			b.ReportMetric(float64(heldBytes)/float64(n), "heap-B/document")
			b.ReportMetric(float64(len(row)), "row-B")
			runtime.KeepAlive(c)
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkCapacity_HeadRow measures the size of the head row, which every poll
// reads.
func BenchmarkCapacity_HeadRow(b *testing.B) {
	var h headRow
	for b.Loop() {
		h = h.withChange(h.Revision+1, "crowding-model")
	}
	row, _ := codec.Encode(h)
	b.ReportMetric(float64(len(row)), "row-B")
}
