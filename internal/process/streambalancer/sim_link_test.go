package streambalancer

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// simLink is the link of a process.
type simLink struct {
	fleet *simFleet
	from  *simProcess
}

// Send delivers a parcel to another process, which handles one at a time.
func (l simLink) Send(to netip.AddrPort, p *wire.Parcel) (int, error) {
	f, from := l.fleet, l.from
	size := p.SizeVT()
	other := f.byAddress[to]
	if f.measuring() {
		from.sentBytes[p.Verb] += size
		from.bursts[int(f.now/burstMicros)] += size
	}
	delay := remoteDelayMicros
	if other != nil && other.domain == from.domain {
		delay = localDelayMicros
	} else if f.measuring() {
		from.remoteBytes += size
	}
	from.busyUntil = max(from.busyUntil, f.now) + (cpuMicrosPerDatagram+cpuMicrosPerByte*float64(size))/from.share
	if other == nil || f.cut != nil && f.cut(from, other) {
		return size, nil
	}
	data, err := p.MarshalVT()
	if err != nil {
		return size, err
	}
	f.schedule(from.busyUntil-f.now+delay*(1+0.3*f.random.Float64()), func() { f.deliver(from.address, other, data) })
	return size, nil
}

func (f *simFleet) deliver(from netip.AddrPort, to *simProcess, data []byte) {
	if f.now < to.startAt {
		return
	}
	if to.busyUntil-f.now > maxBacklogMicros {
		to.dropped++
		return
	}
	p := &wire.Parcel{}
	if err := p.UnmarshalVT(data); err != nil {
		f.t.Fatal(err)
	}
	if f.measuring() {
		to.parcels++
		to.bytes += len(data)
		to.verbs[p.Verb]++
	}
	to.busyUntil = max(to.busyUntil, f.now) + (cpuMicrosPerDatagram+cpuMicrosPerByte*float64(len(data)))/to.share
	to.maxDelay = max(to.maxDelay, to.busyUntil-f.now)
	f.schedule(to.busyUntil-f.now, func() { f.handle(from, to, p) })
}

func (f *simFleet) handle(from netip.AddrPort, to *simProcess, p *wire.Parcel) {
	now := f.syncClock(to)
	if to.balancer != nil {
		to.balancer.handleParcel(from, p, nil)
		return
	}
	if to.reportBalancers == nil {
		return
	}
	to.reportBalancers.RecordHeard(now, from)
	if p.Verb == wire.Verb_VERB_PROBE {
		to.reportBalancers.RecordProbe(now, from, p.Report.Domain)
	}
	to.tracker.HandleParcel(now, from, p, nil)
	f.flush(to)
}

func (f *simFleet) flush(s *simProcess) {
	for _, send := range s.tracker.TakeOutcome().Sends {
		_, _ = simLink{f, s}.Send(send.To, send.Parcel)
	}
}

// WriteToUDPAddrPort discards what a balancer sends to a caller.
func (s *simProcess) WriteToUDPAddrPort(packet []byte, _ netip.AddrPort) (int, error) {
	return len(packet), nil
}
