package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// TestChoose_StatesTheRoomOfTheService: load shedding needs the service's servers and slots from
// each choice. Choices by learned speeds stated none, so that all requests were refused.
func TestChoose_StatesTheRoomOfTheService(t *testing.T) {
	for _, speeds := range []bool{false, true} {
		t.Run(fmt.Sprint("speeds=", speeds), func(t *testing.T) {
			p := New(rand.New(rand.NewPCG(1, 1)))
			if speeds {
				p.EnableServerSpeeds("d0")
			}
			for i := range 3 {
				p.SetServer(Server{ID: entity.BackendServerID(fmt.Sprint("s", i)), Service: "engine", Slots: 16, Memory: 100_000})
			}
			choice, ok := p.Choose(time.Unix(0, 0), Query{Service: "engine", Prompt: 100}, func(entity.BackendServerID) bool { return true })
			if !ok || choice.Servers != 3 || choice.Slots != 48 {
				t.Errorf("chosen %v with %d servers and %d slots, want 3 and 48", ok, choice.Servers, choice.Slots)
			}
		})
	}
}
