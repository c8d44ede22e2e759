package exchange

import (
	"strconv"
	"strings"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/system/shedding"
)

// TestShed_OnlyIfSwitchedOn guards against requests beyond the slots that are sent all the same,
// refusals without their inputs, and a daemon that refuses them without the switch.
func TestShed_OnlyIfSwitchedOn(t *testing.T) {
	for _, on := range []bool{true, false} {
		c := newTestCore(t, "d1")
		if on {
			c.cfg.LoadShedding, c.shedder = true, shedding.New()
		}
		refused := 0
		for i := range 200 {
			ticket := mustAdmit(t, c, zero, testRequest("r"+strconv.Itoa(i), "/open/x", ""))
			_, r := c.Place(zero, ticket)
			if r == nil || !strings.HasPrefix(r.Code, ShedPrefix) {
				continue
			}
			refused++
			if r.Status != Unavailable || !strings.Contains(r.Inputs, "limit") {
				t.Errorf("refusal %+v", r)
			}
		}
		if on != (refused > 0) {
			t.Errorf("switched on %v: %d refused", on, refused)
		}
	}
}
