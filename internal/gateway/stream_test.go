package gateway

import (
	"strings"
	"testing"
)

// splitInPieces pushes text in pieces of a size and returns the events and what is left.
func splitInPieces(text string, size int) (complete string, s eventSplitter) {
	for text != "" {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		complete += string(s.push([]byte(piece)))
	}
	return complete, s
}

func TestEventSplitter_PiecesOfAnySize(t *testing.T) {
	const events = "id: 1\ndata: a\n\ndata: b\r\n\r\nid: 3\r\ndata: c\r\ndata: d\r\n\r\n"
	const tail = "id: 4\ndata: e\r\n\r"
	for size := 1; size <= len(events+tail); size++ {
		complete, s := splitInPieces(events+tail, size)
		if complete != events || string(s.tail) != tail || s.lastEventID != "3" {
			t.Errorf("pieces of %d: events %q, tail %q, last ID %q", size, complete, s.tail, s.lastEventID)
		}
	}
}

func BenchmarkEventSplitter_LongEvent(b *testing.B) {
	text := strings.Repeat("x", 256<<10)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		splitInPieces(text, 64)
	}
}
