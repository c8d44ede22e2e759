package gateway

import (
	"context"
	"errors"

	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// agreeRow returns the content of a row on which all daemons agree: the one in the table
// or, if there is none, the one that propose returns, which it writes.
func (g *Gateway) agreeRow(ctx context.Context, partition, sortKey string, propose func() ([]byte, error)) ([]byte, error) {
	row, err := g.Table.Get(ctx, partition, sortKey, true)
	if err == nil || !errors.Is(err, provider.ErrNotFound) {
		return row.Value, err
	}
	proposed, err := propose()
	if err != nil {
		return nil, err
	}
	write := provider.Write{Partition: partition, Sort: sortKey, Value: proposed}
	err = g.Table.Transact(ctx, "", []provider.Write{write})
	if errors.Is(err, provider.ErrConditionFailed) {
		row, err := g.Table.Get(ctx, partition, sortKey, true) // another daemon has written it first
		return row.Value, err
	}
	return proposed, err
}
