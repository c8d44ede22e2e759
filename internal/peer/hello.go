package peer

import (
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/gooseberryslip/gooseberryslip/internal/codec"
	"github.com/gooseberryslip/gooseberryslip/internal/entity"
)

// Versions of the protocol between daemons that this release speaks. A release
// speaks its own version and the one before, so that daemons of successive
// releases can run side by side. New fields and frame kinds need no new version;
// they are ignored by older releases.
const (
	minVersion uint16 = 1
	maxVersion uint16 = 1
)

const (
	maxHelloBytes      = 1024
	maxInstanceIDBytes = 256
)

// ErrVersion is wrapped when two daemons have no protocol version in common.
var ErrVersion = merry.Sentinel("peer: no common protocol version")

// hello is the body of the first frame in each direction.
type hello struct {
	MinVersion uint16            `cbor:"1,keyasint"`
	MaxVersion uint16            `cbor:"2,keyasint"`
	ID         entity.InstanceID `cbor:"3,keyasint"`
}

func localHello(id entity.InstanceID) hello {
	return hello{MinVersion: minVersion, MaxVersion: maxVersion, ID: id}
}

func encodeHello(h hello) []byte {
	body, err := codec.Encode(h)
	if err != nil {
		panic(err) // cannot happen: all fields of a hello can be encoded
	}
	return body
}

// readHello reads and checks the peer's hello.
func readHello(r io.Reader) (hello, error) {
	kind, body, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return hello{}, err
	}
	if kind != frameHello {
		return hello{}, merry.Append(ErrFrame, "first frame is not a hello")
	}
	return parseHello(body)
}

func parseHello(body []byte) (hello, error) {
	var h hello
	if err := codec.Decode(body, &h); err != nil {
		return hello{}, merry.Append(ErrFrame, err.Error())
	}
	if h.ID == "" || len(h.ID) > maxInstanceIDBytes || h.MinVersion > h.MaxVersion {
		return hello{}, merry.Append(ErrFrame, "hello has an empty or too long instance ID or an empty range of versions")
	}
	if h.MaxVersion < minVersion || h.MinVersion > maxVersion {
		return hello{}, merry.Appendf(ErrVersion, "peer supports versions %d to %d, this daemon %d to %d",
			h.MinVersion, h.MaxVersion, minVersion, maxVersion)
	}
	return h, nil
}
