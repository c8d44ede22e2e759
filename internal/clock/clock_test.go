package clock

import (
	"context"
	"testing"
	"time"
)

func TestNow_Advances(t *testing.T) {
	start := Now()
	time.Sleep(2 * time.Millisecond)
	if d := Now().Sub(start); d < 2*time.Millisecond {
		t.Fatalf("the clock advanced by %v during a sleep of 2 ms", d)
	}
}

func TestWait_EndsWithTheContext(t *testing.T) {
	if !Wait(t.Context(), time.Millisecond) {
		t.Fatal("Wait returned false without a cancelled context")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if Wait(ctx, time.Hour) {
		t.Fatal("Wait returned true with a cancelled context")
	}
}
