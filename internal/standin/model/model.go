// Package model is a discrete-event simulation of the balancers and agents of
// one service. It runs the daemons' decision code over fakes: a virtual clock
// and a queue of datagrams that can be delayed, lost, duplicated and reordered.
// There are no processes and no sockets.
//
// # The model
//
// A World has targets (each with the table of its agent and an upstream) and
// balancers (each with its hints). An update about a target reaches each of
// them after a random delay. Callers open flows, retransmit what is not
// answered, and give up after a timeout. The Oracle records what callers sent
// and received and what upstreams were delivered, and bases its verdict on that
// alone.
//
// # Usage
//
//	w := model.New(model.Options{Seed: 1, Targets: 7, Balancers: 4})
//	c := w.Open(0)           // a caller opens a flow
//	w.Run(2 * clock.Second)  // advance the clock
//	w.Drain("t1", true)
//	v := w.Verdict()
package model

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/standin/timeline"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// service is the number of a world's only service.
const service = 1

// Options configure a world and its network.
type Options struct {
	Seed      uint64
	Targets   int
	Balancers int
	// Delay and Jitter apply one way between any two processes.
	Delay, Jitter clock.Millis
	// Loss and Duplicate are fractions of all datagrams.
	Loss, Duplicate float64
	// MaxPropagationDelay is the longest time that an update takes to reach a
	// process.
	MaxPropagationDelay clock.Millis
	DigestInterval      clock.Millis
	ResendWindow        clock.Millis
	IdleTimeout         clock.Millis
	// RampTime is how long a new target takes to warm up.
	RampTime clock.Millis
	// MaxFlows is the size of a target's flow table.
	MaxFlows int
	// NoRequests makes callers send nothing between opening and end, for
	// measurements with many flows.
	NoRequests bool
	// FalseReports makes the upstreams of odd-numbered targets report no
	// connections.
	FalseReports bool
	// Disabled names a safeguard that is switched off, to show that the checks
	// detect its absence.
	Disabled Safeguard
}

// Safeguard is a mechanism of the product that a world can switch off.
type Safeguard string

// Safeguards.
const (
	NoSafeguard   Safeguard = ""
	Search        Safeguard = "search"
	HomePlacement Safeguard = "home"
	Incarnation   Safeguard = "incarnation"
	Ledger        Safeguard = "ledger"
	WalkAll       Safeguard = "walk"
	ConnectionIDs Safeguard = "identifiers"
	Draining      Safeguard = "draining"
	PortChange    Safeguard = "rotation"
	Joining       Safeguard = "joining"
)

// World is one service with its targets, balancers, callers and network.
type World struct {
	timeline.Timeline
	Options      Options
	random       *rand.Rand
	lastSequence uint64
	Targets      []*Target
	Balancers    []*Balancer
	Oracle       Oracle
	callers      map[netip.AddrPort]*Caller
	lastPort     uint32
	lastHost     uint16
	// published is the current state of each target, as sent to the others.
	published map[target.ID]target.Candidate
	// Cut drops datagrams between processes, when set.
	Cut func(from, to netip.AddrPort) bool
	// partition is the failure domain that is partitioned now, if any.
	partition *partition
	// Trace is called with each decision of an agent, when set.
	Trace func(TraceEvent)
	// Hops counts the tunnel datagrams that carried callers' datagrams, and
	// Datagrams the callers' datagrams.
	Hops, Datagrams uint64
}

// New returns a world whose processes have known each other for longer than the
// resend window.
func New(o Options) *World {
	o = o.withDefaults()
	w := &World{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 3)),
		callers: map[netip.AddrPort]*Caller{}, published: map[target.ID]target.Candidate{},
	}
	w.Run(clock.Hour)
	w.Oracle.init()
	for n := range o.Targets {
		t := w.newTarget(fmt.Sprintf("t%d", n), w.newHost(), 1)
		t.startedAt = w.Now() - o.RampTime - 1
		w.Targets = append(w.Targets, t)
		w.published[t.ID] = t.candidate()
	}
	changedAt := w.Now() - 2*o.ResendWindow
	for _, t := range w.Targets {
		t.loadRoster(w.published, changedAt)
		w.startTimers(t)
	}
	for range o.Balancers {
		w.AddBalancer()
	}
	return w
}

func (o Options) withDefaults() Options {
	setDefault := func(v *clock.Millis, d clock.Millis) {
		if *v == 0 {
			*v = d
		}
	}
	setDefault(&o.Delay, 3)
	setDefault(&o.DigestInterval, 500)
	setDefault(&o.ResendWindow, handshakeTimeout)
	setDefault(&o.IdleTimeout, 30*clock.Second)
	if o.MaxFlows == 0 {
		o.MaxFlows = 1 << 20
	}
	return o
}

func (w *World) newHost() uint16 {
	w.lastHost++
	return w.lastHost
}

// startTimers starts a target's periodic tasks.
func (w *World) startTimers(t *Target) {
	w.Every(w.Options.DigestInterval, t.sendDigests)
	w.Every(clock.Second, t.expireFlows)
}

