package command

import (
	"runtime/metrics"
	"testing"
)

// TestHeapGrowthPercent_BoundsTheGrowthInBytes: a heap of hundreds of connections grows by no more
// than a small one.
func TestHeapGrowthPercent_BoundsTheGrowthInBytes(t *testing.T) {
	for _, liveBytes := range []uint64{0, 1 << 10, 2 << 20, 3 << 20, 8 << 20, 14 << 20, 40 << 20} {
		percent := heapGrowthPercent(liveBytes)
		if percent < minHeapGrowthPercent || percent > maxHeapGrowthPercent {
			t.Errorf("%d bytes: %d %%, outside %d to %d", liveBytes, percent, minHeapGrowthPercent, maxHeapGrowthPercent)
		}
		if grown := liveBytes * uint64(percent) / 100; grown > maxHeapGrowthBytes {
			t.Errorf("%d bytes may grow by %d, more than %d", liveBytes, grown, maxHeapGrowthBytes)
		}
	}
	if percent := heapGrowthPercent(2 << 20); percent != maxHeapGrowthPercent {
		t.Errorf("a small heap may grow by %d %%, want %d", percent, maxHeapGrowthPercent)
	}
}

func TestLimitHeapGrowth_MetricExists(t *testing.T) {
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		t.Errorf("%s is of kind %v, want a number of bytes", liveHeapMetric, sample[0].Value.Kind())
	}
}
