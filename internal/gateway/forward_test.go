package gateway

import (
	"net/http"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/verdict"
)

// TestToReply_InvalidHead: a forwarding daemon of an earlier release passes on invalid heads.
func TestToReply_InvalidHead(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]forwardedHead{
		"status 0":               {Status: 0, ContentLength: 5},
		"status 99":              {Status: 99, ContentLength: 5},
		"blank before the colon": {Status: 200, ContentLength: -1, Header: []headerField{{[]byte("Content-Length "), []byte("5")}}},
		"blank within a name":    {Status: 200, ContentLength: 5, Header: []headerField{{[]byte("X Odd"), []byte("y")}}},
	} {
		if reply, err := head.toReply(http.NoBody); err == nil || verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("%s: got %v, error %v; want one after which the request may have run", name, reply, err)
		}
	}
	sound := forwardedHead{Status: 200, ContentLength: 5, Header: []headerField{{[]byte("X-Odd"), []byte("caf\xe9")}}}
	if reply, err := sound.toReply(http.NoBody); err != nil || reply.response.StatusCode != http.StatusOK {
		t.Errorf("a sound head: got %v, error %v", reply, err)
	}
}
