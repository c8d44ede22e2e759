package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
)

// frameKind says what a frame of the stream holds.
type frameKind uint8

const (
	frameHello    frameKind = iota + 1 // the first frame of each stream
	frameMessage                       // a message sent with Transport.Send
	frameDatagram                      // a message sent with Transport.SendDatagram that is too large for one packet
	frameCheck                         // padding that the peer ignores
)

// frameHeaderBytes is the size of a frame's header. A frame consists of a length
// (uint32, big-endian), which counts the bytes that follow it, one byte with the
// kind, and the body. The header is the length and the kind.
const frameHeaderBytes = 5

// ErrFrame is wrapped by errors of malformed frames and hellos.
var ErrFrame = merry.Sentinel("peer: malformed frame")

// appendFrame appends the encoding of a frame.
func appendFrame(b []byte, kind frameKind, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+1))
	b = append(b, byte(kind))
	return append(b, body...)
}

// readFrame reads one frame whose body has at most limit bytes. It returns
// io.EOF only when the stream ends between frames. It allocates memory as bytes
// arrive, not by the length in the header, which may be false.
func readFrame(r io.Reader, limit int) (frameKind, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if err == io.EOF {
			return 0, nil, io.EOF
		}
		return 0, nil, merry.Prepend(err, "peer: read frame")
	}
	size := int64(binary.BigEndian.Uint32(header[:])) - 1
	if size < 0 || size > int64(limit) {
		return 0, nil, merry.Appendf(ErrFrame, "body of %d bytes, limit %d", size, limit)
	}
	var body bytes.Buffer
	n, err := io.CopyN(&body, r, size)
	if err != nil {
		return 0, nil, merry.Appendf(ErrFrame, "truncated after %d of %d bytes", n, size)
	}
	return frameKind(header[4]), body.Bytes(), nil
}
