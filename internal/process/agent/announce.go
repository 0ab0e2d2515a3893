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
	// idleHeartbeat is used until the first configuration arrives.
	idleHeartbeat = 200 * clock.Millis(1)
	// maxPause bounds the pause between tries to find a first balancer.
	maxPause = 2 * time.Second
)

// learn asks balancers until one knows the service, then takes a number for
// this incarnation.
func (a *Agent) learn(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = leastEvery.Duration()
	pause.MaxInterval = maxPause
	for {
		known := a.announce(ctx)
		if a.configured() {
			a.mu.Lock()
			a.familiar = known > 0
			a.mu.Unlock()
			return a.incarnate(ctx, known)
		}
		if !sleep(ctx, clock.FromDuration(pause.NextBackOff())) {
			return context.Cause(ctx)
		}
	}
}

func (a *Agent) configured() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.Number != 0 && !a.barred
}

// announce tells the contacts at once, and waits for them. It returns the
// highest incarnation of this target that any of them knows.
//
// What the first contact that answered says of the service is taken; the
// others' answers are looked at for a successor and a suspicion only. Contacts
// hear news at different times, and taking all their answers would let the
// slowest one bring old news back.
func (a *Agent) announce(ctx context.Context) uint32 {
	request, contacts := a.announcement()
	replies := make([]*wire.Announced, len(contacts))
	sent := a.deps.Clock.Now()
	var all sync.WaitGroup
	for i, c := range contacts {
		all.Go(func() { replies[i] = a.announceTo(ctx, c, request) })
	}
	all.Wait()
	var known uint32
	heard := false
	for _, r := range replies {
		if r == nil {
			continue
		}
		known = max(known, r.Incarnation)
		if err := a.takeReply(r, !heard); err != nil {
			a.supersede(err)
			return known
		}
		heard = true
	}
	if heard {
		a.confirm(sent)
		return known
	}
	a.count.unheard.Inc(1)
	a.lookAround(ctx)
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

// announcement prepares a heartbeat and says whom it goes to.
func (a *Agent) announcement() (*wire.Announce, []netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &wire.Announce{Member: a.self.Wire(), Version: a.version, View: a.viewHash}
	if a.table != nil && a.pool != nil {
		own := a.own()
		r.Flows, r.Busy, r.Slots = uint32(own.Flows), own.Busy, own.Slots
	}
	if n := len(a.contacts); n > 0 {
		first := a.beats.first % n
		return r, slices.Concat(a.contacts[first:], a.contacts[:first])
	}
	return r, slices.Clone(a.settings.Balancers)
}

// lookAround finds balancers anew when no contact answers: all of them may
// have been replaced. The next heartbeat tries what is found here.
func (a *Agent) lookAround(ctx context.Context) {
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
	a.contacts = found[:min(len(found), maxTried)]
	a.viewHash = 0
}

// maxTried is how many balancers are tried at once by an agent that lost all
// its contacts, so that a restart of a whole domain does not flood the rest.
const maxTried = 4

func (a *Agent) supersede(err error) {
	if !errors.Is(err, ErrSuperseded) {
		return
	}
	a.accepting.Store(false)
	// The lease is over now, not when it lapses.
	a.confirmed.Store(0)
	select {
	case a.fatal <- err:
	default:
	}
}

func shuffle(a []netip.AddrPort) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}
