package configuration

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// HistoryOutcome answers History.
type HistoryOutcome struct {
	Service   entity.ServiceName
	Documents []Document // newest first, at most HistoryLength
	Err       error      // wraps a sentinel of package platform
}

// History asks for the past documents of a service. The answer comes in Ready;
// calls that come before it share it.
func (c *Configuration) History(service entity.ServiceName) {
	if slices.Contains(c.histories, service) {
		return
	}
	c.histories = append(c.histories, service)
	c.issue(readHistory(service), func(_ time.Time, r provider.Result) {
		c.histories = slices.DeleteFunc(c.histories, func(s entity.ServiceName) bool { return s == service })
		c.ready.Histories = append(c.ready.Histories, HistoryOutcome{
			Service: service, Documents: decodeHistory(r.Rows), Err: r.Err,
		})
	})
}

func historyOf(service entity.ServiceName) string { return historyPartition + string(service) }

// historySort returns the row of a document's version. The rows form a ring.
func historySort(version uint64) string { return fmt.Sprintf("%04d", version%HistoryLength) }

func readHistory(service entity.ServiceName) provider.Operation {
	return provider.Operation{
		Kind: provider.QueryRows, Partition: historyOf(service), Limit: HistoryLength, Consistent: true,
	}
}

// decodeHistory returns the documents of a ring's rows, newest first.
func decodeHistory(rows []provider.Row) []Document {
	var out []Document
	for _, row := range rows {
		if d, err := decodeDocument(row); err == nil {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Document) int {
		switch {
		case a.Revision > b.Revision:
			return -1
		case a.Revision < b.Revision:
			return 1
		default:
			return 0
		}
	})
	return out
}
