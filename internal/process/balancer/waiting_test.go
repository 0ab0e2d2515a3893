package balancer

import (
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A target is restarted. What a caller sends after the old process has closed its tunnel and
// before the new one is known must reach the new one, and not wait for the caller's next copy.
func TestDatagramsReachRestartedTarget(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	b := newTestBalancer(t, c)
	closed, _ := countingSink(t)
	configure(t, b, anyPort, closed)
	if err := b.openTunnels(); err != nil {
		t.Fatal(err)
	}
	b.run(t.Context(), b.serveWaiting)
	leaving := webTarget(closed)
	leaving.State, leaving.Sequence = member.Leaving, 2
	b.mergeMembers([]*wire.Member{leaving.Wire()})
	const sent = 3
	for range sent {
		b.forward(newWorkerBuffers(), 1, anyPort, []byte{0x40, 1, 2, 3})
	}
	c.Advance(clock.Second)
	tunnel, received := countingSink(t)
	successor := webTarget(tunnel)
	successor.Incarnation = 2
	b.mergeMembers([]*wire.Member{successor.Wire()})
	for range 100 {
		if received.Load() == sent {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := received.Load(); n != sent {
		t.Errorf("the new process received %d of %d datagrams", n, sent)
	}
}
