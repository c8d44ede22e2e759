package configuration

import (
	"fmt"
	"slices"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/provider"
)

// HistoryOutcome is the answer to a call of History.
type HistoryOutcome struct {
	Service   entity.ServiceName
	Documents []Document // newest first, at most HistoryLength
	Err       error      // wraps a sentinel error of package provider
}

// History requests the past documents of a service. The answer is returned by
// Ready; calls made before it arrives share it.
func (c *Configuration) History(service entity.ServiceName) {
	if slices.Contains(c.pendingHistories, service) {
		return
	}
	c.pendingHistories = append(c.pendingHistories, service)
	c.issueOperation(readHistory(service), func(_ time.Time, r provider.Result) {
		c.pendingHistories = slices.DeleteFunc(c.pendingHistories, func(s entity.ServiceName) bool { return s == service })
		c.ready.Histories = append(c.ready.Histories, HistoryOutcome{
			Service: service, Documents: decodeHistory(r.Rows), Err: r.Err,
		})
	})
}

func historyPartitionOf(service entity.ServiceName) string {
	return historyPartitionPrefix + string(service)
}

// historySortKey returns the sort key under which the history stores a version
// of a document. The rows form a ring buffer of HistoryLength rows.
func historySortKey(version uint64) string { return fmt.Sprintf("%04d", version%HistoryLength) }

func readHistory(service entity.ServiceName) provider.Operation {
	return provider.Operation{
		Kind: provider.QueryRows, Partition: historyPartitionOf(service), Limit: HistoryLength, Consistent: true,
	}
}

// decodeHistory returns the documents in a history's rows, newest first.
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
