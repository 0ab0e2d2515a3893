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

// Line is one line of a log. Fields that other lines have are in the text.
type Line struct {
	// Time is in milliseconds of the clock of the VM that wrote it.
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
	Left    int    `json:"left"`
	Message string `json:"message"`
	// Settled, Watching, Keeping and Relaying are the beliefs of the events settled, watch,
	// keeper and relay.
	Settled  *bool `json:"settled"`
	Watching *bool `json:"watching"`
	Keeping  *bool `json:"keeping"`
	Relaying *bool `json:"relaying"`
}

const (
	// around is how long before and after a flow's own lines the beliefs of the
	// processes that it met are shown: a suspicion takes 350 ms to form, and a
	// target counts as lost after 2.5 s.
	around = 3000
	// maxLine bounds a line of a log.
	maxLine = 1 << 20
)

// beliefs are the events that tell what a process believes. They explain the
// decisions about a flow.
var beliefs = map[string]bool{
	string(stream.TargetNew): true, string(stream.TargetSuspected): true, string(stream.TargetRecovered): true,
	string(stream.TargetGone): true, string(stream.Upstream): true, "version": true, "settled": true,
	string(stream.Restored): true, string(stream.Evacuation): true, "relay": true, "keeper": true, "nocheckpoint": true,
	"start": true, "stop": true, "watch": true, "noconfiguration": true, "peer": true,
}

// ReadLines reads logs. What is no line of a log is left out; text before the
// line, such as a collector's own time, is dropped.
func ReadLines(r io.Reader) ([]Line, error) {
	var all []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
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

// Story returns the lines about a flow, and what the processes that it met
// believed at that time, in order. The flow may be given by its caller only.
func Story(all []Line, flow string) []Line {
	met := map[string]bool{}
	var own []Line
	for _, l := range all {
		if l.Flow == "" || l.Flow != flow && !strings.HasPrefix(l.Flow, flow+">") {
			continue
		}
		own = append(own, l)
		met[l.Process] = true
		met[l.Name] = true
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.Time, b.Time) }
	slices.SortStableFunc(own, byTime)
	story := slices.Clone(own)
	for _, l := range all {
		about := met[l.Process] && (l.Name == "" || met[l.Name] || l.Event == string(stream.Evacuation))
		if l.Flow == "" && about && beliefs[l.Event] && near(own, l.Time) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}

// near reports whether one of the lines, which are in order, is close in time.
func near(lines []Line, time int64) bool {
	i, _ := slices.BinarySearchFunc(lines, time-around, func(l Line, t int64) int { return cmp.Compare(l.Time, t) })
	return i < len(lines) && lines[i].Time <= time+around
}

// WriteStory prints lines, with times from the first one on.
func WriteStory(w io.Writer, lines []Line) error {
	for _, l := range lines {
		text := fmt.Sprintf("%+9.3f %-20s %-12s", float64(l.Time-lines[0].Time)/1000, l.Process, l.Event)
		for _, part := range l.parts() {
			if part.value != "" && part.value != "0" {
				text += " " + part.name + "=" + part.value
			}
		}
		if _, err := fmt.Fprintln(w, strings.TrimRight(text, " ")); err != nil {
			return errs.Wrap(err)
		}
	}
	return nil
}

type part struct{ name, value string }

func (l *Line) parts() []part {
	return []part{
		{"flow", l.Flow},
		{"target", l.Target},
		{"name", l.Name},
		{"service", l.Service},
		{"reason", quoted(l.Reason)},
		{"age", fmt.Sprint(l.Age)},
		{"count", fmt.Sprint(l.Count)},
		{"version", fmt.Sprint(l.Version)},
		{"left", fmt.Sprint(l.Left)},
		{"settled", belief(l.Settled)},
		{"watching", belief(l.Watching)},
		{"keeping", belief(l.Keeping)},
		{"relaying", belief(l.Relaying)},
	}
}

func belief(b *bool) string {
	if b == nil {
		return ""
	}
	return fmt.Sprint(*b)
}

func quoted(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%q", text)
}
