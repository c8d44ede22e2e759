package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/adminapi"
	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

// maxConcurrentQueries bounds the daemons that a subcommand queries at the same
// time.
const maxConcurrentQueries = 32

// adminFlags holds the flags of subcommands that call the administration API of
// daemons.
type adminFlags struct {
	Admin     string        `arg:"--admin,env:GOOSEBERRYSLIP_ADMIN" default:"127.0.0.1:7201" placeholder:"ADDRESS" help:"a daemon's administration address, or an https URL"`
	TokenFile string        `arg:"--token-file,env:GOOSEBERRYSLIP_TOKEN_FILE" placeholder:"FILE" help:"file with the operator's token, mode 0600"`
	CA        string        `arg:"--ca,env:GOOSEBERRYSLIP_CA" placeholder:"FILE" help:"certificate authority of an https address, in PEM"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"timeout of each call"`
}

// newClient returns a client of the daemon named by the flags.
func (r *adminFlags) newClient() (*adminapi.Client, error) {
	if r.TokenFile == "" {
		return nil, newUsageError("--token-file or GOOSEBERRYSLIP_TOKEN_FILE is required")
	}
	token, err := settings.ReadSecret(r.TokenFile)
	if err != nil {
		return nil, err
	}
	transport, err := r.newTransport()
	if err != nil {
		return nil, err
	}
	return &adminapi.Client{
		Address: r.Admin,
		Token:   string(bytes.TrimSpace(token)),
		HTTP:    &http.Client{Timeout: r.Timeout, Transport: httpcheck.NewTransport(transport)},
	}, nil
}

func (r *adminFlags) newTransport() (*http.Transport, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	if r.CA == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(r.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, newUsageError("--ca %s: the file holds no certificate in PEM", r.CA)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// peerClient returns a client of another daemon with the same credential and URL
// scheme.
func peerClient(c *adminapi.Client, address string) *adminapi.Client {
	peer := *c
	peer.Address = address
	if scheme, _, ok := strings.Cut(c.Address, "://"); ok {
		peer.Address = scheme + "://" + address
	}
	return &peer
}

// peerReply is the result of a query of one peer.
type peerReply[T any] struct {
	peer  adminapi.PeerStatus
	value T
	err   error
}

// queryPeers queries a daemon's peers, up to maxConcurrentQueries at a time. The
// replies are in the order of the peers.
func queryPeers[T any](ctx context.Context, c *adminapi.Client, peers []adminapi.PeerStatus,
	query func(context.Context, *adminapi.Client) (T, error),
) []peerReply[T] {
	out := make([]peerReply[T], len(peers))
	slots := make(chan struct{}, maxConcurrentQueries)
	var queries sync.WaitGroup
	for i, p := range peers {
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			value, err := query(ctx, peerClient(c, p.AdminAddress))
			out[i] = peerReply[T]{peer: p, value: value, err: err}
		})
	}
	queries.Wait()
	return out
}
