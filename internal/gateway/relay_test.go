package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
	"github.com/gooseberryslip/gooseberryslip/internal/outbound"
)

// idDialect reads the request's ID of a response from the field "Id".
type idDialect struct{ Dialect }

func (idDialect) EchoesRequestID(resp *http.Response, id entity.RequestID) bool {
	return resp.Header.Get("Id") == string(id)
}

// TestMayAnswerAnother_RefusalsThroughAnEarlierRelease: a forwarding daemon of an earlier release may send an ID
// twice on one connection, and does not say that it does not.
func TestMayAnswerAnother_RefusalsThroughAnEarlierRelease(t *testing.T) {
	for _, c := range []struct{ reused, idOnce, echoes, want bool }{
		{reused: false, idOnce: false, echoes: false, want: true},
		{reused: false, idOnce: false, echoes: true, want: false},
		{reused: false, idOnce: true, echoes: true, want: false},
		{reused: true, idOnce: true, echoes: true, want: false},
		{reused: true, idOnce: true, echoes: false, want: true},
		{reused: true, idOnce: false, echoes: true, want: true},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			x := &forwarding{g: &Gateway{Config: Config{Dialect: idDialect{}}}, request: exchange.Request{ID: "x"}}
			resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}}
			if c.echoes {
				resp.Header.Set("Id", "x")
			}
			if got := x.mayAnswerAnother(outbound.NewReply(resp, c.reused, c.idOnce, nil)); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
