package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// fullWarmth is that of a target which takes its full share.
	fullWarmth = 1000
	// reportBound is the age beyond which an upstream's report is ignored.
	reportBound = 5 * clock.Second
	// reportTimeout bounds one question to the load endpoint.
	reportTimeout = time.Second
	// maxReport bounds what is read of its answer, in bytes.
	maxReport = 4096
	// deafFor is how long a target accepts no flows after a datagram found
	// nobody at the upstream's port.
	deafFor = 2 * clock.Second
)

// Load is what an upstream says at its load endpoint.
type Load struct {
	Slots    uint32 `json:"slots"`
	Busy     uint32 `json:"busy"`
	Shedding bool   `json:"shedding"`
	// Connections is the number of open connections; absent when the
	// upstream does not tell.
	Connections *uint32 `json:"connections,omitempty"`
	// Warmth is in thousandths; absent means warm.
	Warmth *uint32 `json:"warmth,omitempty"`
}

// report is the last answer of the load endpoint, with its age.
type report struct {
	load Load
	at   clock.Millis
	// number is the last opening number when the upstream was asked.
	number uint64
}

// own is what the agent knows of its target: what it counts itself, corrected
// by the upstream's report. The report only ever takes away: it lags and may
// be wrong, so it can keep flows off the target but never draw them to it.
func (a *Agent) own() owner.Own {
	now := a.deps.Clock.Now()
	o := owner.Own{Flows: a.table.Len(), Accepting: a.accepting.Load() && !a.deaf(now), Warmth: a.ramp(now)}
	o.Slots = a.slots.Load()
	r := a.report.Load()
	if r == nil || now.Sub(r.at) > reportBound {
		return o
	}
	o.Slots, o.Busy = r.load.Slots, r.load.Busy
	if r.load.Connections != nil {
		since := int(a.table.LastNumber() - r.number)
		o.Flows = a.stillOpen(now, o.Flows, int(*r.load.Connections), since)
	}
	if r.load.Shedding {
		o.Accepting = false
	}
	if r.load.Warmth != nil {
		o.Warmth = min(*r.load.Warmth, fullWarmth)
	}
	return o
}

func (a *Agent) stillOpen(now clock.Millis, flows, connections, since int) int {
	a.trustMu.Lock()
	defer a.trustMu.Unlock()
	return a.trust.Flows(now, flows, connections, since, a.table.Active())
}

// ramp is the warmth of a target whose upstream reports none: it grows with
// the agent's own age, unless the agent took over running flows.
func (a *Agent) ramp(now clock.Millis) uint32 {
	ramp := clock.Millis(a.rampTime.Load())
	age := now.Sub(a.started)
	if ramp <= 0 || age >= ramp || a.inherited.Load() {
		return fullWarmth
	}
	return uint32(age * fullWarmth / ramp)
}

// deaf reports that nobody listens at the upstream's port.
//
// A dead upstream beside a living agent looks idle. The system's own answer that the port
// is closed keeps new flows away, until it stays out for a while.
func (a *Agent) deaf(now clock.Millis) bool {
	refused := a.pool.Refused()
	if last := a.deafSeen.Swap(refused); refused > last {
		a.deafSince.Store(int64(now))
	}
	since := clock.Millis(a.deafSince.Load())
	return since != 0 && now.Sub(since) < deafFor
}

// refresh asks the load endpoint. It is asked right before a digest, so that
// peers hear of ended flows as early as they can.
func (a *Agent) refresh(ctx context.Context, client *http.Client) {
	number := a.table.LastNumber()
	l, err := ask(ctx, client, a.settings.Load)
	if err != nil {
		return
	}
	now := a.deps.Clock.Now()
	a.report.Store(&report{load: l, at: now, number: number})
	if l.Connections != nil {
		a.trustMu.Lock()
		a.trust.Report(now, a.table.Len(), int(*l.Connections), a.table.EndedFlows())
		state := a.trust.State(now)
		a.trustMu.Unlock()
		a.deps.Log.Debug().Str("event", "load").Str("report", state).Int("flows", a.table.Len()).
			Uint32("connections", *l.Connections).Int("active", a.table.Active()).Msg("asked the upstream")
	}
}

