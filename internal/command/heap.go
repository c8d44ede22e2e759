package command

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/clock"
)

const (
	// maxHeapGrowthPercent is how far the heap may grow before the next garbage collection,
	// in per cent of the live heap.
	maxHeapGrowthPercent = 400
	// maxHeapGrowthBytes bounds that growth: the live heap grows with the number of
	// connections to other daemons, and the rate of allocation hardly does.
	maxHeapGrowthBytes = 12 << 20
	// minHeapGrowthPercent keeps the collector from running all the time on a large heap.
	minHeapGrowthPercent = 25
	// heapCheckInterval is the time between two adjustments of the growth.
	heapCheckInterval = time.Second

	liveHeapMetric = "/gc/heap/live:bytes"
)

// heapGrowthPercent returns how far a heap may grow before the next garbage collection, in
// per cent, given the bytes that the last collection found in use.
func heapGrowthPercent(liveBytes uint64) int {
	if liveBytes == 0 {
		return maxHeapGrowthPercent
	}
	percent := 100 * maxHeapGrowthBytes / liveBytes
	return int(min(max(percent, minHeapGrowthPercent), maxHeapGrowthPercent))
}

// limitHeapGrowth adjusts the garbage collector to the live heap until the context ends.
func limitHeapGrowth(ctx context.Context) {
	percent := maxHeapGrowthPercent
	debug.SetGCPercent(percent)
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	for clock.Wait(ctx, heapCheckInterval) {
		metrics.Read(sample)
		if next := heapGrowthPercent(sample[0].Value.Uint64()); next != percent {
			percent = next
			debug.SetGCPercent(percent)
		}
	}
}
