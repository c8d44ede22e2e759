package codec

import (
	"testing"
	"time"
)

type sample struct {
	Name string    `cbor:"1,keyasint"`
	At   time.Time `cbor:"2,keyasint"`
}

func TestDecode_RoundTrip(t *testing.T) {
	in := sample{Name: "a", At: time.UnixMicro(1_700_000_000_123_456).UTC()}
	data, err := Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	var out sample
	if err := Decode(data, &out); err != nil {
		t.Fatal(err)
	}
	if out.Name != in.Name || !out.At.Equal(in.At) {
		t.Fatalf("decoded %v, want %v", out, in)
	}
}

func TestDecode_RefusesTrailingBytes(t *testing.T) {
	data, _ := Encode(sample{Name: "a"})
	if Decode(append(data, 0), &sample{}) == nil {
		t.Fatal("trailing byte accepted")
	}
}

func FuzzDecode(f *testing.F) {
	data, _ := Encode(sample{Name: "a"})
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _ = Decode(data, &sample{}) })
}
