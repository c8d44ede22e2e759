package adminapi

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
	"github.com/gooseberryslip/gooseberryslip/internal/timeline"
)

// parseFilter parses the query of GET /v1/admin/events.
func parseFilter(q url.Values) (timeline.Filter, error) {
	f := timeline.Filter{
		Request:  entity.RequestID(q.Get("request")),
		Service:  entity.ServiceName(q.Get("service")),
		Instance: q.Get("instance"),
	}
	var err error
	if s := q.Get("since"); s != "" {
		if f.Since, err = time.Parse(time.RFC3339Nano, s); err != nil {
			return f, fmt.Errorf("since must be a time such as 2026-01-02T15:04:05Z")
		}
	}
	if s := q.Get("limit"); s != "" {
		if f.Limit, err = strconv.Atoi(s); err != nil || f.Limit < 1 {
			return f, fmt.Errorf("limit must be a number above 0")
		}
	}
	if s := q.Get("level"); s != "" {
		if f.Level, err = event.ParseLevel(s); err != nil {
			return f, err
		}
	}
	return f, nil
}

// encodeFilter is the inverse of parseFilter.
func encodeFilter(f timeline.Filter) url.Values {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	set("request", string(f.Request))
	set("service", string(f.Service))
	set("instance", f.Instance)
	if !f.Since.IsZero() {
		q.Set("since", f.Since.Format(time.RFC3339Nano))
	}
	if f.Limit > 0 {
		q.Set("limit", strconv.Itoa(f.Limit))
	}
	q.Set("level", f.Level.String())
	return q
}
