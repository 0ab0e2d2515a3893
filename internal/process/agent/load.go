package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// fullWarmth is the warmth of a target that takes its full share.
	fullWarmth = 1000
	// maxReportAge is the age beyond which an upstream's load report is ignored.
	maxReportAge = 5 * clock.Second
	// reportTimeout bounds one request to the load endpoint.
	reportTimeout = time.Second
	// maxReportBytes bounds the size of a load report.
	maxReportBytes = 4096
	// unreachableTime is how long a target accepts no flows after the
	// upstream's port was unreachable.
	unreachableTime = 2 * clock.Second
)

// Load is the load that an upstream reports at its load endpoint.
type Load struct {
	Slots    uint32 `json:"slots"`
	Busy     uint32 `json:"busy"`
	Shedding bool   `json:"shedding"`
	// Connections is the number of open connections; absent if the upstream
	// does not report it.
	Connections *uint32 `json:"connections,omitempty"`
	// Warmth is in thousandths; absent means warm.
	Warmth *uint32 `json:"warmth,omitempty"`
}

// loadReport is a response of the load endpoint.
type loadReport struct {
	load       Load
	receivedAt clock.Millis
	// lastOpeningNumber is the last opening number at the time of the request.
	lastOpeningNumber uint64
}

// localState returns the state of the agent's target: what the agent counts itself,
// corrected by the upstream's report. The report lags and may be wrong, so it can
// keep flows off the target but never attract them.
func (a *Agent) localState() owner.LocalState {
	now := a.deps.Clock.Now()
	o := owner.LocalState{Flows: a.table.Len(), Accepting: a.accepting.Load() && !a.upstreamUnreachable(now), Warmth: a.rampWarmth(now)}
	o.Slots = a.slots.Load()
	r := a.lastReport.Load()
	if r == nil || now.Sub(r.receivedAt) > maxReportAge {
		return o
	}
	o.Slots, o.Busy = r.load.Slots, r.load.Busy
	if r.load.Connections != nil {
		since := int(a.table.LastOpeningNumber() - r.lastOpeningNumber)
		o.Flows = a.openFlows(now, o.Flows, int(*r.load.Connections), since)
	}
	if r.load.Shedding {
		o.Accepting = false
	}
	if r.load.Warmth != nil {
		o.Warmth = min(*r.load.Warmth, fullWarmth)
	}
	return o
}

// openFlows returns the number of open flows, corrected by the number of
// connections that the upstream reported.
func (a *Agent) openFlows(now clock.Millis, flows, connections, since int) int {
	a.estimatorMu.Lock()
	defer a.estimatorMu.Unlock()
	return a.estimator.Flows(now, flows, connections, since, a.table.Active())
}

// rampWarmth returns the warmth of a target whose upstream reports none: it grows
// with the agent's age, unless the agent took over running flows.
func (a *Agent) rampWarmth(now clock.Millis) uint32 {
	ramp := clock.Millis(a.rampMillis.Load())
	age := now.Sub(a.startedAt)
	if ramp <= 0 || age >= ramp || a.tookOver.Load() {
		return fullWarmth
	}
	return uint32(age * fullWarmth / ramp)
}

// upstreamUnreachable reports whether the upstream's port was unreachable recently.
//
// A dead upstream beside a running agent looks idle. The ICMP errors of the closed port
// keep new flows away until none has arrived for unreachableTime.
func (a *Agent) upstreamUnreachable(now clock.Millis) bool {
	refused := a.pool.Refused()
	if last := a.unreachableSeen.Swap(refused); refused > last {
		a.unreachableSince.Store(int64(now))
	}
	since := clock.Millis(a.unreachableSince.Load())
	return since != 0 && now.Sub(since) < unreachableTime
}

