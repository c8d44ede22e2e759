package callerapi

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// eventID is the id of a token event: the token's index and the checksum of all
// tokens up to and including it. A caller that resumes a stream sends back the
// last id it received, so that the daemon can check that its stream starts with
// the tokens the caller already has.
type eventID struct {
	tokenIndex int
	checksum   uint32
}

// String returns the id as it is sent to callers, such as "17-8c736521".
func (id eventID) String() string { return fmt.Sprintf("%d-%08x", id.tokenIndex, id.checksum) }

// parseLastEventID parses the header Last-Event-ID. Without that header it returns
// the zero id: the caller has received no tokens.
func parseLastEventID(r *http.Request) (eventID, error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return eventID{}, nil
	}
	index, sum, ok := strings.Cut(text, "-")
	n, err := strconv.Atoi(index)
	if !ok || err != nil || n < 1 || n > maxTokens {
		return eventID{}, errInvalidEventID()
	}
	s, err := strconv.ParseUint(sum, 16, 32)
	if err != nil {
		return eventID{}, errInvalidEventID()
	}
	return eventID{tokenIndex: n, checksum: uint32(s)}, nil
}

// errInvalidEventID returns the error for a Last-Event-ID that no token event can
// have had.
func errInvalidEventID() error { return badRequest("Last-Event-ID must be the id of a token event") }
