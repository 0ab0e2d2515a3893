package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/wagtailtray/wagtailtray/platform/standin"
)

// Ports, the same on all machines.
const (
	portPackets       = 28172
	portReady         = 28167
	portControl       = 28166
	portOutbound      = 28162
	portApp           = 28165
	portStore         = 28169
	portInternalFirst = 27720
	portInternalLast  = 27735
)

// Kinds of machines: the third octet of their addresses.
const (
	kindStore = iota + 1
	kindBalancer
	kindAgent
	kindCaller
)

// Bounds of the small deployments, from SYSTEM.md and DEPLOY.md.
const (
	configApply  = 3 * time.Second
	maxSkew      = 12 * time.Second
	stableWindow = 4 * time.Second
	flowTTL      = 60 * time.Second
	graceTime    = 6 * time.Second
	heartbeat    = 1200 * time.Millisecond
)

// maxSeeds is how many seeds the settings name.
const maxSeeds = 3

// readyTimeout bounds the start of all balancers.
const readyTimeout = 20 * time.Second

// restartDelay is the delay before a process that has ended is started again.
const restartDelay = 300 * time.Millisecond

var errSetup = errors.New("the case could not run")

// world holds the processes and stand-ins of one run.
type world struct {
	record  *record
	folder  string
	program string
	network byte
	zones   []string
	store   *standin.Store
	// storeAddress is where the machines reach the store, and firstSeed the index of the first
	// balancer that the settings name as a seed.
	storeAddress netip.AddrPort
	firstSeed    int
	// storeProxies are the paths of the balancers to the store, in their order.
	storeProxies []*proxy
	balancers    []*process
	agents       []*process
	targets      []*target
	version      int
}

// newWorld prepares a run in a temporary folder and an unused loopback network.
func newWorld(r *record, program string, zones ...string) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, folder: folder, program: program, zones: zones}
	for range 50 {
		w.network = byte(20 + rand.IntN(200))
		if w.store, err = standin.StartStore(w.address(kindStore, 0, portStore)); err == nil {
			w.storeAddress = w.store.Address
			return w, nil
		}
	}
	return nil, errors.Join(errSetup, err)
}

func (w *world) ip(kind, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, byte(kind), byte(index + 1)})
}

func (w *world) address(kind, index int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(w.ip(kind, index), port)
}

// putConfiguration writes a version with the given routes, from listener to service, and
// returns when it was acknowledged.
func (w *world) putConfiguration(routes map[netip.AddrPort]string) (time.Time, error) {
	w.version += 3
	list := []map[string]any{}
	services := map[string]bool{}
	for l, service := range routes {
		services[service] = true
		list = append(list, map[string]any{
			"name": "r-" + l.String(), "host": l.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", l.Port()),
			"type": "unsafe", "timeoutMs": 1200, "sloMs": 200, "priority": 1, "service": service, "maxAttempts": 2,
		})
	}
	all := []map[string]any{}
	for s := range services {
		all = append(all, map[string]any{"name": s, "healthPath": "/healthz", "maxConnections": 2000})
	}
	err := w.store.Put("config", "main", map[string]any{
		"version": w.version, "routes": list, "services": all, "limits": map[string]any{"idleTimeoutMs": 15000},
	})
	w.record.add("operator: version %d acknowledged by the store, routes %v", w.version, routes)
	return time.Now(), err
}

