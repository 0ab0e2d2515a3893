package capacity

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/process/balancer"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
)

// newTestBalancer returns a balancer. It opens no sockets towards callers unless
// edges is set.
func newTestBalancer(edges bool) (*balancer.Balancer, error) {
	ring, err := key.Parse(testKey)
	if err != nil {
		return nil, err
	}
	deps := balancer.Deps{Ring: ring, Clock: clock.System(), Log: zerolog.Nop(), Scope: tally.NoopScope}
	if !edges {
		deps.Listen = refuseListen
	}
	return balancer.New(balancer.Settings{
		Name: "b", Domain: "d0", Control: loopbackAnyPort, Tunnel: loopback, Ports: 1, Workers: 1, MTU: 1500,
		Limits: target.Limits{MaxHints: 64, MaxPending: 64, WalksPerSecond: 1},
	}, deps)
}

// testKey is the key used in measurements. It protects nothing.
const testKey = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

// newState returns a configuration of that many services. Each version changes the
// record of one of them.
func newState(services int, version uint64) *config.State {
	s := &config.State{Records: map[string]*config.Service{}}
	s.Root.Version = version
	s.Root.Deployment = "measured"
	s.Root.Timing = config.Timing{HeartbeatInterval: 900, SuspectTimeout: 2712, LeaseDuration: 2712, LingerTime: 2012, Retention: clock.Hour}
	for i := range services {
		r := &config.Service{
			Name: fmt.Sprintf("service-%04d", i), Number: uint32(i + 1),
			Address:   netip.AddrPortFrom(loopback, 0),
			Upstreams: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
			MaxFlows:  2500, Slots: 4, IdleTimeout: 30000, UnansweredTimeout: 10000, DrainTimeout: 14400000, DigestInterval: 500, ResendWindow: 10000,
		}
		if uint64(i) == version%uint64(services) {
			r.MaxFlows += int(version)
		}
		name := config.NameOf(r)
		s.Records[name] = r
		s.Root.Services = append(s.Root.Services, config.Entry{Name: r.Name, Number: r.Number, RecordName: name})
	}
	return s
}

// targetRecord returns the i'th target. Targets are spread evenly over the
// services, some three to each at the planned size.
func targetRecord(i, services int) member.Member {
	return member.Member{
		Key:    member.Key{Kind: member.Target, Service: fmt.Sprintf("service-%04d", i%services), Name: fmt.Sprintf("target-%05d", i)},
		Domain: fmt.Sprintf("d%d", i%7), Control: callerAddr(i), Tunnels: []netip.AddrPort{callerAddr(i + 1)}, Upstream: callerAddr(i),
		Incarnation: 1, Sequence: 1, State: member.Alive,
	}
}

func targetRecords(n, services int) []member.Member {
	all := make([]member.Member, n)
	for i := range all {
		all[i] = targetRecord(i, services)
	}
	return all
}

func balancerRecord(i int) member.Member {
	return member.Member{
		Key: member.Key{Kind: member.Balancer, Name: fmt.Sprintf("balancer-%03d", i)}, Domain: fmt.Sprintf("d%d", i%7),
		Control: callerAddr(i), Tunnels: []netip.AddrPort{callerAddr(i)}, Incarnation: 1, Sequence: 1, State: member.Alive,
	}
}

// errListenRefused keeps a measured balancer from opening sockets towards callers.
var errListenRefused = fmt.Errorf("capacity: sockets towards callers are disabled in this measurement")

func refuseListen(netip.AddrPort) (*net.UDPConn, error) {
	return nil, errListenRefused
}