// send delivers over the simulated network, with its delay, loss and duplication.
func (w *World) send(from, to netip.AddrPort, deliver func()) {
	if w.Cut != nil && w.Cut(from, to) || w.random.Float64() < w.Options.Loss {
		return
	}
	w.After(w.delay(), deliver)
	if w.random.Float64() < w.Options.Duplicate {
		w.After(w.delay(), deliver)
	}
}

func (w *World) delay() clock.Millis {
	return w.Options.Delay + clock.Millis(w.random.Float64()*float64(w.Options.Jitter))
}

// publish sends the state of a target to all processes, each after its own
// random delay. Two updates may arrive in different orders at two processes, so
// each carries a sequence number, as the members' records do.
func (w *World) publish(c target.Candidate) {
	w.published[c.ID] = c
	w.lastSequence++
	k := knownTarget{Candidate: c, sequence: w.lastSequence}
	for _, t := range w.Targets {
		if t.ID != c.ID && w.partition.reaches(c, t.tunnel) {
			w.After(w.propagationDelay(), func() { t.applyUpdate(k) })
		}
	}
	for _, b := range w.Balancers {
		if !b.UpdatesBlocked && w.partition.reaches(c, b.address) {
			w.After(w.propagationDelay(), func() { b.applyUpdate(k) })
		}
	}
}

func (w *World) propagationDelay() clock.Millis {
	return clock.Millis(w.random.Float64() * float64(w.Options.MaxPropagationDelay))
}

// roster holds the targets that one process knows.
type roster map[target.ID]knownTarget

type knownTarget struct {
	target.Candidate
	sequence uint64
}

func (r roster) apply(k knownTarget) {
	if old, ok := r[k.ID]; ok && old.sequence > k.sequence {
		return
	}
	r[k.ID] = k
}

func (r roster) set(service uint32) *target.Set {
	all := make([]target.Candidate, 0, len(r))
	for _, k := range r {
		all = append(all, k.Candidate)
	}
	return target.NewSet(service, all)
}

// sendEnvelope sends an envelope to the agent that has the address when the
// envelope arrives.
func (w *World) sendEnvelope(from, to netip.AddrPort, e *wire.Envelope, via netip.AddrPort, d *datagram) {
	w.Hops++
	w.send(from, to, func() {
		t := w.agentAt(to)
		if t == nil {
			return
		}
		t.handleEnvelope(copyEnvelope(e), via, d)
	})
}

func copyEnvelope(e *wire.Envelope) *wire.Envelope {
	return &wire.Envelope{
		Kind: e.Kind, Stage: e.Stage, Service: e.Service, Target: e.Target, Incarnation: e.Incarnation,
		Caller: e.Caller, Ask: e.Ask, Budget: e.Budget, Payload: e.Payload, Home: e.Home, Age: e.Age,
		Visited: append([]uint32(nil), e.Visited...),
	}
}

// agentAt returns the running agent at an address.
func (w *World) agentAt(a netip.AddrPort) *Target {
	for _, t := range w.Targets {
		if t.tunnel == a && t.running() {
			return t
		}
	}
	return nil
}

func (w *World) findTarget(name string) *Target {
	for _, t := range w.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// Conns returns the number of open connections of each target that accepts flows.
func (w *World) Conns() []int {
	var all []int
	for _, t := range w.Targets {
		if t.running() && !t.draining && t.service == service {
			all = append(all, len(t.connections))
		}
	}
	return all
}

// ConnsOf returns the number of open connections of one target.
func (w *World) ConnsOf(name string) int {
	return len(w.findTarget(name).connections)
}

// UnansweredFlows counts the open flows whose callers' datagrams are no longer
// answered, except those of dead targets. Every caller of an open flow sends a
// datagram, and a few more if no answer comes, because datagrams may be lost and
// hints may lead to a dead target.
func (w *World) UnansweredFlows() int {
	var unanswered []*Caller
	for _, c := range w.callers {
		if c.opened && !c.Ended && !w.Oracle.targetsLost(c.Flow) {
			unanswered = append(unanswered, c)
		}
	}
	start := w.Now()
	for range maxProbes {
		for _, c := range unanswered {
			c.send(&datagram{flow: c.Flow, replyTo: c.address, caller: c})
		}
		w.Run(requestInterval)
		unanswered = slices.DeleteFunc(unanswered, func(c *Caller) bool { return c.Ended || c.lastAnswerAt > start })
	}
	return len(unanswered)
}

// maxProbes is how many datagrams a caller sends before its flow counts as
// unanswered: as many as a caller that sends requests does within its answer
// timeout.
const maxProbes = int(answerTimeout / requestInterval)

// Verdict returns the verdict so far.
func (w *World) Verdict() Verdict {
	return w.Oracle.Verdict
}

// TraceEvent is one decision of an agent, for debugging.
type TraceEvent struct {
	At        clock.Millis
	Target    string
	Flow      uint64
	Stage     wire.Stage
	Decision  owner.Decision
	NextStage wire.Stage
}

// String formats the event as one line.
func (h TraceEvent) String() string {
	to := ""
	if h.Decision.To != nil {
		to = " to " + h.Decision.To.Name
	}
	if h.Decision.Adopted {
		to = " as its own"
	}
	return fmt.Sprintf("%d flow %d at %s: %s: %s%s %s %s", h.At, h.Flow, h.Target, h.Stage, h.Decision.Action, to, h.Decision.Reason, h.NextStage)
}
