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
			t.Errorf("%d to %d: %v", c.min, c.max, err)
		}
	}
}

func TestHello_LaterReleaseMayAddFields(t *testing.T) {
	type laterHello struct {
		MinVersion uint16 `cbor:"1,keyasint"`
		MaxVersion uint16 `cbor:"2,keyasint"`
		ID         string `cbor:"3,keyasint"`
		Extra      string `cbor:"9,keyasint"`
	}
	body, err := codec.Encode(laterHello{minVersion, maxVersion, "a", "new"})
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
		t.Fatalf("%q, %v", body, err)
	}
	if _, _, err := readFrame(bytes.NewReader(frame), 3); !errors.Is(err, ErrFrame) {
		t.Fatalf("too large a body: %v", err)
	}
	if _, _, err := readFrame(bytes.NewReader(frame[:7]), 4); !errors.Is(err, ErrFrame) {
		t.Fatalf("cut short: %v", err)
	}
	if _, _, err := readFrame(bytes.NewReader(nil), 4); err != io.EOF {
		t.Fatalf("end: %v", err)
	}
}

func FuzzReadHello(f *testing.F) {
	f.Add(appendFrame(nil, frameHello, encodeHello(ownHello("a"))))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := readHello(bytes.NewReader(data))
		if err == nil && (h.ID == "" || h.MaxVersion < minVersion || h.MinVersion > maxVersion) {
			t.Fatalf("accepted %v", h)
		}
	})
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, frameMessage, []byte("body")))
	f.Fuzz(func(t *testing.T, data []byte) {
		kind, body, err := readFrame(bytes.NewReader(data), 1<<10)
		if err == nil && !bytes.HasPrefix(data, appendFrame(nil, kind, body)) {
			t.Fatal("frame does not encode to what was read")
		}
	})
}
