// Package logging writes events with logrus, as text or JSON, and limits the rate
// of log lines per event number.
package logging

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/gooseberryslip/gooseberryslip/internal/entity"
	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

const (
	// LinesPerSecond is the rate to which the lines of one event number are limited.
	LinesPerSecond = 20
	// Burst is how many lines of one event number may exceed the rate at once.
	Burst = 100
)

// Options configures a Log.
type Options struct {
	Level      string // lowest level logged: debug, info, warn or error
	Format     string // "json"; anything else means text
	Process    entity.InstanceID
	DataCentre entity.DataCentreID
}

// Log writes events to a log. It is safe for concurrent use.
type Log struct {
	entry *logrus.Entry

	mu     sync.Mutex // guards limits and their contents
	limits map[event.Number]*lineLimit
}

// lineLimit limits the rate of the lines of one event number.
type lineLimit struct {
	bucket     *rate.Limiter
	suppressed int // lines suppressed since the last one written
}

// New returns a log that writes to w. It returns an error for an unknown level.
func New(w io.Writer, o Options) (*Log, error) {
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(newFormatter(o.Format))
	fields := logrus.Fields{"process": string(o.Process), "data_centre": string(o.DataCentre)}
	return &Log{entry: logger.WithFields(fields), limits: map[event.Number]*lineLimit{}}, nil
}

func newFormatter(format string) logrus.Formatter {
	if format == "json" {
		return &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
	}
	return &logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: time.RFC3339Nano}
}

// Logger returns the underlying logger, for lines that are not events, such as
// those of libraries. Its lines are not limited in rate.
func (l *Log) Logger() *logrus.Entry { return l.entry }

// Event writes an event, unless its level is below that of the log or the rate
// limit of its number is exceeded. The next line of the number has the number of
// suppressed lines in the field "suppressed".
func (l *Log) Event(now time.Time, e event.Event) {
	kind, known := event.KindOf(e.Number)
	if !known {
		kind = event.Kind{Number: e.Number, Level: event.Warn, Text: "event without a description"}
	}
	level := levelOf(kind.Level)
	if !l.entry.Logger.IsLevelEnabled(level) {
		return
	}
	suppressed, ok := l.allow(now, e.Number)
	if !ok {
		return
	}
	entry := l.entry.WithTime(now).WithFields(fieldsOf(e))
	if suppressed > 0 {
		entry = entry.WithField("suppressed", suppressed)
	}
	entry.Log(level, kind.Text)
}

// allow reports whether the rate limit permits a line of the number now, and how
// many lines it has suppressed since the last one.
func (l *Log) allow(now time.Time, n event.Number) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[n]
	if limit == nil {
		limit = &lineLimit{bucket: rate.NewLimiter(LinesPerSecond, Burst)}
		l.limits[n] = limit
	}
	if !limit.bucket.AllowN(now, 1) {
		limit.suppressed++
		return 0, false
	}
	suppressed, limit.suppressed = limit.suppressed, 0
	return suppressed, true
}

// levelOf returns the logrus level for the level of an event.
func levelOf(l event.Level) logrus.Level {
	switch l {
	case event.Debug:
		return logrus.DebugLevel
	case event.Warn:
		return logrus.WarnLevel
	case event.Error:
		return logrus.ErrorLevel
	default:
		return logrus.InfoLevel
	}
}

// fieldsOf returns the fields of the log line of an event, without the empty ones.
func fieldsOf(e event.Event) logrus.Fields {
	f := logrus.Fields{"number": uint16(e.Number)}
	add := func(name, value string) {
		if value != "" {
			f[name] = value
		}
	}
	add("service", string(e.Service))
	add("request", string(e.Request))
	add("backend_server", string(e.Backend))
	add("peer", string(e.Peer))
	add("detail", e.Detail)
	if e.Attempt > 0 {
		f["attempt"] = uint32(e.Attempt)
	}
	for _, a := range e.Attrs {
		f[a.Name] = a.Value
	}
	return f
}
