package parcels

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A process sends thousands of parcels a second. Each log line covers ten seconds and lists
// by verb what was sent inside and outside the failure domain. An unknown verb must not
// panic.
func TestTrafficIsLogged(t *testing.T) {
	var out bytes.Buffer
	traffic := NewTraffic(zerolog.New(&out), tally.NoopScope)
	now := 24 * clock.Hour
	for range 30 * 20 {
		traffic.RecordSent(wire.Verb_VERB_PROBE, false, 10)
		traffic.RecordSent(wire.Verb_VERB_PROBE, true, 20)
		traffic.RecordSent(wire.Verb(99), true, 1)
		traffic.LogIfDue(now, false)
		now += 50
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("%d lines in 30 s:\n%s", len(lines), out.String())
	}
	var line struct {
		Age  clock.Millis
		Near struct{ Probe []int }
		Far  struct{ Probe, None []int }
	}
	if err := json.Unmarshal([]byte(lines[1]), &line); err != nil {
		t.Fatal(err)
	}
	if line.Age != trafficLogInterval || len(line.Near.Probe) != 2 || line.Near.Probe[0] != 200 || line.Near.Probe[1] != 2000 {
		t.Errorf("age or local counts in line %s", lines[1])
	}
	if len(line.Far.Probe) != 2 || line.Far.Probe[1] != 4000 || len(line.Far.None) != 2 {
		t.Errorf("remote counts in line %s", lines[1])
	}
}