// settings returns the settings file of a machine.
func (w *world) settings(class string, kind, index int, zone, service string, store netip.AddrPort) string {
	seeds := []string{}
	for i := range maxSeeds {
		seeds = append(seeds, fmt.Sprintf("%q", w.address(kindBalancer, w.firstSeed+i, portControl).String()))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = %q\nmachineClass = %q\nip = %q\nzone = %q\nregion = \"r\"\n",
		fmt.Sprintf("%s-%s-%d", class, zone, index+1), class, class, w.ip(kind, index), zone)
	fmt.Fprintf(&b, "internalPorts = [%d, %d]\nseeds = [%s]\nbootstrap = true\nheartbeatMs = %d\nhashMode = \"steady\"\ndeploymentMode = \"agent\"\n",
		portInternalFirst, portInternalLast, strings.Join(seeds, ", "), heartbeat.Milliseconds())
	if service != "" {
		fmt.Fprintf(&b, "service = %q\napp = %q\n", service, w.address(kind, index, portApp))
	}
	fmt.Fprintf(&b, "[zones]\n")
	for _, z := range uniq(w.zones) {
		fmt.Fprintf(&b, "%s = \"r\"\n", z)
	}
	fmt.Fprintf(&b, "[listenAddrs]\npacketAddress = %q\nready = %q\ncontrol = %q\noutbound = %q\n",
		w.address(kind, index, portPackets), w.address(kind, index, portReady), w.address(kind, index, portControl), w.address(kind, index, portOutbound))
	fmt.Fprintf(&b, "[limits]\ncpuShare = 0.4\ncpuSpeedFactor = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\n")
	fmt.Fprintf(&b, "[bounds]\nstableWindowMs = %d\ndrainMs = 3000\ngraceS = %d\nconfigApplyMs = %d\nrollbackSlackMs = 250\nmaxSkewMs = %d\nreorderMs = 2000\nflowTtlS = %d\n",
		stableWindow.Milliseconds(), int(graceTime.Seconds()), configApply.Milliseconds(), maxSkew.Milliseconds(), int(flowTTL.Seconds()))
	fmt.Fprintf(&b, "[platform]\naddress = %q\ndeploymentMode = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nmaxValueBytes = 1048576\n", store)
	return b.String()
}

func uniq(all []string) []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range all {
		if !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}

// startBalancers starts one balancer for each entry of zones, each with a path of its own
// to the store.
func (w *world) startBalancers() error {
	for _, zone := range w.zones {
		i := len(w.balancers)
		p, err := newProxy(w.address(kindStore, i+1, portStore), w.storeAddress)
		if err != nil {
			return err
		}
		w.storeProxies = append(w.storeProxies, p)
		b, err := w.start("balancer", w.settings("frontend", kindBalancer, i, zone, "", p.address))
		if err != nil {
			return err
		}
		w.balancers = append(w.balancers, b)
	}
	return nil
}

// newSeeds writes the settings of an agent anew, with the present seeds, and notifies it.
func (w *world) newSeeds(i int) error {
	t, p := w.targets[i], w.agents[i]
	settings := w.settings("side", kindAgent, i, t.zone, t.service, w.storeAddress)
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	w.record.add("the settings of %s name the new seeds; SIGHUP", p.name)
	p.signal(syscall.SIGHUP)
	return nil
}

// startTarget starts a target of a service with its agent.
func (w *world) startTarget(zone, service string) error {
	i := len(w.targets)
	a, err := w.start("agent", w.settings("side", kindAgent, i, zone, service, w.storeAddress))
	if err != nil {
		return err
	}
	w.agents = append(w.agents, a)
	t, err := startTarget(w.record, targetSettings{
		id: fmt.Sprintf("i-%d", i+1), service: service, zone: zone, app: w.address(kindAgent, i, portApp),
		outbound: w.address(kindAgent, i, portOutbound), control: w.address(kindAgent, i, portControl),
	})
	if err != nil {
		return err
	}
	w.targets = append(w.targets, t)
	return nil
}

// waitReady waits until all balancers are ready.
func (w *world) waitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range w.balancers {
			if w.isReady(client, i) {
				ready++
			}
		}
		if ready == len(w.balancers) {
			w.record.add("all %d balancers are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("%w: not all balancers became ready", errSetup)
}

// isReady probes a balancer as the platform's routers do.
func (w *world) isReady(client *http.Client, balancer int) bool {
	url := "http://" + w.address(kindBalancer, balancer, portReady).String() + "/api/readyz"
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// close ends all processes that the run started and removes its folder.
func (w *world) close() {
	for _, t := range w.targets {
		t.crash()
	}
	started.end()
	for _, p := range w.storeProxies {
		p.close()
	}
	if w.store != nil {
		w.store.Close()
	}
	_ = os.RemoveAll(w.folder)
}
