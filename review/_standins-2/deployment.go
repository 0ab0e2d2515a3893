package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wagtailtray/wagtailtray/platform/standin"
)

// Third octets of the addresses of machines.
const (
	kindStore = iota + 1
	kindFrontend
	kindSide
	kindClient
	kindRoute
	kindProxy
)

const (
	heartbeatMS = 1200
	// restartDelay is the pause before a process that has ended starts again.
	restartDelay = 200 * time.Millisecond
	// graceTime is graceS.
	graceTime = 6 * time.Second
)

var zones = []string{"tln-a", "tln-b", "tln-c"}

// running is the deployment of the run, so that its processes can be ended early.
var running atomic.Pointer[deployment]

// ports are the same on all machines.
type ports struct {
	packets, ready, control, outbound, app, store, internal uint16
}

// deployment holds the processes of the system and the stand-ins around them.
type deployment struct {
	network   byte
	ports     ports
	folder    string
	rec       *record
	store     *standin.Store
	fabric    *fabric
	balancers []*process
	agents    []*process
	targets   []*target
	clients   []*clientHost
	version   int
	closeOnce sync.Once
	ctx       context.Context //nolint:containedctx // lives as long as the run
	cancel    context.CancelFunc
}

// layout is the size of a deployment.
type layout struct {
	balancersPerZone, targetsPerZone int
	// spare is the number of machines beside targets that start later.
	spare int
}

// controlAddress returns the address to which a target sends heartbeats.
type controlAddress func(index int, direct netip.AddrPort) netip.AddrPort

func direct(_ int, a netip.AddrPort) netip.AddrPort { return a }

func (d *deployment) ip(kind, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(kind), byte(index + 1)})
}

func (d *deployment) at(kind, index int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(d.ip(kind, index), port)
}

func zoneOf(index int) string { return zones[index%len(zones)] }

// freePorts returns ports that are free on the network's addresses now.
func (d *deployment) freePorts() error {
	var found []uint16
	for len(found) < 7 {
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(d.at(kindStore, 0, 0)))
		if err != nil {
			return err
		}
		p := l.Addr().(*net.TCPAddr).AddrPort().Port()
		_ = l.Close()
		if p > 1100 && p < 65000 && !near(found, p) {
			found = append(found, p)
		}
	}
	d.ports = ports{found[0], found[1], found[2], found[3], found[4], found[5], found[6]}
	return nil
}

// near reports whether a port lies within the internal range of another one.
func near(all []uint16, p uint16) bool {
	for _, q := range all {
		if p >= q-16 && p <= q+16 {
			return true
		}
	}
	return false
}

