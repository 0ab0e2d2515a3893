package config

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wagtailtray/wagtailtray/pkg/answers"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Constants of generation. Values that depend on the deployment are derived
// from the answers by the functions below, each with its reason.
const (
	heartbeatInterval = 900 * clock.Millis(1)
	// maxFalseSuspicionRate bounds the probability that packet loss alone causes
	// a suspicion.
	maxFalseSuspicionRate = 1e-6
	minHeartbeats         = 3
	minRetention          = clock.Minute
	minLinger             = 2 * clock.Second
	// handshakeTimeout is how long a caller tries to open a flow.
	handshakeTimeout = 10 * clock.Second
	// flowHeadroom makes a target's flow table larger than its stated number of
	// connections, for flows that have ended but not yet reached the idle timeout.
	flowHeadroom = 1.25
)

// Reason explains a derived value.
type Reason struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Why   string `json:"why"`
}

// Generated is a state with the reasons for its derived values.
type Generated struct {
	State   State
	Reasons []Reason
}

// Generate derives the configuration that follows base from the answers. Drains
// and changes are copied from base; services keep their numbers.
func Generate(a *answers.Answers, base *State) *Generated {
	g := &Generated{State: State{Records: map[string]*Service{}}}
	r := &g.State.Root
	r.Deployment = a.Deployment
	r.NextNumber = max(base.Root.NextNumber, 1)
	for _, d := range a.Domains {
		r.Domains = append(r.Domains, Domain{Name: d.Name, Region: d.Region})
	}
	g.deriveTiming(a)
	for i := range a.Services {
		g.deriveService(a, &a.Services[i], base)
	}
	slices.SortFunc(r.Services, func(x, y Entry) int { return strings.Compare(x.Name, y.Name) })
	for _, d := range base.Root.Drains {
		if _, ok := g.State.Service(d.Service); ok {
			r.Drains = append(r.Drains, d)
		}
	}
	r.Changes = base.Root.Changes
	r.Version = base.Root.Version
	return g
}

func (g *Generated) addReason(field string, value any, why string, args ...any) {
	text := fmt.Sprint(value)
	if m, ok := value.(clock.Millis); ok {
		text = m.Duration().String()
	}
	g.Reasons = append(g.Reasons, Reason{Field: field, Value: text, Why: fmt.Sprintf(why, args...)})
}

func (g *Generated) deriveTiming(a *answers.Answers) {
	t := &g.State.Root.Timing
	delay := clock.FromDuration(time.Duration(max(a.Delays.Domains, a.Delays.Regions)))
	heartbeats := minHeartbeats
	if a.Delays.Loss > 0 {
		heartbeats = max(heartbeats, int(math.Ceil(math.Log(maxFalseSuspicionRate)/math.Log(a.Delays.Loss))))
	}
	t.HeartbeatInterval = heartbeatInterval
	g.addReason("timing.heartbeat", t.HeartbeatInterval, "docs/CAPACITY.md: more often would be over the budget of control traffic at the size of two years")
	t.SuspectTimeout = clock.Millis(heartbeats)*heartbeatInterval + 4*delay
	g.addReason("timing.suspect", t.SuspectTimeout,
		"%d heartbeats and two round trips: loss of %g alone causes fewer than one false suspicion in a million", heartbeats, a.Delays.Loss)
	t.LeaseDuration = t.SuspectTimeout
	g.addReason("timing.lease", t.LeaseDuration, "an agent that heard nothing for as long as others take to suspect it stops serving")
	t.LingerTime = minLinger + 4*delay
	g.addReason("timing.linger", t.LingerTime, "a leaving balancer serves until its leave has spread")
	t.Retention = minRetention
	for i := range a.Services {
		t.Retention = max(t.Retention, clock.FromDuration(time.Duration(a.Services[i].Idle)))
	}
	why := "no flow outlives the longest idle time without a datagram"
	if a.Weight == answers.Broken {
		t.Retention *= 2
		why += "; doubled, since broken flows count more"
	}
	g.addReason("timing.retain", t.Retention, "%s", why)
}

func (g *Generated) deriveService(a *answers.Answers, s *answers.Service, base *State) {
	record := &Service{
		Name: s.Name, Address: s.Address.AddrPort, Slots: s.Slots,
		IdleTimeout: clock.FromDuration(time.Duration(s.Idle)), DrainTimeout: clock.FromDuration(time.Duration(s.Drain)),
		RampTime: clock.FromDuration(time.Duration(s.ColdStart)), UnansweredTimeout: handshakeTimeout,
	}
	for _, p := range s.Upstreams {
		record.Upstreams = append(record.Upstreams, p.Prefix)
	}
	record.Number = g.serviceNumber(s.Name, base)
	field := "services." + s.Name + "."
	record.MaxFlows = int(math.Ceil(float64(s.Connections) * flowHeadroom))
	g.addReason(field+"flows", record.MaxFlows, "%d connections and a quarter for flows that ended and are not yet idle", s.Connections)
	record.DigestInterval = 500
	why := "agents tell their load twice a second"
	if a.Weight == answers.Imbalance {
		record.DigestInterval = 250
		why = "agents tell their load four times a second, since imbalance counts more"
	}
	g.addReason(field+"digest", record.DigestInterval, "%s", why)
	record.ResendWindow = handshakeTimeout
	g.addReason(field+"resend", record.ResendWindow,
		"a caller may send its opening again for as long as it tries to open; for so long after a change homes look for an earlier owner")
	g.addReason(field+"drain", record.DrainTimeout, "as answered")
	name := NameOf(record)
	g.State.Records[name] = record
	g.State.Root.Services = append(g.State.Root.Services, Entry{Name: s.Name, Number: record.Number, RecordName: name})
}

// serviceNumber returns the number of an existing service, or the next free number
// for a new one.
func (g *Generated) serviceNumber(name string, base *State) uint32 {
	for _, e := range base.Root.Services {
		if e.Name == name {
			return e.Number
		}
	}
	n := g.State.Root.NextNumber
	g.State.Root.NextNumber++
	return n
}
