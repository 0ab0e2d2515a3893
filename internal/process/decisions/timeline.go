package decisions

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
)

// Line is one line of a log. Other fields of a line are ignored.
type Line struct {
	// Time is in milliseconds by the clock of the VM that wrote the line.
	Time    int64  `json:"time"`
	Process string `json:"process"`
	Event   string `json:"event"`
	Flow    string `json:"flow"`
	Target  string `json:"target"`
	Name    string `json:"name"`
	Service string `json:"service"`
	Reason  string `json:"reason"`
	Version uint64 `json:"version"`
	Age     int64  `json:"age"`
	Count   int    `json:"count"`
	Omitted int    `json:"left"`
	Message string `json:"message"`
	// From, Error and Handing are the source of a version, why a read of one failed, and
	// whether a balancer hands openings on.
	From    string `json:"from"`
	Error   string `json:"error"`
	Handing bool   `json:"handing"`
	// Settled, Watching, Keeping and Relaying are the states that the events settled,
	// watch, keeper and relay report.
	Settled  *bool `json:"settled"`
	Watching *bool `json:"watching"`
	Keeping  *bool `json:"keeping"`
	Relaying *bool `json:"relaying"`
	// Priority is that of the class of a flow's requests.
	Priority *int `json:"priority"`
	// Lateness and Limit are those of a balancer whose timers fire late, in milliseconds.
	Lateness float64 `json:"lateness"`
	Limit    float64 `json:"limit"`
}

const (
	// contextMillis is how long before and after a flow's own lines the state events of
	// the involved processes are included: a target is suspected after 350 ms, and counts
	// as lost after 2.5 s.
	contextMillis = 3000
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
)

// stateEvents are the events that report what a process knows about other processes or
// its own role. They explain the decisions about a flow.
var stateEvents = map[string]bool{
	string(stream.TargetNew): true, string(stream.TargetSuspected): true, string(stream.TargetRecovered): true,
	string(stream.TargetGone): true, string(stream.Upstream): true, "version": true, "settled": true,
	string(stream.Restored): true, string(stream.Evacuation): true, string(stream.Short): true, "relay": true, "keeper": true, "nocheckpoint": true,
	"start": true, "stop": true, "watch": true, "noconfiguration": true, "behind": true, "peer": true,
}

// ReadLines reads the lines of a log. It skips lines that hold no event, and drops text
// before the JSON object, such as a log collector's timestamp.
func ReadLines(r io.Reader) ([]Line, error) {
	var all []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Bytes()
		if i := bytes.IndexByte(text, '{'); i >= 0 {
			var l Line
			if json.Unmarshal(text[i:], &l) == nil && l.Event != "" {
				all = append(all, l)
			}
		}
	}
	return all, errs.Wrap(s.Err())
}

// Timeline returns the lines about a flow, and the state events of the processes involved
// in it at that time, in order of time. flow is "caller>listener" or only the caller.
func Timeline(all []Line, flow string) []Line {
	involved := map[string]bool{}
	var own []Line
	for _, l := range all {
		if l.Flow == "" || l.Flow != flow && !strings.HasPrefix(l.Flow, flow+">") {
			continue
		}
		own = append(own, l)
		involved[l.Process] = true
		involved[l.Name] = true
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.Time, b.Time) }
	slices.SortStableFunc(own, byTime)
	timeline := slices.Clone(own)
	for _, l := range all {
		relevant := involved[l.Process] && (l.Name == "" || involved[l.Name] || l.Event == string(stream.Evacuation))
		if l.Flow == "" && relevant && stateEvents[l.Event] && anyNear(own, l.Time) {
			timeline = append(timeline, l)
		}
	}
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

// anyNear reports whether one of the lines, which are in order of time, is within
// contextMillis of a time.
func anyNear(lines []Line, time int64) bool {
	i, _ := slices.BinarySearchFunc(lines, time-contextMillis, func(l Line, t int64) int { return cmp.Compare(l.Time, t) })
	return i < len(lines) && lines[i].Time <= time+contextMillis
}

// WriteTimeline prints lines, with times relative to the first one.
func WriteTimeline(w io.Writer, lines []Line) error {
	for _, l := range lines {
		text := fmt.Sprintf("%+9.3f %-20s %-12s", float64(l.Time-lines[0].Time)/1000, l.Process, l.Event)
		for _, f := range l.fields() {
			if f.value != "" && f.value != "0" {
				text += " " + f.name + "=" + f.value
			}
		}
		if _, err := fmt.Fprintln(w, strings.TrimRight(text, " ")); err != nil {
			return errs.Wrap(err)
		}
	}
	return nil
}

type field struct{ name, value string }

func (l *Line) fields() []field {
	return []field{
		{"flow", l.Flow},
		{"target", l.Target},
		{"name", l.Name},
		{"service", l.Service},
		{"reason", quoteNonEmpty(l.Reason)},
		{"age", fmt.Sprint(l.Age)},
		{"count", fmt.Sprint(l.Count)},
		{"version", fmt.Sprint(l.Version)},
		{"left", fmt.Sprint(l.Omitted)},
		{"settled", formatBool(l.Settled)},
		{"watching", formatBool(l.Watching)},
		{"keeping", formatBool(l.Keeping)},
		{"relaying", formatBool(l.Relaying)},
	}
}

func formatBool(b *bool) string {
	if b == nil {
		return ""
	}
	return fmt.Sprint(*b)
}

func quoteNonEmpty(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%q", text)
}
