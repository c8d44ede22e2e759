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
	"github.com/gooseberryslip/gooseberryslip/internal/settings"
)

// askedAtOnce bounds the daemons that a subcommand asks at the same time.
const askedAtOnce = 32

// remote holds the flags of subcommands that talk to daemons.
type remote struct {
	Admin     string        `arg:"--admin,env:GOOSEBERRYSLIP_ADMIN" default:"127.0.0.1:7201" placeholder:"ADDRESS" help:"a daemon's administration address, or an https URL"`
	TokenFile string        `arg:"--token-file,env:GOOSEBERRYSLIP_TOKEN_FILE" placeholder:"FILE" help:"file with the operator's token, mode 0600"`
	CA        string        `arg:"--ca,env:GOOSEBERRYSLIP_CA" placeholder:"FILE" help:"certificate authority of an https address"`
	Timeout   time.Duration `arg:"--timeout" default:"15s" help:"for each call"`
}

// client returns a client of the daemon named by the flags.
func (r *remote) client() (*adminapi.Client, error) {
	if r.TokenFile == "" {
		return nil, usage("--token-file or GOOSEBERRYSLIP_TOKEN_FILE is required")
	}
	token, err := settings.ReadSecret(r.TokenFile)
	if err != nil {
		return nil, err
	}
	transport, err := r.transport()
	if err != nil {
		return nil, err
	}
	return &adminapi.Client{
		Address: r.Admin,
		Token:   string(bytes.TrimSpace(token)),
		HTTP:    &http.Client{Timeout: r.Timeout, Transport: transport},
	}, nil
}

func (r *remote) transport() (*http.Transport, error) {
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
		return nil, usage("%s holds no certificate", r.CA)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// peerOf returns a client of another daemon with the same credential.
func peerOf(c *adminapi.Client, address string) *adminapi.Client {
	peer := *c
	peer.Address = address
	if scheme, _, ok := strings.Cut(c.Address, "://"); ok {
		peer.Address = scheme + "://" + address
	}
	return &peer
}

// reply is what one daemon answered.
type reply[T any] struct {
	peer  adminapi.PeerStatus
	value T
	err   error
}

// askAll asks a daemon's peers, several at a time. Replies are in the order of
// the peers.
func askAll[T any](ctx context.Context, c *adminapi.Client, peers []adminapi.PeerStatus,
	ask func(context.Context, *adminapi.Client) (T, error),
) []reply[T] {
	out := make([]reply[T], len(peers))
	slots := make(chan struct{}, askedAtOnce)
	var all sync.WaitGroup
	for i, p := range peers {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			value, err := ask(ctx, peerOf(c, p.Admin))
			out[i] = reply[T]{peer: p, value: value, err: err}
		})
	}
	all.Wait()
	return out
}
