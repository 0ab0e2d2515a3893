package streambalancer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/process/directory"
)

const (
	// minRegisterDelay and maxRegisterDelay bound the exponential backoff after a failed
	// registration. Without the directory a balancer knows only its seeds.
	minRegisterDelay = 200 * time.Millisecond
	maxRegisterDelay = 2 * time.Second
	// minFindPeersDelay and maxFindPeersDelay bound the delays, which double, after which a
	// balancer without peers reads a current list of them. A single balancer reads three.
	minFindPeersDelay = time.Second
	maxFindPeersDelay = 4 * time.Second
)

// register joins the balancers listed in the directory, and writes this balancer's entry
// unless it is listed. Most starts are restarts, and a list costs the platform less than a
// write. The list may be some seconds old: an entry that was removed meanwhile, after a
// minute of silence, is missed until the next start. Other balancers still name this one to
// others.
func (b *Balancer) register(ctx context.Context) {
	entry := directory.Entry{
		Name: b.settings.Name, Address: b.settings.Parcels, Domain: b.settings.Domain, CPUShare: b.settings.CPUShare,
	}
	pause := minRegisterDelay
	for !b.tryRegister(ctx, entry) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxRegisterDelay)
	}
	if b.alone() && b.knowsOthers() {
		b.findPeers(ctx)
	}
}

// knowsOthers reports whether the directory or the settings have named other balancers.
func (b *Balancer) knowsOthers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers.Sorted()) > 0
}

// findPeers reads current lists while no other balancer answers: a list that is some seconds
// old names only those that have left if all were replaced at once.
func (b *Balancer) findPeers(ctx context.Context) {
	for pause := minFindPeersDelay; pause <= maxFindPeersDelay; pause *= 2 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if !b.alone() {
			return
		}
		b.readCurrentEntries(ctx)
	}
}

// alone reports whether no other balancer answers.
func (b *Balancer) alone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	return !slices.ContainsFunc(b.peers.Sorted(), func(p *Peer) bool { return p.Live(now) })
}

func (b *Balancer) readCurrentEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := b.deps.Directory.CurrentEntries(ctx)
	if err != nil {
		b.deps.Log.Warn().Str("event", "nodirectory").Err(err).Msg("reading the directory failed")
		return
	}
	b.learnEntries(entries)
}

func (b *Balancer) tryRegister(ctx context.Context, entry directory.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	entries, err := b.deps.Directory.Entries(ctx)
	if err != nil {
		b.deps.Log.Warn().Str("event", "nodirectory").Err(err).Msg("reading the directory failed")
		return false
	}
	b.learnEntries(entries)
	if !slices.Contains(entries, entry) {
		if err := b.deps.Directory.Register(ctx, entry); err != nil {
			b.deps.Log.Warn().Str("event", "unregistered").Err(err).Msg("registering in the directory failed")
			return false
		}
	}
	b.deps.Log.Info().Str("event", "registered").Int("entries", len(entries)).Send()
	return true
}

// learnEntries adds the balancers of the directory to the peers.
func (b *Balancer) learnEntries(entries []directory.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range entries {
		b.peers.Learn(b.deps.Clock.Now(), e.Address, Peer{Name: e.Name, Domain: e.Domain, CPUShare: e.CPUShare})
	}
}
