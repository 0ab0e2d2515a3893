package main

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Times of the case. The partition is as long as the longest cut of a single machine on the
// standard days of the site at most, 12 s.
const (
	partitionTime = 6500 * time.Millisecond
	// serveTime is how long the new incarnation has run, without a disruption, when its agent
	// is restarted. It is longer than stableWindowMs, 4 s.
	serveTime = 5500 * time.Millisecond
	// lateBy is how long after the agent's start the delayed heartbeat arrives.
	lateBy = 550 * time.Millisecond
	// watchTime is how long clients are watched afterwards.
	watchTime = 6 * time.Second
)

// slowPath stands between a target and the control address of its machine. While it is cut, it
// forwards nothing; what was sent is delivered late.
type slowPath struct {
	listener *net.TCPListener
	to       netip.AddrPort

	mu   sync.Mutex
	cut  bool
	held [][]byte
}

func newSlowPath(at, to netip.AddrPort) (*slowPath, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	p := &slowPath{listener: l, to: to}
	go p.serve()
	return p, nil
}

func (p *slowPath) setCut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = on
}

func (p *slowPath) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *slowPath) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

// forward handles one connection; a target opens one for each call.
func (p *slowPath) forward(in net.Conn) {
	defer func() { _ = in.Close() }()
	if p.isCut() {
		p.hold(in)
		return
	}
	out, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(p.to))
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() { _, _ = out.ReadFrom(in) }()
	b := make([]byte, 4096)
	for {
		n, err := out.Read(b)
		if _, failed := in.Write(b[:n]); err != nil || failed != nil {
			return
		}
	}
}

// hold keeps what arrives on a connection until its sender is gone.
func (p *slowPath) hold(in net.Conn) {
	var all []byte
	b := make([]byte, 4096)
	for {
		n, err := in.Read(b)
		all = append(all, b[:n]...)
		if err != nil {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(all) > 0 {
		p.held = append(p.held, all)
	}
}

// deliver sends the calls that were held to the machine, and returns how many were.
func (p *slowPath) deliver(rec *record) int {
	p.mu.Lock()
	held := p.held
	p.held = nil
	p.mu.Unlock()
	for i, call := range held {
		out, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(p.to))
		if err != nil {
			return i
		}
		_, _ = out.Write(call)
		_ = out.SetReadDeadline(time.Now().Add(time.Second))
		b := make([]byte, 512)
		n, _ := out.Read(b)
		_ = out.Close()
		rec.say("a heartbeat of the earlier incarnation arrives late; the answer is %q", firstLine(b[:n]))
	}
	return len(held)
}

func firstLine(b []byte) string {
	for i := range b {
		if b[i] == '\r' || b[i] == '\n' {
			return string(b[:i])
		}
	}
	return string(b)
}

// lateHeartbeat shows what happens to the open flows of a target if its agent, which was just
// restarted as planned, first gets a delayed heartbeat of the target's earlier incarnation.
func lateHeartbeat(rec *record, trouble bool) (int, error) {
	return runLateHeartbeat(rec, trouble, 0)
}

// lateHeartbeats is the same with several delayed heartbeats.
func lateHeartbeats(rec *record, trouble bool) (int, error) {
	return runLateHeartbeat(rec, trouble, 3500*time.Millisecond)
}

func runLateHeartbeat(rec *record, trouble bool, liveTime time.Duration) (int, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	path, err := newSlowPath(d.at(kindProxy, 0, d.ports.control), d.at(kindSide, 0, d.ports.control))
	if err != nil {
		return notRun, err
	}
	defer func() { _ = path.listener.Close() }()
	control := func(index int, a netip.AddrPort) netip.AddrPort {
		if index == 0 {
			return path.listener.Addr().(*net.TCPAddr).AddrPort()
		}
		return a
	}
	if err := d.putConfiguration(1); err != nil {
		return notRun, err
	}
	if err := d.startSystem(layout{balancersPerZone: 2, targetsPerZone: 2}, control); err != nil {
		return notRun, err
	}
	if !d.awaitRotation(15 * time.Second) {
		return notRun, errors.New("the balancers are not in rotation")
	}
	x := &lateHeartbeatRun{d: d, path: path, control: control, trouble: trouble, liveTime: liveTime}
	if err := d.startClients(2, 20, 20, 400*time.Millisecond, x.judge); err != nil {
		return notRun, err
	}
	return x.run()
}

// lateHeartbeatRun is the state of a run.
type lateHeartbeatRun struct {
	d       *deployment
	path    *slowPath
	control controlAddress
	trouble bool
	// liveTime is how long the first incarnation lives behind the partition; zero for a single
	// heartbeat.
	liveTime time.Duration

	mu sync.Mutex
	// second is the target's second incarnation, and watched is set from the restart of its
	// agent on.
	second  *target
	watched bool
	resets  int
	lost    int
}

// judge counts a reset that the system sends on a flow that is open at the second incarnation,
// which lives and has had no disruption for stableWindowMs.
func (x *lateHeartbeatRun) judge(f *clientFlow, p *packet) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.watched || x.second == nil {
		return
	}
	open, since := x.second.holds(f.id)
	waiting, accepted := f.accepts(p)
	if !open || !accepted || time.Since(x.second.bornAt) < 4*time.Second {
		return
	}
	x.resets++
	if waiting != "" {
		x.lost++
	}
	x.d.rec.printf("BROKEN FLOW: flow %s, open at %s for %.1f s, is reset by the system; request that waits: %q",
		f.id.client, x.second.id, time.Since(since).Seconds(), waiting)
}

