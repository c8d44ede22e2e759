package gateway

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
)

// Bodies whose length is not known must take from the budget what they hold, at every moment.
func TestHeldBody_BodiesInChunksTakeWhatTheyHold(t *testing.T) {
	const limit, size, others = 1 << 20, 300_000, 8
	budget := &bodyBudget{limitBytes: limit}
	held, refused := int64(0), 0
	for range others {
		body := &heldBody{budget: budget}
		err := body.read(bytes.NewReader(make([]byte, size)), firstBodyBytes, 4<<20)
		switch {
		case err == nil && len(body.bytes) == size:
			held += int64(cap(body.bytes))
		case errors.Is(err, errNoMemory):
			body.release()
			refused++
		default:
			t.Fatalf("%d bytes read: %v", len(body.bytes), err)
		}
	}
	if used := budget.usedBytes.Load(); used != held || used > limit {
		t.Errorf("%d bytes reserved, %d held, %d allowed", used, held, limit)
	}
	if refused == 0 || refused == others {
		t.Errorf("%d of %d bodies refused, want some", refused, others)
	}
}

// Whatever the sizes of bodies and of the pieces in which they come, what is held is reserved, the
// budget is kept, and all of it is given back.
func FuzzHeldBody(f *testing.F) {
	f.Add(uint64(1), uint16(3))
	f.Add(uint64(2), uint16(40))
	f.Fuzz(func(t *testing.T, seed uint64, count uint16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		budget := &bodyBudget{limitBytes: 1 + rng.Int64N(4<<20)}
		var bodies []*heldBody
		for range count % 64 {
			content := make([]byte, rng.IntN(1<<19))
			for i := range content {
				content[i] = byte(i)
			}
			var r io.Reader = bytes.NewReader(content)
			if rng.IntN(2) == 0 {
				r = iotest.HalfReader(r)
			}
			limit := 1 + rng.Int64N(1<<19)
			body := &heldBody{budget: budget}
			bodies = append(bodies, body)
			err := body.read(r, rng.Int64N(1<<17)+1, limit)
			if err != nil && !errors.Is(err, errNoMemory) {
				t.Fatal(err)
			}
			if want := content[:min(int64(len(content)), limit)]; err == nil && !bytes.Equal(body.bytes, want) {
				t.Fatalf("%d bytes read of %d", len(body.bytes), len(want))
			}
			held := int64(0)
			for _, b := range bodies {
				held += int64(cap(b.bytes))
			}
			if used := budget.usedBytes.Load(); used != held || used > budget.limitBytes {
				t.Fatalf("%d bytes reserved, %d held, %d allowed", used, held, budget.limitBytes)
			}
			if rng.IntN(3) == 0 {
				i := rng.IntN(len(bodies))
				bodies[i].release()
				bodies = append(bodies[:i], bodies[i+1:]...)
			}
		}
		for _, b := range bodies {
			b.release()
		}
		if used := budget.usedBytes.Load(); used != 0 {
			t.Fatalf("%d bytes reserved at the end", used)
		}
	})
}
