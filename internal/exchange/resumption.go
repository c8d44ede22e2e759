package exchange

import (
	"slices"
	"strings"
)

// resumptionKey is a result under which streams that callers took up are counted.
type resumptionKey struct {
	continued bool
	reason    string // how the version was known, or why the stream was refused
}

// countResumption counts the stream that a request takes up, once.
func (c *Core) countResumption(t *Ticket, continued bool) {
	if !t.resumes() || t.origin.counted {
		return
	}
	t.origin.counted = true
	reason := t.origin.source
	switch {
	case !t.origin.known:
		reason = string(t.origin.doubt)
	case !continued:
		reason = "no-server-of-version"
	}
	c.resumptions[resumptionKey{continued, reason}]++
}

// ResumptionCount is a number of streams that callers took up, by what became of them.
type ResumptionCount struct {
	Continued bool
	Reason    string
	Count     uint64
}

// ResumptionCounts returns the numbers of streams that callers took up at this daemon.
func (c *Core) ResumptionCounts() []ResumptionCount {
	var out []ResumptionCount
	for key, n := range c.resumptions {
		out = append(out, ResumptionCount{key.continued, key.reason, n})
	}
	slices.SortFunc(out, func(a, b ResumptionCount) int { return strings.Compare(a.Reason, b.Reason) })
	return out
}
