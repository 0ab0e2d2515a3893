package balancer

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// errChanged ends a watch so that the new root is read whole.
var errChanged = errs.New("balancer: the root has changed")

// Rostered is a balancer's entry in the platform, for first contact only.
type Rostered struct {
	Control netip.AddrPort `json:"control"`
	Domain  string         `json:"domain"`
}

// relay watches the platform while this balancer is one of the first live
// ones of its domain, and no longer.
func (b *Balancer) relay(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := b.self.State == member.Alive && member.Relays(b.table.Balancers(), &b.self)
	if wanted == (b.watch != nil) {
		return
	}
	if !wanted {
		b.watch()
		b.watch = nil
		return
	}
	ctx, b.watch = context.WithCancel(ctx)
	b.run(ctx, b.watchRoot)
}

// Relays reports whether this balancer watches the platform now.
func (b *Balancer) Relays() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.watch != nil
}

// watchRoot reads the root and waits for its next change, again and again.
// While the platform is down, what is in force stays in force.
func (b *Balancer) watchRoot(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = (5 * clock.Second).Duration()
	for ctx.Err() == nil {
		err := b.watchOnce(ctx)
		if errors.Is(err, errChanged) || errors.Is(err, platform.ErrGone) {
			pause.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-after(clock.FromDuration(pause.NextBackOff())):
		}
	}
}

func (b *Balancer) watchOnce(ctx context.Context) error {
	version, err := b.load(ctx)
	if err != nil {
		return err
	}
	return b.deps.Store.Watch(ctx, platform.Configurations, version, func(platform.Event) error {
		return errChanged
	})
}

// load reads the platform's configuration and takes it if it is later.
func (b *Balancer) load(ctx context.Context) (uint64, error) {
	b.mu.Lock()
	known := b.book.State()
	b.mu.Unlock()
	state, version, err := approval.LoadKnown(ctx, b.deps.Store, known)
	if err != nil {
		return 0, err
	}
	b.takeState(state)
	return version, nil
}

// readPlatform is the last resort of a process that no peer answers.
func (b *Balancer) readPlatform(ctx context.Context) {
	if _, err := b.load(ctx); err != nil {
		b.deps.Log.Warn().Str("event", "platform").Err(err).Msg("no configuration from peers or platform yet")
	}
}

// roster reads the other balancers from the platform and puts this one there.
func (b *Balancer) roster(ctx context.Context) []netip.AddrPort {
	list, err := b.deps.Store.List(ctx, platform.Processes)
	if err != nil {
		return nil
	}
	var peers []netip.AddrPort
	var mine *platform.Object
	for _, o := range list.Items {
		var r Rostered
		if json.Unmarshal(o.Spec, &r) != nil {
			continue
		}
		if o.Metadata.Name == b.settings.Name {
			mine = &o
			continue
		}
		peers = append(peers, r.Control)
	}
	b.enroll(ctx, mine)
	return peers
}

func (b *Balancer) enroll(ctx context.Context, mine *platform.Object) {
	entry := Rostered{Control: b.self.Control, Domain: b.settings.Domain}
	var err error
	if mine == nil {
		_, err = b.deps.Store.Create(ctx, platform.Processes, b.settings.Name, entry)
	} else {
		mine.Spec, _ = json.Marshal(entry)
		_, err = b.deps.Store.Update(ctx, platform.Processes, *mine)
	}
	if err != nil {
		// Peers name this balancer too; the roster is for first contact.
		b.deps.Log.Debug().Str("event", "roster").Err(err).Msg("roster entry not written")
	}
}

// forgetRoster takes this balancer out of the roster.
func (b *Balancer) forgetRoster(ctx context.Context) {
	o, err := b.deps.Store.Get(ctx, platform.Processes, b.settings.Name)
	if err != nil {
		return
	}
	_ = b.deps.Store.Delete(ctx, platform.Processes, o)
}
