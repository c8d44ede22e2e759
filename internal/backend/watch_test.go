package backend

import (
	"strings"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/core"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/standin"
	"github.com/gooseberryslip/gooseberryslip/internal/system/grant"
)

func TestWatcher_ReadsLoadAndCacheEvents(t *testing.T) {
	server, err := standin.StartServer(standin.NewEngine(standin.EngineConfig{ID: "e", Slots: 5, CacheBlocks: 16}))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Kill()
	s := newEventSink()
	w := NewWatcher(s.record)
	defer w.Close()
	w.SetEngines([]entity.BackendServer{{ID: "e", Address: server.Address()}})
	if in, ok := s.next(t).(core.EngineLoad); !ok || in.Load.Slots != 5 {
		t.Fatalf("got %+v, want a load report with 5 slots", in)
	}
	client := New(func(core.Input) {})
	defer client.Close()
	d := completionDispatch(server.Address())
	d.Work.Completion.Prompt = strings.Repeat("p", standin.PrefixBlockBytes)
	client.Dispatch(d)
	for {
		in, ok := s.next(t).(core.EngineCache)
		if !ok {
			continue
		}
		if in.Event.Kind != grant.PrefixStored || in.Event.Prefix == 0 || in.Backend != "e" {
			t.Fatalf("got %+v, want the stored prefix of engine e", in)
		}
		return
	}
}

func FuzzParseCacheEvent(f *testing.F) {
	f.Add([]byte(`{"seq":1,"kind":"stored","prefix":"0123456789abcdef"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if e, ok := parseCacheEvent(data); ok && e.Kind == 0 {
			t.Error("accepted an event without a kind")
		}
	})
}
