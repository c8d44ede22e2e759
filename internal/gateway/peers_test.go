package gateway

import (
	"testing"
	"time"
)

// TestSendOffset_BroadcastLeavesTheLinkFree replays the broadcasts of fleets of different
// sizes on the link of a small instance, 10 Mbit/s, with updates of 1.5 KB. A caller's
// request that meets one must wait for a tenth of the tightest objective, 150 ms, at
// most, and a broadcast must end before the next one starts.
func TestSendOffset_BroadcastLeavesTheLinkFree(t *testing.T) {
	const (
		updateTime = 1500 * 8 * time.Second / 10_000_000 // of one update on the link
		maxQueue   = 15 * time.Millisecond
	)
	for _, peers := range []int{1, 5, 8, 88, 409} {
		var linkFreeAt time.Duration
		for i := range peers {
			linkFreeAt = max(linkFreeAt, sendOffset(i)) + updateTime
			if queue := linkFreeAt - sendOffset(i); queue > maxQueue {
				t.Fatalf("%d peers: the link is busy for %v after update %d", peers, queue, i)
			}
		}
		if end := sendOffset(peers-1) + updateTime; end >= broadcastInterval(peers) {
			t.Fatalf("%d peers: a broadcast takes %v, the next one starts after %v", peers, end, broadcastInterval(peers))
		}
	}
}
