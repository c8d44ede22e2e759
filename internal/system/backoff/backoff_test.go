package backoff

import (
	"testing"
	"time"
)

func TestDelay_DoublesUpToTheLimit(t *testing.T) {
	for failures, want := range []time.Duration{1, 1, 2, 4, 8, 10, 10} {
		if got := Delay(time.Second, 10*time.Second, failures); got != want*time.Second {
			t.Errorf("after %d failures: %v, want %v", failures, got, want*time.Second)
		}
	}
	if got := Delay(time.Second, 10*time.Second, 1<<30); got != 10*time.Second {
		t.Errorf("after very many failures: %v", got)
	}
}
