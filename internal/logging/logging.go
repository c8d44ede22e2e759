// Package logging writes numbered events and errors through logrus, as text or
// JSON, and bounds how much a flood of one event can write.
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
	// LinesPerSecond is how many lines of one number are written in the long run.
	LinesPerSecond = 20
	// Burst is how many lines of one number are written at once.
	Burst = 100
)

// Options say what the log holds and in which form.
type Options struct {
	Level      string // debug, info, warn, error
	Format     string // text, json
	Process    entity.InstanceID
	DataCentre entity.DataCentreID
}

// Log writes events. It is safe for concurrent use.
type Log struct {
	entry *logrus.Entry

	mu     sync.Mutex
	limits map[event.Number]*limit
}

// limit bounds the lines of one number.
type limit struct {
	bucket     *rate.Limiter
	suppressed int // lines left out since the last one written
}

// New returns a log that writes to w. An unknown level or format is an error.
func New(w io.Writer, o Options) (*Log, error) {
	level, err := logrus.ParseLevel(o.Level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(level)
	logger.SetFormatter(formatter(o.Format))
	fields := logrus.Fields{"process": string(o.Process), "data_centre": string(o.DataCentre)}
	return &Log{entry: logger.WithFields(fields), limits: map[event.Number]*limit{}}, nil
}

func formatter(format string) logrus.Formatter {
	if format == "json" {
		return &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}
	}
	return &logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: time.RFC3339Nano}
}

// Logger returns the logger for lines that are no events, such as those of
// libraries.
func (l *Log) Logger() *logrus.Entry { return l.entry }

// Event writes an event, unless its level is below that of the log or too many
// of its number have been written lately. The next line of the number that is
// written says how many were left out.
func (l *Log) Event(now time.Time, e event.Event) {
	kind, known := event.KindOf(e.Number)
	if !known {
		kind = event.Kind{Number: e.Number, Level: event.Warn, Text: "event without a description"}
	}
	level := levelOf(kind.Level)
	if !l.entry.Logger.IsLevelEnabled(level) {
		return
	}
	suppressed, ok := l.admit(now, e.Number)
	if !ok {
		return
	}
	entry := l.entry.WithTime(now).WithFields(fieldsOf(e))
	if suppressed > 0 {
		entry = entry.WithField("suppressed", suppressed)
	}
	entry.Log(level, kind.Text)
}

// admit reports whether a line may be written and how many were left out
// before it.
func (l *Log) admit(now time.Time, n event.Number) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.limits[n]
	if lim == nil {
		lim = &limit{bucket: rate.NewLimiter(LinesPerSecond, Burst)}
		l.limits[n] = lim
	}
	if !lim.bucket.AllowN(now, 1) {
		lim.suppressed++
		return 0, false
	}
	suppressed, lim.suppressed = lim.suppressed, 0
	return suppressed, true
}

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
