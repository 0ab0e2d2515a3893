package upstream_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/connection/upstream"
)

// Several workers open flows concurrently. Each flow's datagram must arrive at
// the upstream from a port of its own, and the upstream's answer on that flow.
func TestWorkersDialAtOnce(t *testing.T) {
	const flows = 64
	echo, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		var b [16]byte
		for {
			n, from, err := echo.ReadFromUDPAddrPort(b[:])
			if err != nil {
				return
			}
			_, _ = echo.WriteToUDPAddrPort(b[:n], from)
		}
	}()
	var answered sync.WaitGroup
	answered.Add(flows)
	local := netip.MustParseAddr("127.0.0.1")
	p, err := upstream.NewPool(local, echo.LocalAddr().(*net.UDPAddr).AddrPort(), 2, func(f *owner.Flow, datagram []byte) {
		if len(datagram) != 1 || uint64(datagram[0]) != f.OpeningNumber {
			t.Errorf("flow %d got %v", f.OpeningNumber, datagram)
		}
		answered.Done()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for n := range flows {
		go func() {
			link, err := p.Dial(&owner.Flow{OpeningNumber: uint64(n)}, 0)
			if err == nil {
				err = link.Send([]byte{byte(n)})
			}
			if err != nil {
				t.Error(err)
				answered.Done()
			}
		}()
	}
	answered.Wait()
}
