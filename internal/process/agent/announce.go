package agent

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	callTimeout = time.Second
	// initialHeartbeat is the heartbeat interval until the first configuration
	// arrives.
	initialHeartbeat = 200 * clock.Millis(1)
	// maxRetryDelay bounds the delay between attempts to reach a first balancer.
	maxRetryDelay = 2 * time.Second
)

// bootstrap asks balancers until one has the service's configuration, then
// acquires this process's incarnation.
func (a *Agent) bootstrap(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minInterval.Duration()
	retry.MaxInterval = maxRetryDelay
	for {
		known := a.announce(ctx)
		if a.configured() {
			a.mu.Lock()
			a.predecessorKnown = known > 0
			a.mu.Unlock()
			return a.acquireIncarnation(ctx, known)
		}
		if !sleep(ctx, clock.FromDuration(retry.NextBackOff())) {
			return context.Cause(ctx)
		}
	}
}

func (a *Agent) configured() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.service.Number != 0 && !a.barred
}

// announce sends an announcement to all contacts concurrently and waits for
// their replies. It returns the highest incarnation of this target that any of
// them knows.
//
// Only the first reply, in the order of the contacts, is applied in full; the
// others are checked for a successor and a suspicion only. Updates reach
// contacts at different times, and applying all replies would let the contact
// that is furthest behind restore old state.
func (a *Agent) announce(ctx context.Context) uint32 {
	request, contacts := a.newAnnouncement()
	replies := make([]*wire.Announced, len(contacts))
	sent := a.deps.Clock.Now()
	var calls sync.WaitGroup
	for i, c := range contacts {
		calls.Go(func() { replies[i] = a.announceTo(ctx, c, request) })
	}
	calls.Wait()
	var known uint32
	answered := false
	for _, r := range replies {
		if r == nil {
			continue
		}
		known = max(known, r.Incarnation)
		if err := a.applyReply(r, !answered); err != nil {
			a.supersede(err)
			return known
		}
		answered = true
	}
	if answered {
		a.renewLease(sent)
		return known
	}
	a.count.unheard.Inc(1)
	a.rediscover(ctx)
	return known
}

func (a *Agent) announceTo(ctx context.Context, to netip.AddrPort, r *wire.Announce) *wire.Announced {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply wire.Announced
	if err := a.client.Call(ctx, to, control.Announce, r, &reply); err != nil {
		return nil
	}
	a.count.announced.Inc(1)
	return &reply
}

// newAnnouncement returns an announcement and the balancers to send it to.
func (a *Agent) newAnnouncement() (*wire.Announce, []netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &wire.Announce{Member: a.self.Wire(), Version: a.version, View: a.viewHash}
	if a.table != nil && a.pool != nil {
		local := a.localState()
		r.Flows, r.Busy, r.Slots = uint32(local.Flows), local.Busy, local.Slots
	}
	if n := len(a.contacts); n > 0 {
		first := a.heartbeats.primary % n
		return r, slices.Concat(a.contacts[first:], a.contacts[:first])
	}
	return r, slices.Clone(a.settings.Balancers)
}

// rediscover replaces the contacts when none of them answers, since all of them
// may have been replaced. The next announcement goes to the new contacts.
func (a *Agent) rediscover(ctx context.Context) {
	found := slices.Clone(a.settings.Balancers)
	if list, err := a.deps.Store.List(ctx, platform.Processes); err == nil {
		for _, o := range list.Items {
			var r struct {
				Control netip.AddrPort `json:"control"`
			}
			if json.Unmarshal(o.Spec, &r) == nil && r.Control.IsValid() {
				found = append(found, r.Control)
			}
		}
	}
	shuffle(found)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contacts = found[:min(len(found), maxRediscovered)]
	a.viewHash = 0
}

// maxRediscovered bounds the balancers that an agent without contacts calls at
// once, so that the restart of a whole failure domain does not flood the others.
const maxRediscovered = 4

// supersede ends the lease and reports err on Fatal if it is ErrSuperseded.
func (a *Agent) supersede(err error) {
	if !errors.Is(err, ErrSuperseded) {
		return
	}
	a.accepting.Store(false)
	// The lease ends now rather than when it expires.
	a.leaseStart.Store(0)
	select {
	case a.fatal <- err:
	default:
	}
}

func shuffle(a []netip.AddrPort) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}
