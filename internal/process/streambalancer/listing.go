package streambalancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// localListDelay is how long after its start a balancer reads which targets the store
	// lists in its own failure domain; by then a settled balancer has mostly confirmed it.
	// Those that are not relays wait for nonRelayListDelay in addition, as lists may have
	// megabytes and a settled relay confirms the others.
	localListDelay    = 200 * clock.Millis(1)
	nonRelayListDelay = 5 * clock.Second
	// newListDelay is how much longer a balancer waits that the directory did not list: all
	// others may be new as well, and until they have met each takes itself for a relay.
	newListDelay = 600 * clock.Millis(1)
	// unknownListDelay is how long after that it reads the list of a failure domain of which
	// no balancer answers, and remoteListDelay that of one whose relays have not sent a
	// complete summary: a single relay may do so soloStartDelay after its start. Each read
	// is billed.
	unknownListDelay = 800 * clock.Millis(1)
	remoteListDelay  = soloStartDelay + 400*clock.Millis(1)
	// listCheckInterval is how often to check which lists are missing, and listTimeout bounds
	// a read. The mean delay after a failed read starts at minListRetryDelay and doubles.
	listCheckInterval = 100 * clock.Millis(1)
	listTimeout       = 800 * time.Millisecond
	minListRetryDelay = 300 * clock.Millis(1)
	maxListRetryDelay = clock.Second
)

// listState is what a balancer knows of the targets that the store lists in a failure domain.
type listState int

const (
	// listMissing means that the list was not read yet.
	listMissing listState = iota
	// listPending means that some targets of the list are neither heard nor lost.
	listPending
	// listHeard means that all of them were heard, have left or are lost.
	listHeard
	// listUnreadable means that another version or program has written the list.
	listUnreadable
)

// listing tracks the targets that the store lists in each failure domain.
//
// Agents learn late of balancers that replace all others. Silence therefore does not prove
// that there is no target, and a balancer that took it for proof would reset the flows of a
// target that it has not heard. The checkpoints list all targets.
type listing struct {
	// domains are all failure domains of the deployment.
	domains []string
	states  map[string]listState
	// pending holds the agents of each listPending list that are neither heard nor lost.
	pending map[string][]netip.AddrPort
	// localReadAt is when the list of the local failure domain was read; zero before that.
	localReadAt clock.Millis
}

// newListing returns the listing of a balancer that has read no list.
func newListing(domains []string) *listing {
	return &listing{domains: domains, states: map[string]listState{}, pending: map[string][]netip.AddrPort{}}
}

// update checks which listed targets are still to be heard from.
func (l *listing) update(now clock.Millis, targets *stream.Targets) {
	for domain, agents := range l.pending {
		agents = slices.DeleteFunc(agents, func(a netip.AddrPort) bool {
			t, ok := targets.Find(a)
			return !ok || t.HeardAt != 0 || t.Lost(now)
		})
		l.pending[domain] = agents
		if len(agents) == 0 {
			l.states[domain] = listHeard
			delete(l.pending, domain)
		}
	}
}

// dueLists returns the failure domains whose lists are to be read now.
func (ps *Peers) dueLists(now clock.Millis, complete func(domain string) bool) []string {
	if ps.listing == nil || ps.confirmed {
		return nil
	}
	if ps.listing.localReadAt == 0 {
		delay := localListDelay
		if ps.unlisted {
			delay += newListDelay
		}
		if _, ok := ps.RelayIndex(now); !ok {
			delay += nonRelayListDelay
		}
		if now.Sub(ps.startedAt) < delay {
			return nil
		}
		return []string{ps.self.Domain}
	}
	var due []string
	for _, d := range ps.allDomains() {
		delay := unknownListDelay
		if ps.domainAnswers(now, d) {
			delay = remoteListDelay
		}
		if ps.listing.states[d] == listMissing && !complete(d) && now.Sub(ps.listing.localReadAt) >= delay {
			due = append(due, d)
		}
	}
	return due
}

// domainAnswers reports whether a balancer of a failure domain answers. The directory also
// names those that have left.
func (ps *Peers) domainAnswers(now clock.Millis, domain string) bool {
	return slices.ContainsFunc(ps.Sorted(), func(p *Peer) bool { return p.Domain == domain && p.Live(now) })
}

// recordList records that the list of a failure domain was read, with its state.
func (ps *Peers) recordList(now clock.Millis, domain string, s listState) {
	ps.listing.states[domain] = s
	if domain == ps.self.Domain {
		ps.listing.localReadAt = now
	}
}

// allDomains returns the failure domains of the deployment and those of known balancers,
// the local one first.
func (ps *Peers) allDomains() []string {
	all := []string{ps.self.Domain}
	add := func(domains []string) {
		for _, d := range domains {
			if !slices.Contains(all, d) {
				all = append(all, d)
			}
		}
	}
	add(ps.RemoteDomains())
	if ps.listing != nil {
		add(ps.listing.domains)
	}
	return all
}

// runListing reads the lists of targets that this balancer needs before it may be settled.
func (b *Balancer) runListing(ctx context.Context) {
	retry := minListRetryDelay
	for {
		pause := listCheckInterval
		if !b.readDueLists(ctx) {
			pause = retry/2 + rand.N(retry)
			retry = min(2*retry, maxListRetryDelay)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.Duration()):
		}
	}
}

// readDueLists reads the lists that are due until a read fails, and reports whether none did.
func (b *Balancer) readDueLists(ctx context.Context) bool {
	b.mu.Lock()
	now := b.deps.Clock.Now()
	due := b.peers.dueLists(now, func(domain string) bool { return b.steerer.Targets.Complete(now, domain) })
	b.mu.Unlock()
	for _, domain := range due {
		if !b.readList(ctx, domain) {
			return false
		}
	}
	return true
}

func (b *Balancer) readList(ctx context.Context, domain string) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := b.deps.Checkpoints.List(ctx, domain)
	if err != nil && !errors.Is(err, checkpoint.ErrUnreadable) && !errors.Is(err, checkpoint.ErrFormat) {
		b.reportCheckpointError(err, "listing the targets of a failure domain failed")
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.reportCheckpointError(err, "the list of the targets of a failure domain is unreadable")
		b.peers.recordList(b.deps.Clock.Now(), domain, listUnreadable)
		return true
	}
	b.learnListed(domain, entries)
	return true
}

// learnListed adds the targets of a list, so that they are probed. The caller holds the lock.
//
// The age of an entry does not matter, since the VM's clock may have been set: a target that
// is gone is found lost.
func (b *Balancer) learnListed(domain string, entries []checkpoint.Entry) {
	now := b.deps.Clock.Now()
	var agents []netip.AddrPort
	for i := range entries {
		e := &entries[i]
		b.steerer.Targets.Learn(now, e.Agent, "", domain, e.Service)
		agents = append(agents, e.Agent)
	}
	b.peers.recordList(now, domain, listPending)
	b.peers.listing.pending[domain] = agents
	b.deps.Log.Info().Str("event", "listed").Str("domain", domain).Int("targets", len(agents)).Send()
}
