package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	standin "github.com/wagtailtray/wagtailtray/internal/standin/platform"
	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// meteredStore is a platform stand-in with a client whose traffic is counted.
type meteredStore struct {
	server *standin.Server
	// unmetered bypasses the proxy.
	unmetered *platform.Client
	services  int
	client    *platform.Client
	proxy     *countingProxy
	close     func()
}

func newMeteredStore() (*meteredStore, error) {
	s := &meteredStore{server: standin.NewServer()}
	address, stop, err := serve(s.server)
	if err != nil {
		return nil, err
	}
	s.unmetered = platform.NewClient(address)
	if s.proxy, err = newCountingProxy(netip.MustParseAddrPort(address)); err != nil {
		stop()
		return nil, err
	}
	s.client = platform.NewClient(s.proxy.address.String())
	s.close = func() {
		s.client.Close()
		s.unmetered.Close()
		s.proxy.close()
		stop()
	}
	return s, nil
}

// serve runs a platform stand-in on loopback. It returns its address and a
// function that stops it.
func serve(p *standin.Server) (string, func(), error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(loopbackAnyPort))
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}

// newConfiguredStore returns a store with an approved configuration of that many
// services.
func newConfiguredStore(services int) (*meteredStore, error) {
	s, err := newMeteredStore()
	if err != nil {
		return nil, err
	}
	s.services = services
	plan := approval.NewPlan(&config.State{}, newState(services, 1), "measured", "")
	_, err = approval.Commit(context.Background(), s.client, plan)
	return s, err
}

// approveChange approves a changed record of one service, as the operators' client
// does: it loads the configuration in force, makes a plan and commits it.
func (s *meteredStore) approveChange(n int) error {
	ctx := context.Background()
	base, err := approval.Load(ctx, s.client)
	if err != nil {
		return err
	}
	plan := approval.NewPlan(base, newState(s.services, uint64(n+2)), "measured", "")
	_, err = approval.Commit(ctx, s.client, plan)
	return err
}

// measureChanges approves changes in a store of that many services and returns by
// how much the value of measure grows.
func measureChanges(services, changes int, measure func(*meteredStore) float64) (float64, error) {
	s, err := newConfiguredStore(services)
	if err != nil {
		return 0, err
	}
	defer s.close()
	before := measure(s)
	for n := range changes {
		if err := s.approveChange(n); err != nil {
			return 0, err
		}
	}
	return measure(s) - before, nil
}

// callCountServices is the number of services for measurements of calls.
const callCountServices = 10

func approvalWrites(n int) (float64, error) {
	return measureChanges(callCountServices, n, func(s *meteredStore) float64 { return float64(s.server.Calls().Writes) })
}

func approvalReads(n int) (float64, error) {
	return measureChanges(callCountServices, n, func(s *meteredStore) float64 { return float64(s.server.Calls().Reads) })
}

func approvalBytes(services int) (float64, error) {
	return measureChanges(services, 1, func(s *meteredStore) float64 { return float64(s.proxy.bytes.Load()) })
}

func approvalTime(services int) (float64, error) {
	return measureChanges(services, 1, func(*meteredStore) float64 { return cpuTime() })
}

// relayReads counts the reads of a relay that is notified of n changes.
func relayReads(n int) (float64, error) {
	s, err := newConfiguredStore(callCountServices)
	if err != nil {
		return 0, err
	}
	defer s.close()
	ctx := context.Background()
	known, err := approval.Load(ctx, s.client)
	if err != nil {
		return 0, err
	}
	reads := uint64(0)
	for i := range n {
		if err := s.approveChange(i); err != nil {
			return 0, err
		}
		before := s.server.Calls().Reads
		if known, _, err = approval.LoadKnown(ctx, s.client, known); err != nil {
			return 0, err
		}
		reads += s.server.Calls().Reads - before
	}
	return float64(reads), nil
}

func readTime(n int) (float64, error) {
	s, err := newConfiguredStore(callCountServices)
	if err != nil {
		return 0, err
	}
	defer s.close()
	return cpuTimeOf(func() error {
		for range n {
			if _, err := s.unmetered.List(context.Background(), platform.Processes); err != nil {
				return err
			}
		}
		return nil
	})
}

// watchBytes returns the memory of n waiting watches, both ends.
func watchBytes(n int) (float64, error) {
	s, err := newConfiguredStore(callCountServices)
	if err != nil {
		return 0, err
	}
	defer s.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return memoryGrowth(func() (any, error) {
		for range n {
			go func() {
				_ = s.unmetered.Watch(ctx, platform.Configurations, 1<<40, func(platform.Event) error { return nil })
			}()
		}
		for s.server.Calls().Waiting < uint64(n) {
			time.Sleep(time.Millisecond)
		}
		return s, nil
	})
}

// writeClients writes the section about the platform's clients.
func writeClients(b *strings.Builder, in *Inputs) {
	s := PlannedSize
	perSecond := s.ChangesPerDay / secondsPerDay
	relay := in.cost(RelayReads, 1)
	fmt.Fprintf(b, "## Clients of the platform\n\nWorked out from the slopes; both ends of each call are in the processor time and the memory.\n\n")
	fmt.Fprintf(b, "- **Platform's client in a relay**: one waiting watch, %.1f KB; %.1f reads for each change, %.3f reads a second at %.0f changes a day, %.2g %% of a core at %.0f us a read. Other balancers and agents call at start and stop only.\n",
		in.cost(Watch, 1)/1e3, relay, relay*perSecond, s.ChangesPerDay, 100*relay*perSecond*in.cost(Read, 1)/1e9, in.cost(Read, 1)/1e3)
	fmt.Fprintf(b, "- **Operators' client**: an approval at %.0f services makes %.0f reads and %.1f writes, moves %.0f KB and takes %.0f ms of processor time. It keeps nothing between two commands.\n\n",
		s.Services, in.cost(ApprovalReads, 1), in.cost(ApprovalWrites, 1), in.cost(ApprovalBytes, s.Services)/1e3, in.cost(ApprovalTime, s.Services)/1e6)
}