func (x *lateHeartbeatRun) run() (int, error) {
	d, rec := x.d, x.d.rec
	time.Sleep(4 * time.Second)
	first, agent := d.targets[0], d.agents[0]
	rec.say("a partition begins between the target %s and the daemon beside it: trouble %v", first.id, x.trouble)
	x.path.setCut(x.trouble)
	x.live(first)
	first.crash()
	time.Sleep(partitionTime - x.liveTime)
	x.path.setCut(false)
	rec.say("the partition has ended; the target starts again")
	second := d.newTarget(0, 2, x.control)
	if err := second.start(); err != nil {
		return notRun, err
	}
	x.mu.Lock()
	x.second, d.targets[0] = second, second
	x.mu.Unlock()
	time.Sleep(serveTime)
	drain(second.acked)
	<-second.acked
	time.Sleep(50 * time.Millisecond)
	x.mu.Lock()
	x.watched = true
	x.mu.Unlock()
	rec.say("planned work: the daemon beside %s is stopped and started", second.id)
	agent.signal(syscall.SIGTERM)
	time.Sleep(restartDelay + lateBy)
	if n := x.path.deliver(rec); x.trouble && n == 0 {
		return notRun, errors.New("no heartbeat was delayed")
	}
	time.Sleep(watchTime)
	d.traceLogs(agent)
	return x.result(), nil
}

// live lets the first incarnation live behind the partition: it sends one heartbeat, or goes on
// with its heartbeats for liveTime.
func (x *lateHeartbeatRun) live(first *target) {
	if x.liveTime > 0 {
		time.Sleep(x.liveTime)
		return
	}
	body := first.body()
	x.d.rec.printf("heartbeat of %s is sent: %s", first.id, body)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, _ = post(ctx, first.client, first.control, "/api/Instances.Heartbeat/"+first.id, body)
}

func drain(c chan struct{}) {
	for {
		select {
		case <-c:
		default:
			return
		}
	}
}

// result returns whether the rule was broken.
func (x *lateHeartbeatRun) result() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent, answered, resets, failed := x.d.totals()
	x.d.rec.say("requests sent %d, answered %d; flows reset %d, flows or requests without an answer %d", sent, answered, resets, failed)
	x.d.rec.say("FLOW: %d open flows of the living target were reset by the system, %d of them while a request waited", x.resets, x.lost)
	if x.resets > 0 {
		return broken
	}
	return held
}
