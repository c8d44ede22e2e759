package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/httpcheck"
)

// gatewayStatusCommand prints the status of a gateway: its view of its configuration,
// backend servers and peers.
type gatewayStatusCommand struct {
	Address string `arg:"positional,required" placeholder:"IP:PORT" help:"the gateway's metrics address"`
}

// errNoGateway is returned if the status request got no answer. The process exits
// with ExitUnavailable.
var errNoGateway = errors.New("no gateway answers; is this its metrics address (the second port of its range)?")

// statusTimeout bounds the status request.
const statusTimeout = 5 * time.Second

func (c *gatewayStatusCommand) run(ctx context.Context, e *environment) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+"/status", nil)
	if err != nil {
		return newUsageError("%v", err)
	}
	client := http.Client{Transport: httpcheck.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoGateway, err)
	}
	defer func() { _ = resp.Body.Close() }() // a response that was only read loses no data
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status request to gateway %s failed with HTTP status %s", c.Address, resp.Status)
	}
	_, err = io.Copy(e.stdout, resp.Body)
	return err
}
