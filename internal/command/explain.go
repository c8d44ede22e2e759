package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// explainCommand prints what the log files of any number of daemons say about one
// request.
type explainCommand struct {
	Request string        `arg:"positional,required" placeholder:"ID" help:"the request's id"`
	Files   []string      `arg:"positional" placeholder:"FILE" help:"log files of daemons; default: standard input"`
	Around  time.Duration `arg:"--around" default:"3s" placeholder:"TIME" help:"also show what changed in the daemons' state from this long before the request until this long after"`
}

// logLine is one line of a daemon's log.
type logLine struct {
	at          time.Time
	process     string
	eventNumber int
	text        string
	request     string
	fields      map[string]any
}

const (
	// maxLogLineBytes is the length of the longest log line that can be read.
	maxLogLineBytes = 1 << 20
	// The first and last number of the events that record a change of the state
	// on which a daemon bases its decisions: its configuration, backend servers,
	// dependencies and peers.
	firstStateEvent = 6100
	lastStateEvent  = 6199
)

func (c *explainCommand) run(_ context.Context, e *environment) error {
	lines, skipped, err := c.readFiles()
	if err != nil {
		return err
	}
	selected := c.selectLines(lines)
	if len(selected) == 0 {
		return fmt.Errorf("no log line about request %s among %d lines; %d more lines were unreadable", c.Request, len(lines), skipped)
	}
	if skipped > 0 {
		fmt.Fprintf(e.stderr, "%d lines are cut off or are not log lines; they were skipped\n", skipped)
	}
	for _, l := range selected {
		fmt.Fprintln(e.stdout, l.String())
	}
	return nil
}

// readFiles returns the log lines of all files, or of standard input if none is
// given. Lines that cannot be parsed are only counted.
func (c *explainCommand) readFiles() (lines []logLine, skipped int, err error) {
	if len(c.Files) == 0 {
		return readLog(os.Stdin)
	}
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		fileLines, fileSkipped, err := readLog(file)
		_ = file.Close() // a file that was only read loses no data
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", name, err)
		}
		lines, skipped = append(lines, fileLines...), skipped+fileSkipped
	}
	return lines, skipped, nil
}

func readLog(r io.Reader) (lines []logLine, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Text()); ok {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	return lines, skipped, scanner.Err()
}

// parseLogLine parses the JSON object in a line. Text before it, such as the time
// stamp of a log collector, is skipped.
func parseLogLine(s string) (logLine, bool) {
	start := strings.IndexByte(s, '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(s[start:]), &fields); err != nil {
		return logLine{}, false
	}
	stringField := func(name string) string {
		v, _ := fields[name].(string)
		return v
	}
	at, err := time.Parse(time.RFC3339Nano, stringField("time"))
	if err != nil {
		return logLine{}, false
	}
	number, _ := fields["number"].(float64)
	return logLine{at: at, process: stringField("process"), eventNumber: int(number), text: stringField("msg"), request: stringField("request"), fields: fields}, true
}

// selectLines returns the lines about the request, and the state changes of the
// daemons that handled it if they concern a backend server that was tried or no
// backend server at all. A state change must lie within c.Around of the request by
// the log times of the same process, since the clocks of processes differ.
func (c *explainCommand) selectLines(lines []logLine) []logLine {
	requestLines := map[string][]logLine{} // by process
	for _, l := range lines {
		if l.request == c.Request {
			requestLines[l.process] = append(requestLines[l.process], l)
		}
	}
	var out []logLine
	for _, l := range lines {
		if l.request == c.Request || mayHaveAffected(l, requestLines[l.process], c.Around) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.at.Compare(b.at) })
	return out
}

// mayHaveAffected reports whether a line records a state change that may have
// affected the request: it lies within around of the time in which the process
// handled the request. requestLines are the lines of that process about the request.
func mayHaveAffected(l logLine, requestLines []logLine, around time.Duration) bool {
	if l.eventNumber < firstStateEvent || l.eventNumber > lastStateEvent {
		return false
	}
	server, _ := l.fields["backend_server"].(string)
	for _, requestLine := range requestLines {
		tried, _ := requestLine.fields["tried"].(string)
		if server != "" && !strings.Contains(tried, server) {
			continue
		}
		durationMS, _ := requestLine.fields["ms"].(float64)
		start := requestLine.at.Add(-time.Duration(durationMS) * time.Millisecond)
		if l.at.After(start.Add(-around)) && l.at.Before(requestLine.at.Add(around)) {
			return true
		}
	}
	return false
}

// hiddenFields are the fields that String does not list: it prints them at the
// start of the line already, or they do not help to explain a request (level,
// data_centre).
var hiddenFields = map[string]bool{"time": true, "process": true, "msg": true, "number": true, "level": true, "data_centre": true}

// String returns the line in a form for people to read: time of day, process,
// number and text of the event, then the other fields by name.
func (l logLine) String() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !hiddenFields[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s", l.at.Format("15:04:05.000"), l.process, l.eventNumber, l.text)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
