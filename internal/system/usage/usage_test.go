package usage

import (
	"testing"
	"time"
)

func TestCounter_SumsDaemonsAndProcesses(t *testing.T) {
	c := New("a#1", 5*time.Second)
	for range 3 {
		c.CountStarted(7, "o")
	}
	c.ReceiveCounts("b#1", []Count{{Window: 7, Organisation: "o", Requests: 4}})
	c.ReceiveCounts("b#1", []Count{{Window: 7, Organisation: "o", Requests: 5}}) // newer
	c.ReceiveCounts("b#2", []Count{{Window: 7, Organisation: "o", Requests: 2}}) // after a restart
	if got := c.Sum(7)["o"]; got != 10 {
		t.Fatalf("sum %d, want 10", got)
	}
}

func TestCounter_WindowsOfTrueTime(t *testing.T) {
	c := New("a", 5*time.Second)
	if w := c.Window(14*time.Second + 999*time.Millisecond); w != 2 {
		t.Fatalf("window %d, want 2", w)
	}
	if end := c.End(2); end != 15*time.Second {
		t.Fatalf("window 2 ends at %v, want 15 s", end)
	}
}

func TestCounter_ForgetsOldWindows(t *testing.T) {
	c := New("a", 5*time.Second)
	c.CountStarted(1, "o")
	c.CountStarted(100, "o")
	if counts := c.LocalCounts(100, 1, 0); len(counts) != 1 || counts[0].Window != 100 {
		t.Fatalf("local counts %v, want window 100 only", counts)
	}
	if len(c.Sum(1)) != 0 {
		t.Fatal("the count of an old window is kept")
	}
}

func TestCounter_CheckpointOutlivesAllDaemons(t *testing.T) {
	before := New("a#1", 5*time.Second)
	before.CountStarted(9, "o")
	before.ReceiveCounts("b#1", []Count{{Window: 9, Organisation: "o", Requests: 4}})
	after := New("a#2", 5*time.Second)
	after.CountStarted(9, "o")
	after.ReceiveCounts("b#1", []Count{{Window: 9, Organisation: "o", Requests: 6}}) // b is still running
	after.Restore(before.RecentCounts(9))
	after.Restore(before.RecentCounts(9))
	if got := after.Sum(9)["o"]; got != 8 {
		t.Fatalf("%d requests after the restart, want 1 + 6 + 1", got)
	}
}

func TestCounter_ReportsChangesUntilAcknowledged(t *testing.T) {
	c := New("a", 5*time.Second)
	c.CountStarted(1, "o")
	for sequence := uint32(1); sequence <= 10; sequence++ {
		if len(c.LocalCounts(1, sequence, 0)) != 1 {
			t.Fatalf("message %d lacks a count that nobody has acknowledged", sequence)
		}
	}
	if counts := c.LocalCounts(1, 11, 1); len(counts) != 0 {
		t.Fatalf("counts reported again after all daemons have acknowledged them: %v", counts)
	}
	c.CountStarted(1, "o")
	if counts := c.LocalCounts(1, 12, 11); len(counts) != 1 || counts[0].Requests != 2 {
		t.Fatalf("counts %v reported, want 2 requests after the count changed", counts)
	}
	if counts := c.LocalCounts(1, 13, 11); len(counts) != 1 {
		t.Fatal("a changed count is reported only once, though nobody has acknowledged it")
	}
}
