package gateway

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/gooseberryslip/gooseberryslip/internal/exchange"
)

// readyHandler serves the readiness probe: 200 while this daemon can serve callers,
// otherwise 503.
func (g *Gateway) readyHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		ready := false
		g.withCore(func(c *exchange.Core, now time.Time) { ready = c.Serving(now) })
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// addressHandler serves the addresses of daemons to which callers may connect.
func (g *Gateway) addressHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/resolve", g.serveAddresses)
	return r
}

func (g *Gateway) serveAddresses(w http.ResponseWriter, r *http.Request) {
	var addresses []string
	dc := g.Dialect.CallerDataCentre(r)
	g.withCore(func(c *exchange.Core, now time.Time) { addresses = c.Addresses(now, dc) })
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := g.Dialect.EncodeAddresses(addresses, g.Settings.AddressTTL)
	if err != nil {
		g.Log.Logger().WithError(err).Error("failed to encode the list of daemon addresses")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected, who then needs no response.
	_, _ = w.Write(body)
}
