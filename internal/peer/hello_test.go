package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
)

func TestHello_Versions(t *testing.T) {
	cases := []struct {
		min, max uint16
		ok       bool
	}{
		{minVersion, maxVersion, true},
		{minVersion, maxVersion + 1, true},
		{maxVersion + 1, maxVersion + 2, false},
		{0, minVersion - 1, false},
	}
	for _, c := range cases {
		_, err := parseHello(encodeHello(hello{MinVersion: c.min, MaxVersion: c.max, ID: "a"}))
		if (err == nil) != c.ok || (err != nil && !errors.Is(err, ErrVersion)) {
			t.Errorf("hello with versions %d to %d: got error %v", c.min, c.max, err)
		}
	}
}

func TestHello_LaterReleaseMayAddFields(t *testing.T) {
	type newerHello struct {
		MinVersion uint16 `cbor:"1,keyasint"`
		MaxVersion uint16 `cbor:"2,keyasint"`
		ID         string `cbor:"3,keyasint"`
		Extra      string `cbor:"9,keyasint"`
	}
	body, err := codec.Encode(newerHello{minVersion, maxVersion, "a", "new"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parseHello(body); err != nil {
		t.Fatal(err)
	}
}

func TestReadFrame_Limits(t *testing.T) {
	frame := appendFrame(nil, frameMessage, []byte("body"))
	if _, body, err := readFrame(bytes.NewReader(frame), 4); err != nil || string(body) != "body" {
		t.Fatalf("frame with a body at the limit: got body %q, error %v", body, err)
	}
	if _, _, err := readFrame(bytes.NewReader(frame), 3); !errors.Is(err, ErrFrame) {
		t.Fatalf("frame with a body over the limit: got error %v, want ErrFrame", err)
	}
	if _, _, err := readFrame(bytes.NewReader(frame[:7]), 4); !errors.Is(err, ErrFrame) {
		t.Fatalf("truncated frame: got error %v, want ErrFrame", err)
	}
	if _, _, err := readFrame(bytes.NewReader(nil), 4); err != io.EOF {
		t.Fatalf("empty stream: got error %v, want io.EOF", err)
	}
}

func FuzzReadHello(f *testing.F) {
	f.Add(appendFrame(nil, frameHello, encodeHello(localHello("a"))))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := readHello(bytes.NewReader(data))
		if err == nil && (h.ID == "" || h.MaxVersion < minVersion || h.MinVersion > maxVersion) {
			t.Fatalf("invalid hello accepted: %v", h)
		}
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, frameMessage, []byte("body")))
	f.Fuzz(func(t *testing.T, data []byte) {
		kind, body, err := readFrame(bytes.NewReader(data), 1<<10)
		if err == nil && !bytes.HasPrefix(data, appendFrame(nil, kind, body)) {
			t.Fatal("the frame does not encode to the bytes from which it was read")
		}
	})
}
