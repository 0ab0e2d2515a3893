package balancer

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const (
	// relayCheckInterval is how often a balancer checks whether it is its turn to watch.
	relayCheckInterval = 100 * clock.Millis(1)
	// pingInterval is the time between pings of the platform beside a watch. Together with
	// the timeout of a ping and the delay until another balancer takes over it stays below
	// the time within which a version must be in force.
	pingInterval = clock.Second
	// watchInterval is how long a watch lasts until the next one continues it: a connection
	// may go silent for good, and would not report a change.
	watchInterval = 2 * clock.Second
	// lostHistoryPause is the pause before the configuration is loaded again because the
	// platform's history does not reach back to the last load.
	lostHistoryPause = 500 * clock.Millis(1)
	// pingObject is the name of an object that does not exist.
	pingObject = "ping"
)

var (
	// errRootChanged ends a watch so that the new root is loaded in full.
	errRootChanged = errs.New("balancer: the root has changed")
	// errNotRelay ends a watch that is left to balancers of higher rank.
	errNotRelay = errs.New("balancer: others watch the platform")
)

// RosterEntry is a balancer's entry in the platform's store. It serves only the
// discovery of a first peer.
type RosterEntry struct {
	Control netip.AddrPort `json:"control"`
	Domain  string         `json:"domain"`
}

// runRelay watches the platform while it is this balancer's turn.
func (b *Balancer) runRelay(ctx context.Context) {
	for ctx.Err() == nil {
		if !b.relayWanted() {
			select {
			case <-ctx.Done():
			case <-after(relayCheckInterval):
			}
			continue
		}
		err := b.watchPlatform(ctx)
		b.setWatching(false)
		if ctx.Err() == nil {
			b.recordWatchEnd(err)
		}
	}
}

// relayWanted reports whether it is this balancer's turn to watch the platform.
func (b *Balancer) relayWanted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.relayStale {
		b.relay.SetBalancers(b.table.Balancers(), &b.self)
		b.relayStale = false
	}
	return b.self.State == member.Alive && b.relay.Wanted(b.deps.Clock.Now(), b.self.Watching)
}

// recordWatchEnd records why a watch has ended; err is nil if others watch.
func (b *Balancer) recordWatchEnd(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.relay.Answered()
		return
	}
	b.relay.Failed(b.deps.Clock.Now(), random())
	b.deps.Log.Warn().Str("event", "platform").Err(err).Msg("the platform does not answer the watch")
}

// IsRelay reports whether this balancer watches the platform and is answered.
func (b *Balancer) IsRelay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.self.Watching
}

// setWatching announces whether the platform answers this balancer's watch.
func (b *Balancer) setWatching(on bool) {
	b.mu.Lock()
	if b.self.Watching == on {
		b.mu.Unlock()
		return
	}
	b.self.Watching = on
	b.self.Sequence++
	b.table.Merge(b.deps.Clock.Now(), b.self)
	self := b.self
	b.mu.Unlock()
	b.deps.Log.Info().Str("event", "watch").Bool("watching", on).Send()
	b.queueUpdate(update{members: []member.Member{self}})
}

// watchPlatform watches the platform until it no longer answers, which is returned as an
// error, or until it is not this balancer's turn any more. While the platform is
// unavailable, the configuration in force stays in force.
//
// A ping goes first: while the platform is unavailable many balancers try, and a ping is
// short.
func (b *Balancer) watchPlatform(ctx context.Context) error {
	b.mu.Lock()
	timeout := b.relay.PingTimeout()
	b.mu.Unlock()
	if err := b.ping(ctx, timeout); err != nil {
		return err
	}
	version, err := b.loadConfiguration(ctx)
	if err != nil {
		return err
	}
	b.setWatching(true)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	b.run(ctx, func(ctx context.Context) { cancel(b.superviseWatch(ctx, timeout)) })
	for {
		err := b.watchOnce(ctx, version)
		switch {
		case ctx.Err() != nil:
			return watchEnd(ctx)
		case err == nil:
			continue
		case errors.Is(err, platform.ErrGone):
			<-after(lostHistoryPause)
		case !errors.Is(err, errRootChanged):
			return err
		}
		if version, err = b.loadConfiguration(ctx); err != nil {
			return err
		}
	}
}

// watchEnd returns why a watch was ended, or nil if it was this balancer's turn no more.
func watchEnd(ctx context.Context) error {
	if cause := context.Cause(ctx); !errors.Is(cause, errNotRelay) && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// watchOnce waits for watchInterval for a change of the root after a version. It returns
// errRootChanged after a change, and nil if there was none.
func (b *Balancer) watchOnce(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, watchInterval.Duration())
	defer cancel()
	err := b.deps.Store.Watch(ctx, platform.Configurations, version, func(platform.Event) error {
		return errRootChanged
	})
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && !errors.Is(err, errRootChanged) {
		return nil
	}
	return err
}

// superviseWatch pings the platform regularly, as a pending watch proves nothing, and
// returns why the watch must end.
func (b *Balancer) superviseWatch(ctx context.Context, timeout clock.Millis) error {
	pingAt := b.deps.Clock.Now() + pingInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-after(relayCheckInterval):
		}
		if !b.relayWanted() {
			return errNotRelay
		}
		if b.deps.Clock.Now() < pingAt {
			continue
		}
		if err := b.ping(ctx, timeout); err != nil {
			return err
		}
		pingAt = b.deps.Clock.Now() + pingInterval
	}
}

// ping reads an object that does not exist. An error means that the platform has not
// answered.
func (b *Balancer) ping(ctx context.Context, timeout clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	_, err := b.deps.Store.Get(ctx, platform.Configurations, pingObject)
	if errors.Is(err, platform.ErrUnavailable) {
		return err
	}
	return nil
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
