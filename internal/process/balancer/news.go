package balancer

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxQueuedUpdates bounds the updates that are queued to be pushed. Those
	// beyond it are dropped and counted; a later sync delivers them.
	maxQueuedUpdates = 256
	// maxBatchedUpdates bounds the updates that are pushed in one batch.
	maxBatchedUpdates = 64
	// batchDelay is how long updates of members wait to be batched with others.
	batchDelay = 50 * clock.Millis(1)
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// localNeighbours and remoteNeighbours are how many balancers of its own
	// failure domain and of others a balancer exchanges updates with. They
	// stay the same while the members do, so their connections are reused:
	// a handshake with a random peer every second would alone exceed the
	// budget of control traffic.
	localNeighbours  = 4
	remoteNeighbours = 2
)

// update is a change that is pushed to the neighbours.
type update struct {
	delta   *config.Delta
	members []member.Member
}

// queueUpdate queues an update for the neighbours.
func (b *Balancer) queueUpdate(u update) {
	select {
	case b.updates <- u:
	default:
		b.count.newsLost.Inc(1)
	}
}

func (b *Balancer) servePushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-b.updates:
			if u.delta == nil {
				// After a failure domain has restarted, hundreds of
				// records change at once. A short delay batches many of
				// them into one push; a configuration is not delayed.
				<-after(batchDelay)
			}
			b.push(ctx, b.nextBatch(u))
		}
	}
}

// nextBatch drains the queue into one batch. Members of several updates are
// merged; each delta stays separate, since deltas are applied one after the other.
func (b *Balancer) nextBatch(first update) []update {
	all := []update{first}
	for len(all) < maxBatchedUpdates {
		select {
		case u := <-b.updates:
			last := &all[len(all)-1]
			if u.delta == nil {
				last.members = append(last.members, u.members...)
				continue
			}
			all = append(all, u)
		default:
			return all
		}
	}
	return all
}

// push sends updates to all neighbours in parallel and waits for them, so a slow
// one delays the next push by no more than the timeout of a call.
func (b *Balancer) push(ctx context.Context, all []update) {
	var requests []*wire.Push
	for _, u := range all {
		requests = append(requests, u.message(b.settings.Name))
	}
	done := make(chan struct{})
	neighbours := b.neighbours()
	for _, p := range neighbours {
		go func() {
			defer func() { done <- struct{}{} }()
			for _, r := range requests {
				if b.call(ctx, p.Control, control.Push, r, &wire.Empty{}) != nil {
					return
				}
				b.count.pushed.Inc(1)
			}
		}()
	}
	for range neighbours {
		<-done
	}
}

func (u *update) message(from string) *wire.Push {
	r := &wire.Push{From: from}
	if u.delta != nil {
		r.Delta, _ = json.Marshal(u.delta)
	}
	for i := range u.members {
		r.Members = append(r.Members, u.members[i].Wire())
	}
	return r
}

func (b *Balancer) call(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.client.Call(ctx, to, m, request, reply)
}

// neighbours returns the balancers that this one exchanges updates with: by rank
// some of its own domain and of others, and the next one by name in its
// domain, so that every balancer is the neighbour of at least one other.
func (b *Balancer) neighbours() []member.Observed {
	b.mu.Lock()
	others := slices.DeleteFunc(b.table.Balancers(), func(m member.Observed) bool {
		return m.Name == b.settings.Name || !m.Live()
	})
	b.mu.Unlock()
	return selectNeighbours(others, b.settings.Domain, b.settings.Name)
}

func selectNeighbours(others []member.Observed, domain, name string) []member.Observed {
	var localPeers, remotePeers []member.Observed
	for _, m := range member.Ranked(others, name) {
		if m.Domain == domain && len(localPeers) < localNeighbours {
			localPeers = append(localPeers, m)
		}
		if m.Domain != domain && len(remotePeers) < remoteNeighbours {
			remotePeers = append(remotePeers, m)
		}
	}
	if next, ok := nextByName(others, domain, name); ok && !slices.ContainsFunc(localPeers, sameKey(next)) {
		localPeers = append(localPeers, next)
	}
	return append(localPeers, remotePeers...)
}

func sameKey(m member.Observed) func(member.Observed) bool {
	return func(o member.Observed) bool { return o.Key == m.Key }
}

// nextByName returns the next balancer by name in a domain, wrapping around at the
// end.
func nextByName(others []member.Observed, domain, name string) (member.Observed, bool) {
	var first, next *member.Observed
	for i := range others {
		m := &others[i]
		if m.Domain != domain {
			continue
		}
		if first == nil {
			first = m
		}
		if next == nil && strings.Compare(m.Name, name) > 0 {
			next = m
		}
	}
	if next == nil {
		next = first
	}
	if next == nil {
		return member.Observed{}, false
	}
	return *next, true
}

func after(d clock.Millis) <-chan time.Time {
	return time.After(d.Duration())
}
