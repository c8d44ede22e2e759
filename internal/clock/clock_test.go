package clock

import (
	"testing"
	"time"
)

func TestNow_Advances(t *testing.T) {
	start := Now()
	time.Sleep(2 * time.Millisecond)
	if d := Now().Sub(start); d < 2*time.Millisecond {
		t.Fatalf("the clock advanced by %v in a sleep of 2 ms", d)
	}
}
