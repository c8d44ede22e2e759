// Package codec encodes messages between daemons as CBOR (RFC 8949). Unknown
// fields are ignored, so that daemons of different releases can communicate. Limits
// on nesting and sizes bound the cost of decoding a malformed message.
package codec

import "github.com/fxamacker/cbor/v2"

const (
	maxNesting  = 16      // levels of arrays and maps
	maxElements = 1 << 17 // of one array; pairs of one map
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

// Decode decodes data into v. It returns an error if bytes follow the first encoded
// value.
func Decode(data []byte, v any) error { return decoding.Unmarshal(data, v) }
