package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// gatewayStatus shows what a gateway believes.
type gatewayStatus struct {
	Address string `arg:"positional,required" placeholder:"IP:PORT" help:"the gateway's metrics address"`
}

// errNoGateway ends a question that reached nobody.
var errNoGateway = errors.New("no gateway answers; is this its metrics address (the second port of its range)?")

// statusTimeout bounds the question.
const statusTimeout = 5 * time.Second

func (c *gatewayStatus) run(ctx context.Context, e *environment) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+"/status", nil)
	if err != nil {
		return usage("%v", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoGateway, err)
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answers %s", c.Address, resp.Status)
	}
	_, err = io.Copy(e.out, resp.Body)
	return err
}