func newDeployment(rec *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{network: byte(10 + os.Getpid()%200), folder: folder, rec: rec, fabric: &fabric{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	running.Store(d)
	if err := d.freePorts(); err != nil {
		return nil, err
	}
	if d.store, err = standin.StartStore(d.at(kindStore, 0, d.ports.store)); err != nil {
		return nil, err
	}
	return d, nil
}

// startSystem starts the processes of the system and the targets.
func (d *deployment) startSystem(l layout, control controlAddress) error {
	for i := range l.balancersPerZone * len(zones) {
		p, err := d.startProcess("balancer", kindFrontend, i)
		if err != nil {
			return err
		}
		d.balancers = append(d.balancers, p)
		d.fabric.add(zoneOf(i), d.at(kindFrontend, i, d.ports.packets), d.at(kindFrontend, i, d.ports.ready))
	}
	for i := range l.targetsPerZone*len(zones) + l.spare {
		if err := d.addTarget(i, l.targetsPerZone*len(zones), control); err != nil {
			return err
		}
	}
	go d.fabric.run(d.ctx)
	return nil
}

// addTarget starts the agent and, unless the machine is a spare one, the target of a machine.
func (d *deployment) addTarget(index, count int, control controlAddress) error {
	if index >= count {
		d.agents, d.targets = append(d.agents, nil), append(d.targets, nil)
		return nil
	}
	p, err := d.startProcess("agent", kindSide, index)
	if err != nil {
		return err
	}
	t := d.newTarget(index, 1, control)
	d.agents, d.targets = append(d.agents, p), append(d.targets, t)
	return t.start()
}

// newTarget returns an incarnation of a machine's target.
func (d *deployment) newTarget(index, incarnation int, control controlAddress) *target {
	return &target{
		id: fmt.Sprintf("i-%d-%d", index, incarnation), service: "quote-session", zone: zoneOf(index),
		app: d.at(kindSide, index, d.ports.app), outbound: d.at(kindSide, index, d.ports.outbound),
		control:   control(index, d.at(kindSide, index, d.ports.control)),
		heartbeat: heartbeatMS * time.Millisecond, rec: d.rec,
	}
}

// startClients starts clients in all zones.
func (d *deployment) startClients(perZone, flows, requests int, pause time.Duration, onReset func(*clientFlow, *packet)) error {
	for i := range perZone * len(zones) {
		c, err := newClientHost(d.at(kindClient, i, d.ports.packets), d.route(0), zoneOf(i), d.fabric, d.rec)
		if err != nil {
			return err
		}
		c.onReset = onReset
		d.clients = append(d.clients, c)
		for range flows {
			go c.run(d.ctx, requests, pause)
		}
	}
	return nil
}

// route returns the address of a route.
func (d *deployment) route(index int) netip.AddrPort {
	return d.at(kindRoute, index, 443)
}

// putConfiguration writes the next version of the configuration with a number of routes.
func (d *deployment) putConfiguration(routes int) error {
	d.version += 3
	var list []map[string]any
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": d.route(i).Addr().String(), "pathPrefix": "/443/", "service": "quote-session",
			"type": "unsafe", "sloMs": 200, "timeoutMs": 1200, "priority": 1, "maxAttempts": 2,
		})
	}
	d.rec.printf("the operator writes version %d with %d routes", d.version, routes)
	return d.store.Put("config", "main", map[string]any{
		"version": d.version, "routes": list,
		"services": []map[string]any{{"name": "quote-session", "healthPath": "/healthz", "maxConnections": 2000, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// settings returns the settings file of a process.
func (d *deployment) settings(kind, index int) string {
	var seeds []string
	for i := range min(3, len(zones)) {
		seeds = append(seeds, fmt.Sprintf("%q", d.at(kindFrontend, i, d.ports.control)))
	}
	role, share, memory, extra := "balancer", "0.088", 284, ""
	serves := `["frontend","control_plane"]`
	if kind == kindSide {
		role, share, memory, serves = "agent", "0.24", 152, `["side"]`
		extra = fmt.Sprintf("app = %q\nservice = \"quote-session\"\n", d.at(kind, index, d.ports.app))
	}
	return fmt.Sprintf("nodeName = \"%s-%s-%d\"\nrole = %q\nserves = %s\nip = %q\nzone = %q\nregion = \"tallinn\"\n"+
		"internalPorts = [%d,%d]\nseeds = [%s]\nbootstrap = true\ndiscovery = \"local\"\nentry = \"announce\"\nheartbeatMs = %d\n"+
		"contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"platform\"]\nhashMode = \"steady\"\ndeploymentMode = \"agent\"\n%s"+
		"[zones]\ntln-a = \"tallinn\"\ntln-b = \"tallinn\"\ntln-c = \"tallinn\"\n"+
		"[listenAddrs]\npacketAddress = %q\nready = %q\ncontrol = %q\noutbound = %q\n"+
		"[limits]\ncpuShare = %s\ncpuSpeedFactor = 1\nmemoryMb = %d\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 0\n"+
		"[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 4000\nackTimeoutMs = 5000\ncatchUpS = 4\ndrainMs = 3000\n"+
		"graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\nmaxSkewMs = 12000\nrecoveryS = 12\n"+
		"reorderMs = 2000\nflowTtlS = 60\n"+
		"[platform]\naddress = %q\ndeploymentMode = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"+
		"maxValueBytes = 1048576\nminTtlMs = 1000\n",
		role, zoneOf(index), index, role, serves, d.ip(kind, index), zoneOf(index),
		d.ports.internal, d.ports.internal+15, strings.Join(seeds, ","), heartbeatMS, extra,
		d.at(kind, index, d.ports.packets), d.at(kind, index, d.ports.ready), d.at(kind, index, d.ports.control),
		d.at(kind, index, d.ports.outbound), share, memory, d.at(kindStore, 0, d.ports.store))
}

// process runs a program of the deploy file and starts it again when it ends.
type process struct {
	name string
	run  []string
	file string
	log  *os.File
	rec  *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	closing bool
	// stopping is set if the current process was told to end; own counts those that ended by
	// themselves.
	stopping bool
	own      int
}

// startProcess starts a role of the deploy file on a machine.
func (d *deployment) startProcess(role string, kind, index int) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, index)
	p := &process{name: name, run: []string{"target/node", role}, file: filepath.Join(d.folder, name+".toml"), rec: d.rec}
	if err := os.WriteFile(p.file, []byte(d.settings(kind, index)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = log
	return p, p.start()
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return nil
	}
	cmd := exec.Command(p.run[0], p.run[1:]...) //nolint:noctx // it is ended by its id
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAGTAILTRAY_BOOT=" + p.file}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended, p.stopping = cmd, make(chan struct{}), false
	p.rec.printf("%s starts", p.name)
	go p.watch(cmd, p.ended)
	return nil
}

// watch starts the process again when it has ended.
func (p *process) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	if !p.stopping && !p.closing {
		p.own++
		p.rec.say("%s ended by itself: %v", p.name, err)
	}
	closing := p.closing
	close(ended)
	p.mu.Unlock()
	if closing {
		return
	}
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		p.rec.say("%s cannot start: %v", p.name, err)
	}
}

// signal sends a signal to the process that was started last.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopping = true
	}
	p.rec.printf("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// leave ends the process as planned: SIGTERM, and SIGKILL after graceS. It is not started again.
func (p *process) leave() {
	p.mu.Lock()
	p.closing = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-ended
	}
	p.rec.printf("%s has left", p.name)
}

// close ends the process for good.
func (p *process) close() {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.closing = true
	ended := p.ended
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-ended
	_ = p.log.Close()
}

// close ends everything that was started, once. The logs stay where KEEP names a folder for them.
func (d *deployment) close() { d.closeOnce.Do(d.end) }

func (d *deployment) end() {
	d.cancel()
	for _, c := range d.clients {
		_ = c.conn.Close()
	}
	for _, t := range d.targets {
		if t != nil && t.isAlive() {
			t.crash()
		}
	}
	for _, p := range append(append([]*process{}, d.agents...), d.balancers...) {
		p.close()
	}
	if d.store != nil {
		d.store.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs:", d.folder)
	}
}

// awaitRotation waits until all balancers are in rotation.
func (d *deployment) awaitRotation(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.fabric.inRotation() == len(d.balancers) {
			return true
		}
	}
	return false
}

// totals returns the sums over all clients.
func (d *deployment) totals() (sent, answered, resets, failed int) {
	for _, c := range d.clients {
		c.mu.Lock()
		sent, answered, resets, failed = sent+c.sent, answered+c.answered, resets+c.resets, failed+c.failed
		c.mu.Unlock()
	}
	return sent, answered, resets, failed
}
