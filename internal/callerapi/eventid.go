package callerapi

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// eventID is the id of a token event: the token's index and the checksum of
// all tokens up to it. A caller that resumes sends it back, which shows whether
// the stream there is the one that it has seen the start of.
type eventID struct {
	after int
	sum   uint32
}

// String returns the form used on the wire, such as "17-8c736521".
func (id eventID) String() string { return fmt.Sprintf("%d-%08x", id.after, id.sum) }

// lastEventID reads the header Last-Event-ID; without it, nothing was seen.
func lastEventID(r *http.Request) (eventID, error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		return eventID{}, nil
	}
	index, sum, ok := strings.Cut(text, "-")
	n, err := strconv.Atoi(index)
	if !ok || err != nil || n < 1 || n > maxTokens {
		return eventID{}, errEventID()
	}
	s, err := strconv.ParseUint(sum, 16, 32)
	if err != nil {
		return eventID{}, errEventID()
	}
	return eventID{after: n, sum: uint32(s)}, nil
}

// errEventID is the error of an id that was never sent.
func errEventID() error { return badRequest("Last-Event-ID must be the id of a token event") }
