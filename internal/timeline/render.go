package timeline

import (
	"bufio"
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/gooseberryslip/gooseberryslip/internal/event"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// row is an entry as page.html displays it.
type row struct {
	Time    string `json:"time"`
	Lane    int    `json:"lane"` // index into pageData.Lanes
	Number  uint16 `json:"number"`
	Level   string `json:"level"`
	Text    string `json:"text"`
	Service string `json:"service"`
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
	Backend string `json:"backend"`
	Peer    string `json:"peer"`
	Detail  string `json:"detail"`
}

// pageData is the data of the template page.html.
type pageData struct {
	Lanes []Lane
	Rows  []row
}

// WriteHTML writes the timeline as a self-contained HTML page. It has a column per
// process and filters by request, service, instance and level.
func WriteHTML(w io.Writer, t Timeline) error {
	data := pageData{Lanes: t.Lanes, Rows: []row{}}
	laneIndex := map[string]int{}
	for i, l := range t.Lanes {
		laneIndex[string(l.Process)] = i
	}
	for _, e := range t.Entries {
		data.Rows = append(data.Rows, rowOf(e, laneIndex[string(e.Process)]))
	}
	return page.Execute(w, data)
}

// rowOf returns the row of an entry in the lane with the index.
func rowOf(e Entry, lane int) row {
	level, text := describeNumber(e.Event.Number)
	return row{
		Time:    e.Stamp.Time().Format("2006-01-02 15:04:05.000000"),
		Lane:    lane,
		Number:  uint16(e.Event.Number),
		Level:   level,
		Text:    text,
		Service: string(e.Event.Service),
		Request: string(e.Event.Request),
		Attempt: uint32(e.Event.Attempt),
		Backend: string(e.Event.Backend),
		Peer:    string(e.Event.Peer),
		Detail:  e.Event.Detail,
	}
}

// describeNumber returns the level and text of an event number. The number may be
// unknown, as the event may come from a process of another release.
func describeNumber(n event.Number) (level, text string) {
	kind, known := event.KindOf(n)
	if !known {
		return event.Info.String(), "event of another release"
	}
	return kind.Level.String(), kind.Text
}

// WriteText writes the timeline as text with one line per event.
func WriteText(w io.Writer, t Timeline) error {
	out := bufio.NewWriter(w)
	processWidth := 0
	for _, l := range t.Lanes {
		processWidth = max(processWidth, len(l.Process))
	}
	for _, l := range t.Lanes {
		if l.Forgotten > 0 {
			fmt.Fprintf(out, "# %s no longer holds its first %d events\n", l.Process, l.Forgotten)
		}
	}
	for _, e := range t.Entries {
		level, text := describeNumber(e.Event.Number)
		fmt.Fprintf(out, "%s  %-*s  %-5s %d %s%s\n", e.Stamp.Time().Format("15:04:05.000000"),
			processWidth, e.Process, level, e.Event.Number, text, formatDetails(e.Event))
	}
	return out.Flush()
}

// formatDetails returns the fields of an event that are not empty, each as
// " name=value".
func formatDetails(e event.Event) string {
	s := ""
	add := func(name, value string) {
		if value != "" {
			s += " " + name + "=" + value
		}
	}
	add("service", string(e.Service))
	add("request", string(e.Request))
	if e.Attempt > 0 {
		add("attempt", fmt.Sprint(e.Attempt))
	}
	add("backend_server", string(e.Backend))
	add("peer", string(e.Peer))
	if e.Detail != "" {
		s += fmt.Sprintf(" detail=%q", e.Detail)
	}
	return s
}