// queryLoad queries the load endpoint. This happens right before each digest, so
// that peers learn of ended flows as early as possible.
func (a *Agent) queryLoad(ctx context.Context, client *http.Client) {
	lastOpeningNumber := a.table.LastOpeningNumber()
	l, err := fetchLoad(ctx, client, a.settings.Load)
	if err != nil {
		return
	}
	now := a.deps.Clock.Now()
	a.lastReport.Store(&loadReport{load: l, receivedAt: now, lastOpeningNumber: lastOpeningNumber})
	if l.Connections != nil {
		a.estimatorMu.Lock()
		a.estimator.Report(now, a.table.Len(), int(*l.Connections), a.table.ExpiredFlows())
		state := a.estimator.ReportTrust(now)
		a.estimatorMu.Unlock()
		a.deps.Log.Debug().Str("event", "load").Str("report", state).Int("flows", a.table.Len()).
			Uint32("connections", *l.Connections).Int("active", a.table.Active()).Msg("queried the load endpoint")
	}
}

func fetchLoad(ctx context.Context, client *http.Client, address string) (Load, error) {
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
	err = json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&l)
	return l, err
}

// runDigests sends this target's load to its peers until the context ends.
func (a *Agent) runDigests(ctx context.Context) {
	client := &http.Client{Timeout: reportTimeout}
	defer client.CloseIdleConnections()
	// Peers may have datagrams for this successor.
	a.sendDigests()
	for sleep(ctx, a.digestInterval()) {
		if a.settings.Load != "" {
			a.queryLoad(ctx, client)
		}
		a.sendDigests()
	}
}

func (a *Agent) sendDigests() {
	view := a.view.Load()
	local := a.localState()
	d := &wire.Digest{
		Sequence: a.sequence.Add(1), Flows: uint32(local.Flows), Opening: uint32(a.table.UnansweredFlows()),
		Busy: local.Busy, Slots: local.Slots, Warmth: local.Warmth, Accepting: local.Accepting,
		Sender: view.Self, Incarnation: view.Incarnation,
	}
	a.count.flows.Update(float64(local.Flows))
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

// handleDigest handles a peer's digest, which also shows a successor that serves.
func (a *Agent) handleDigest(now clock.Millis, e *wire.Envelope, from netip.AddrPort) {
	if !a.addressed(e) {
		return
	}
	if !a.loads.Update(now, e.Digest.Sender, e.Digest.Incarnation, e.Digest) {
		a.count.digestsLate.Inc(1)
		return
	}
	a.count.digests.Inc(1)
	a.noticeSuccessor(e.Digest, from)
}

// runSweeps ends expired flows and notifies their homes until the context ends.
func (a *Agent) runSweeps(ctx context.Context) {
	for sleep(ctx, clock.Second) {
		now := a.deps.Clock.Now()
		for _, f := range a.table.Expire(now, a.drainExpired(now)) {
			f.Link.Close()
			a.count.ended.Inc(1)
			a.logFlow("ended", f)
			a.notifyHomeEnded(f)
		}
	}
}

// drainExpired reports whether the target has been draining for longer than the
// service's drain limit. Its remaining flows are ended then.
func (a *Agent) drainExpired(now clock.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.self.State != member.Draining || a.service.DrainTimeout == 0 || now.Sub(a.drainingSince) <= a.service.DrainTimeout {
		return false
	}
	if n := a.table.Len(); n > 0 {
		a.deps.Log.Warn().Str("event", "drained").Int("flows", n).Msg("drain limit reached; ending the remaining flows")
	}
	return true
}

// notifyHomeEnded notifies a flow's home that the flow has ended.
func (a *Agent) notifyHomeEnded(f *owner.Flow) {
	view := a.view.Load()
	if f.Home == view.Self {
		return
	}
	home, ok := view.Set.Find(f.Home)
	if !ok {
		return
	}
	e := a.homeMessage(wire.Kind_KIND_ENDED, f, home)
	if out, err := a.sealer.Seal(nil, e); err == nil {
		_, _ = a.tunnel.WriteToUDPAddrPort(out, home.Tunnel)
	}
}

// homeMessage returns a message about a flow of this target to the flow's home.
func (a *Agent) homeMessage(kind wire.Kind, f *owner.Flow, home *target.Candidate) *wire.Envelope {
	view := a.view.Load()
	return &wire.Envelope{
		Kind: kind, Service: view.Set.Service, Target: home.ID, Incarnation: home.Incarnation,
		Caller: envelope.AppendCaller(nil, f.Caller), Home: view.Self,
	}
}

// sleep waits and reports false if the context ended first.
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
