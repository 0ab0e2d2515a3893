package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// blockingBalancer is a balancer that knows the service. Its replies to a target that has a
// tunnel block until release is closed.
type blockingBalancer struct {
	announced chan netip.AddrPort
	release   chan struct{}
}

func (b *blockingBalancer) Handle(_ context.Context, _ control.Method, params json.RawMessage) (any, error) {
	r, err := control.DecodeParams[wire.Announce](params)
	if err != nil {
		return nil, err
	}
	reply := &wire.Announced{Version: 1}
	reply.Record, _ = json.Marshal(config.Service{Number: 1, MaxFlows: 10, IdleTimeout: clock.Minute})
	reply.Timing, _ = json.Marshal(config.Timing{HeartbeatInterval: clock.Second, LeaseDuration: clock.Minute})
	if len(r.Member.Tunnels) > 0 {
		b.announced <- netip.MustParseAddrPort(r.Member.Tunnels[0])
		<-b.release
	}
	return reply, nil
}

// A balancer that a starting agent announces itself to may be dead or slow. The flows that
// the agent has taken over must not wait for its reply.
func TestServesBeforeBalancersReply(t *testing.T) {
	balancer := &blockingBalancer{announced: make(chan netip.AddrPort, 1), release: make(chan struct{})}
	a := newTestAgent(t, clock.System())
	scope := tally.NewTestScope("", nil)
	a.count = newCounters(scope)
	server, err := control.Serve(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), a.deps.Ring, balancer)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	a.deps.Store = &fakeStore{failures: 1000}
	a.settings.Control = netip.MustParseAddrPort("127.0.0.1:0")
	a.settings.Upstream = netip.MustParseAddrPort("127.0.0.1:9")
	a.settings.Balancers = []netip.AddrPort{server.Address()}
	defer a.Kill()
	started := make(chan error, 1)
	go func() { started <- a.Start(t.Context()) }()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(<-balancer.announced))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("no envelope")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(callTimeout / 4)
	if n := scope.Snapshot().Counters()["malformed+"]; n == nil || n.Value() == 0 {
		t.Error("the tunnel is not read before the balancer has replied")
	}
	close(balancer.release)
	if err := <-started; err != nil {
		t.Fatal(err)
	}
}
