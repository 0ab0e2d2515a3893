package streambalancer

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// patientSource holds each wait for a while and counts those that were cancelled.
type patientSource struct {
	unreadableSource
	waits, cancelled int
}

func (s *patientSource) Wait(ctx context.Context, revision uint64, _ time.Duration, _ func()) (Change, error) {
	s.waits++
	select {
	case <-ctx.Done():
		s.cancelled++
	case <-time.After(100 * time.Millisecond):
	}
	return Change{Revision: revision}, nil
}

// A peer announces a version that this balancer has meanwhile; its next wait for the store is
// cancelled, and begun again.
func TestOldNewsCancelNoWait(t *testing.T) {
	source := &patientSource{}
	b := newBalancer(Settings{Name: "b", Domain: "d", Parcels: peerAddress(0)}, Deps{
		Codec: fakeCodec{}, Source: source, Clock: clock.System(), Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, 1)
	b.parcelSender, b.callerWriter = discardSender{t}, discardSender{t}
	table := &routing.Table{Version: 3}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	b.steerer.SetTable(b.deps.Clock.Now(), table)
	b.setWatching(true)
	b.wakeConfig()
	if _, ok := b.syncConfigOnce(t.Context()); !ok || source.waits != 1 || source.cancelled != 0 {
		t.Errorf("%d waits, %d of them cancelled", source.waits, source.cancelled)
	}
	time.AfterFunc(20*time.Millisecond, b.wakeConfig)
	if _, ok := b.syncConfigOnce(t.Context()); !ok || source.cancelled != 1 {
		t.Errorf("news during a wait have cancelled %d waits", source.cancelled)
	}
}

// The process stops while the platform is pinged; it must not wait for the answer.
func TestPingEndsAtStop(t *testing.T) {
	b := newBalancer(Settings{Name: "b", Domain: "d", Parcels: peerAddress(0)}, Deps{
		Codec: fakeCodec{}, Source: unreadableSource{}, Clock: clock.System(), Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, 1)
	b.background.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	started := time.Now()
	if err := b.ping(ctx, 3*time.Second); platformAnswered(err) || time.Since(started) > time.Second {
		t.Errorf("%v after %v", err, time.Since(started))
	}
}
