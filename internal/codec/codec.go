// Package codec encodes messages between daemons as CBOR (RFC 8949). Unknown
// fields are ignored, so that two releases can talk; limits bound what a
// malformed message can cost.
package codec

import "github.com/fxamacker/cbor/v2"

const (
	maxNesting  = 16
	maxElements = 1 << 17
)

var (
	encoding = mustEncMode()
	decoding = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoding of v.
func Encode(v any) ([]byte, error) { return encoding.Marshal(v) }

// Decode reads one value that must fill the whole of data.
func Decode(data []byte, v any) error { return decoding.Unmarshal(data, v) }