func ask(ctx context.Context, client *http.Client, address string) (Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return Load{}, err
	}
	res, err := client.Do(req)
	if err != nil {
		return Load{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var l Load
	err = json.NewDecoder(io.LimitReader(res.Body, maxReport)).Decode(&l)
	return l, err
}

// digests tells the peers of the service this target's load.
func (a *Agent) digests(ctx context.Context) {
	client := &http.Client{Timeout: reportTimeout}
	defer client.CloseIdleConnections()
	for sleep(ctx, a.digestEvery()) {
		if a.settings.Load != "" {
			a.refresh(ctx, client)
		}
		a.tellLoad()
	}
}

func (a *Agent) tellLoad() {
	view := a.view.Load()
	own := a.own()
	d := &wire.Digest{
		Sequence: a.sequence.Add(1), Flows: uint32(own.Flows), Opening: uint32(a.table.Opening()),
		Busy: own.Busy, Slots: own.Slots, Warmth: own.Warmth, Accepting: own.Accepting,
		Sender: view.Self, Incarnation: view.Incarnation,
	}
	a.count.flows.Update(float64(own.Flows))
	var out []byte
	for i := range view.Set.Targets {
		t := &view.Set.Targets[i]
		if t.ID == view.Self {
			continue
		}
		e := &wire.Envelope{
			Kind: wire.Kind_KIND_DIGEST, Service: view.Set.Service, Target: t.ID, Incarnation: t.Incarnation, Digest: d,
		}
		sealed, err := a.sealer.Seal(out[:0], e)
		if err != nil {
			return
		}
		out = sealed
		_, _ = a.tunnel.WriteToUDPAddrPort(out, t.Tunnel)
	}
}

// digested takes a peer's digest.
func (a *Agent) digested(now clock.Millis, e *wire.Envelope) {
	if !a.addressed(e) {
		return
	}
	if !a.loads.Note(now, e.Digest.Sender, e.Digest.Incarnation, e.Digest) {
		a.count.digestsLate.Inc(1)
		return
	}
	a.count.digests.Inc(1)
}

// sweeps ends the flows that are over and tells their homes.
func (a *Agent) sweeps(ctx context.Context) {
	for sleep(ctx, clock.Second) {
		now := a.deps.Clock.Now()
		for _, f := range a.table.Expire(now, a.drainOver(now)) {
			f.Link.Close()
			a.count.ended.Inc(1)
			a.flowLine("ended", f)
			a.tellEnd(f)
		}
	}
}

// drainOver reports that the target drains for longer than the answers allow.
// What is left of its flows ends then, as the operators have said.
func (a *Agent) drainOver(now clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.self.State != member.Draining || a.record.DrainTimeout == 0 || now.Sub(a.draining) <= a.record.DrainTimeout {
		return false
	}
	if n := a.table.Len(); n > 0 {
		a.deps.Log.Warn().Str("event", "drained").Int("flows", n).Msg("the drain has reached its limit")
	}
	return true
}

func (a *Agent) tellEnd(f *owner.Flow) {
	view := a.view.Load()
	if f.Home == view.Self {
		return
	}
	home, ok := view.Set.Find(f.Home)
	if !ok {
		return
	}
	e := a.about(wire.Kind_KIND_ENDED, f, home)
	if out, err := a.sealer.Seal(nil, e); err == nil {
		_, _ = a.tunnel.WriteToUDPAddrPort(out, home.Tunnel)
	}
}

// about is a message to a home about a flow of this target.
func (a *Agent) about(kind wire.Kind, f *owner.Flow, home *target.Candidate) *wire.Envelope {
	view := a.view.Load()
	return &wire.Envelope{
		Kind: kind, Service: view.Set.Service, Target: home.ID, Incarnation: home.Incarnation,
		Caller: envelope.AppendCaller(nil, f.Caller), Home: view.Self,
	}
}

func sleep(ctx context.Context, d clock.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
