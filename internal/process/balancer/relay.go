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

// errRootChanged ends a watch so that the new root is loaded in full.
var errRootChanged = errs.New("balancer: the root has changed")

// RosterEntry is a balancer's entry in the platform's store. It serves only the
// discovery of a first peer.
type RosterEntry struct {
	Control netip.AddrPort `json:"control"`
	Domain  string         `json:"domain"`
}

// updateRelay starts the watch of the platform when this balancer becomes one of
// the first live ones of its domain, and ends it when it no longer is.
func (b *Balancer) updateRelay(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := b.self.State == member.Alive && member.IsRelay(b.table.Balancers(), &b.self)
	if wanted == (b.cancelWatch != nil) {
		return
	}
	if !wanted {
		b.cancelWatch()
		b.cancelWatch = nil
		return
	}
	ctx, b.cancelWatch = context.WithCancel(ctx)
	b.run(ctx, b.watchRoot)
}

// IsRelay reports whether this balancer currently watches the platform.
func (b *Balancer) IsRelay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cancelWatch != nil
}

// watchRoot loads the root and waits for its next change, in a loop. While the
// platform is unavailable, the configuration in force stays in force.
func (b *Balancer) watchRoot(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = (5 * clock.Second).Duration()
	for ctx.Err() == nil {
		err := b.watchOnce(ctx)
		if errors.Is(err, errRootChanged) || errors.Is(err, platform.ErrGone) {
			retry.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-after(clock.FromDuration(retry.NextBackOff())):
		}
	}
}

func (b *Balancer) watchOnce(ctx context.Context) error {
	version, err := b.loadConfiguration(ctx)
	if err != nil {
		return err
	}
	return b.deps.Store.Watch(ctx, platform.Configurations, version, func(platform.Event) error {
		return errRootChanged
	})
}

// loadConfiguration loads the platform's configuration and applies it if it is later.
func (b *Balancer) loadConfiguration(ctx context.Context) (uint64, error) {
	b.mu.Lock()
	known := b.replica.State()
	b.mu.Unlock()
	state, version, err := approval.LoadKnown(ctx, b.deps.Store, known)
	if err != nil {
		return 0, err
	}
	b.applyState(state)
	return version, nil
}

// loadFromPlatform is the fallback of a process that no peer answers.
func (b *Balancer) loadFromPlatform(ctx context.Context) {
	if _, err := b.loadConfiguration(ctx); err != nil {
		b.deps.Log.Warn().Str("event", "platform").Err(err).Msg("no configuration from peers or platform yet")
	}
}

// syncRoster lists the other balancers in the platform's store and writes the entry
// of this one.
func (b *Balancer) syncRoster(ctx context.Context) []netip.AddrPort {
	list, err := b.deps.Store.List(ctx, platform.Processes)
	if err != nil {
		return nil
	}
	var peers []netip.AddrPort
	var own *platform.Object
	for _, o := range list.Items {
		var r RosterEntry
		if json.Unmarshal(o.Spec, &r) != nil {
			continue
		}
		if o.Metadata.Name == b.settings.Name {
			own = &o
			continue
		}
		peers = append(peers, r.Control)
	}
	b.writeRosterEntry(ctx, own)
	return peers
}

func (b *Balancer) writeRosterEntry(ctx context.Context, own *platform.Object) {
	entry := RosterEntry{Control: b.self.Control, Domain: b.settings.Domain}
	var err error
	if own == nil {
		_, err = b.deps.Store.Create(ctx, platform.Processes, b.settings.Name, entry)
	} else {
		own.Spec, _ = json.Marshal(entry)
		_, err = b.deps.Store.Update(ctx, platform.Processes, *own)
	}
	if err != nil {
		// Peers also propagate this balancer; the roster serves discovery only.
		b.deps.Log.Debug().Str("event", "roster").Err(err).Msg("roster entry not written")
	}
}

// removeRosterEntry deletes this balancer's entry.
func (b *Balancer) removeRosterEntry(ctx context.Context) {
	o, err := b.deps.Store.Get(ctx, platform.Processes, b.settings.Name)
	if err != nil {
		return
	}
	_ = b.deps.Store.Delete(ctx, platform.Processes, o)
}
