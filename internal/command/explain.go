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

// explain tells the story of one request from the log files of any number of
// daemons.
type explain struct {
	Request string        `arg:"positional,required" placeholder:"ID" help:"the request's id"`
	Files   []string      `arg:"positional" placeholder:"FILE" help:"log files of daemons; default: standard input"`
	Around  time.Duration `arg:"--around" default:"3s" placeholder:"TIME" help:"also show what the daemons learned this long before and after"`
}

// logLine is one line of a daemon's log.
type logLine struct {
	at      time.Time
	process string
	number  int
	text    string
	request string
	fields  map[string]any
}

const (
	// maxLogLine is the longest line that is read, in bytes.
	maxLogLine = 1 << 20
	// Numbers of events that change what a daemon believes.
	firstBelief = 6100
	lastBelief  = 6199
)

func (c *explain) run(_ context.Context, e *environment) error {
	lines, skipped, err := c.read()
	if err != nil {
		return err
	}
	story := c.story(lines)
	if len(story) == 0 {
		return fmt.Errorf("no line about request %s in %d lines (%d unreadable)", c.Request, len(lines), skipped)
	}
	if skipped > 0 {
		fmt.Fprintf(e.err, "%d lines are cut or no log lines and were passed over\n", skipped)
	}
	for _, l := range story {
		fmt.Fprintln(e.out, l.String())
	}
	return nil
}

// read reads all files. Lines that cannot be read are counted.
func (c *explain) read() (lines []logLine, skipped int, err error) {
	if len(c.Files) == 0 {
		return readLog(os.Stdin)
	}
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		more, bad, err := readLog(file)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", name, err)
		}
		lines, skipped = append(lines, more...), skipped+bad
	}
	return lines, skipped, nil
}

func readLog(r io.Reader) (lines []logLine, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := parseLogLine(scanner.Text()); ok {
			lines = append(lines, l)
		} else {
			skipped++
		}
	}
	return lines, skipped, scanner.Err()
}

// parseLogLine reads the JSON object of a line. What stands before it, such as a
// collector's own time stamp, is passed over.
func parseLogLine(s string) (logLine, bool) {
	start := strings.IndexByte(s, '{')
	if start < 0 {
		return logLine{}, false
	}
	var f map[string]any
	if err := json.Unmarshal([]byte(s[start:]), &f); err != nil {
		return logLine{}, false
	}
	text := func(name string) string {
		v, _ := f[name].(string)
		return v
	}
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	if err != nil {
		return logLine{}, false
	}
	number, _ := f["number"].(float64)
	return logLine{at: at, process: text("process"), number: int(number), text: text("msg"), request: text("request"), fields: f}, true
}

// story returns the lines about the request, and what its daemons learned
// around it about the backend servers that were tried or about what they depend
// on. Times are compared within one process only, since clocks differ.
func (c *explain) story(lines []logLine) []logLine {
	about := map[string][]logLine{}
	for _, l := range lines {
		if l.request == c.Request {
			about[l.process] = append(about[l.process], l)
		}
	}
	var out []logLine
	for _, l := range lines {
		if l.request == c.Request || relevant(l, about[l.process], c.Around) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.at.Compare(b.at) })
	return out
}

// relevant reports whether a line tells of a belief that may have decided on the
// request.
func relevant(l logLine, about []logLine, around time.Duration) bool {
	if l.number < firstBelief || l.number > lastBelief {
		return false
	}
	server, _ := l.fields["backend_server"].(string)
	for _, a := range about {
		tried, _ := a.fields["tried"].(string)
		if server != "" && !strings.Contains(tried, server) {
			continue
		}
		took, _ := a.fields["ms"].(float64)
		begin := a.at.Add(-time.Duration(took) * time.Millisecond)
		if l.at.After(begin.Add(-around)) && l.at.Before(a.at.Add(around)) {
			return true
		}
	}
	return false
}

// hidden fields stand in the line's beginning, or say nothing.
var hidden = map[string]bool{"time": true, "process": true, "msg": true, "number": true, "level": true, "data_centre": true}

// String returns the line for people.
func (l logLine) String() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !hidden[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %d %s", l.at.Format("15:04:05.000"), l.process, l.number, l.text)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	return b.String()
}
