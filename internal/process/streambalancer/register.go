package streambalancer

import (
	"context"
	"maps"
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
	// maxRecheckDelay bounds the random delay before the entry is checked again: after a
	// partition all balancers check theirs.
	maxRecheckDelay = 10 * time.Second
	// minFindPeersDelay and maxFindPeersDelay bound the delays, which double, after which a
	// balancer without peers reads a current list of them. A single balancer reads three.
	minFindPeersDelay = time.Second
	maxFindPeersDelay = 4 * time.Second
	// otherDomainsDelay is the minimum delay after which a balancer that cannot be a relay reads
	// the entries of failure domains of which it knows no balancer. By then the relays have
	// mostly named some.
	otherDomainsDelay = 500 * time.Millisecond
)

// runRegistration joins the balancers listed in the directory, and writes this balancer's
// entry unless it is listed: at the start, and after balancers that were removed as silent
// are heard again, as these may have removed this one from the directory.
//
// Most starts are restarts, and a list costs the platform less than a write. The list that is
// read at the start may be some seconds old: an entry that was removed meanwhile is missed.
// Other balancers still name this one to others.
func (b *Balancer) runRegistration(ctx context.Context) {
	b.register(ctx, b.deps.Directory.Entries)
	b.meetOtherDomains(ctx)
	if b.alone() && b.knowsOthers() {
		b.findPeers(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.registerAgain:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(maxRecheckDelay)):
		}
		b.register(ctx, b.deps.Directory.CurrentEntries)
		b.retryCall(ctx, func() bool { return b.readEntries(ctx, b.otherDomains(), b.deps.Directory.CurrentEntries) })
	}
}

// entryLister lists the entries of a failure domain.
type entryLister func(ctx context.Context, domain string) ([]directory.Entry, error)

// register tries to register until the platform answers.
func (b *Balancer) register(ctx context.Context, list entryLister) {
	b.retryCall(ctx, func() bool { return b.tryRegister(ctx, list) })
}

// meetOtherDomains reads the entries of the other failure domains: at once if this balancer
// may be a relay, which exchanges summaries with them, else after a while and of those that
// are still unknown.
func (b *Balancer) meetOtherDomains(ctx context.Context) {
	domains := b.otherDomains
	if !b.mayBeRelay() {
		domains = b.unknownDomains
		select {
		case <-ctx.Done():
			return
		case <-time.After(otherDomainsDelay + rand.N(otherDomainsDelay/2)):
		}
	}
	b.retryCall(ctx, func() bool { return b.readEntries(ctx, domains(), b.deps.Directory.Entries) })
}

// mayBeRelay reports whether this balancer's rank among those that the directory lists in its
// failure domain is that of a relay. If the directory did not list this one, others may be
// missing as well.
func (b *Balancer) mayBeRelay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.peers.unlisted && b.peers.rank() < relaysPerDomain
}

// otherDomains returns the other failure domains of the deployment.
func (b *Balancer) otherDomains() []string {
	all := slices.Sorted(maps.Keys(b.settings.Regions))
	return slices.DeleteFunc(all, func(d string) bool { return d == b.settings.Domain })
}

// unknownDomains returns those of the other failure domains of which no balancer is known.
func (b *Balancer) unknownDomains() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.peers.RemoteDomains()
	return slices.DeleteFunc(b.otherDomains(), func(d string) bool { return slices.Contains(known, d) })
}

// readEntries adds the balancers of failure domains to the peers, and reports whether the
// platform answered.
func (b *Balancer) readEntries(ctx context.Context, domains []string, list entryLister) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	for _, d := range domains {
		entries, err := list(ctx, d)
		if err != nil {
			b.deps.Log.Warn().Str("event", "nodirectory").Str("domain", d).Err(err).Msg("reading the directory failed")
			return false
		}
		b.learnEntries(entries)
	}
	return true
}

// retryCall calls the platform until it answers.
func (b *Balancer) retryCall(ctx context.Context, call func() (answered bool)) {
	pause := minRegisterDelay
	for !call() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxRegisterDelay)
	}
}

// checkRegistration makes the registration check this balancer's entry. The caller holds the
// lock.
func (b *Balancer) checkRegistration() {
	select {
	case b.registerAgain <- struct{}{}:
	default:
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
	return !b.peers.anyLive(b.deps.Clock.Now())
}

func (b *Balancer) readCurrentEntries(ctx context.Context) {
	domains := append([]string{b.settings.Domain}, b.otherDomains()...)
	b.readEntries(ctx, domains, b.deps.Directory.CurrentEntries)
}

func (b *Balancer) tryRegister(ctx context.Context, list entryLister) bool {
	entry := directory.Entry{
		Name: b.settings.Name, Address: b.settings.Parcels, Domain: b.settings.Domain, CPUShare: b.settings.CPUShare,
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	entries, err := list(ctx, b.settings.Domain)
	if err != nil {
		b.deps.Log.Warn().Str("event", "nodirectory").Err(err).Msg("reading the directory failed")
		return false
	}
	b.learnEntries(entries)
	if !slices.Contains(entries, entry) {
		b.setUnlisted()
		if err := b.deps.Directory.Register(ctx, entry); err != nil {
			b.deps.Log.Warn().Str("event", "unregistered").Err(err).Msg("registering in the directory failed")
			return false
		}
	}
	b.setRegistered()
	b.deps.Log.Info().Str("event", "registered").Int("entries", len(entries)).Send()
	return true
}

// setUnlisted records that the directory does not list this balancer.
func (b *Balancer) setUnlisted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.unlisted = true
}

// setRegistered records that the directory lists this balancer. The time is that of the first
// proof: the reply to a write may have been lost, and an entry that is removed later and
// written again changes nothing, since agents know a balancer that has run.
func (b *Balancer) setRegistered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers.registeredAt == 0 {
		b.peers.registeredAt = b.deps.Clock.Now()
	}
}

// learnEntries adds the balancers of the directory to the peers.
func (b *Balancer) learnEntries(entries []directory.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range entries {
		b.peers.Learn(b.deps.Clock.Now(), e.Address, Peer{Name: e.Name, Domain: e.Domain, CPUShare: e.CPUShare})
	}
}
