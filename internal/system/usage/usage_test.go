package usage

import (
	"testing"
	"time"
)

func TestCounter_SumsDaemonsAndProcesses(t *testing.T) {
	c := New("a#1", 5*time.Second)
	for range 3 {
		c.Began(7, "o")
	}
	c.Heard("b#1", []Count{{Window: 7, Organisation: "o", Requests: 4}})
	c.Heard("b#1", []Count{{Window: 7, Organisation: "o", Requests: 5}}) // newer
	c.Heard("b#2", []Count{{Window: 7, Organisation: "o", Requests: 2}}) // after a restart
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
	c.Began(1, "o")
	c.Began(100, "o")
	if own := c.Own(100, 1, 0); len(own) != 1 || own[0].Window != 100 {
		t.Fatalf("own counts %v, want window 100 only", own)
	}
	if len(c.Sum(1)) != 0 {
		t.Fatal("a count of long ago is kept")
	}
}

func TestCounter_CheckpointOutlivesAllDaemons(t *testing.T) {
	before := New("a#1", 5*time.Second)
	before.Began(9, "o")
	before.Heard("b#1", []Count{{Window: 9, Organisation: "o", Requests: 4}})
	after := New("a#2", 5*time.Second)
	after.Began(9, "o")
	after.Heard("b#1", []Count{{Window: 9, Organisation: "o", Requests: 6}}) // b has survived
	after.Restore(before.All(9))
	after.Restore(before.All(9))
	if got := after.Sum(9)["o"]; got != 8 {
		t.Fatalf("%d requests after the restart, want 1 + 6 + 1", got)
	}
}

func TestCounter_TellsChangesUntilAllHaveHeard(t *testing.T) {
	c := New("a", 5*time.Second)
	c.Began(1, "o")
	for message := uint32(1); message <= 10; message++ {
		if len(c.Own(1, message, 0)) != 1 {
			t.Fatalf("message %d does not tell what nobody has heard", message)
		}
	}
	if own := c.Own(1, 11, 1); len(own) != 0 {
		t.Fatalf("told again after all have heard it: %v", own)
	}
	c.Began(1, "o")
	if own := c.Own(1, 12, 11); len(own) != 1 || own[0].Requests != 2 {
		t.Fatalf("a changed count is told as %v", own)
	}
	if own := c.Own(1, 13, 11); len(own) != 1 {
		t.Fatal("a change is told once only, though nobody has heard it")
	}
}
