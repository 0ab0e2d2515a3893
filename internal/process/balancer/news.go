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
	// newsQueue bounds the news that wait to be pushed. Beyond it news are
	// dropped and counted; the digest exchange brings them later.
	newsQueue = 256
	// newsBatch is how many waiting news go out in one push.
	newsBatch = 64
	// gather is how long news of members wait for more of them.
	gather = 50 * clock.Millis(1)
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// neighboursNear and neighboursFar are how many balancers of its own
	// failure domain and of others a balancer exchanges news with. They
	// stay the same while the members do, so their connections are kept:
	// a handshake with a random peer every second would alone be more than
	// the budget of control traffic.
	neighboursNear = 4
	neighboursFar  = 2
)

// news is what a push carries on.
type news struct {
	delta   *config.Delta
	members []member.Member
}

// tell queues news for the neighbours.
func (b *Balancer) tell(n news) {
	select {
	case b.news <- n:
	default:
		b.count.newsLost.Inc(1)
	}
}

func (b *Balancer) serveNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-b.news:
			if n.delta == nil {
				// After a failure domain has restarted, hundreds of
				// records change at once. Waiting a little makes one
				// push of many of them; a configuration goes at once.
				<-after(gather)
			}
			b.push(ctx, b.batch(n))
		}
	}
}

// batch joins what waits: members of several news, but one delta at a time,
// since deltas are taken one after the other.
func (b *Balancer) batch(first news) []news {
	all := []news{first}
	for len(all) < newsBatch {
		select {
		case n := <-b.news:
			last := &all[len(all)-1]
			if n.delta == nil {
				last.members = append(last.members, n.members...)
				continue
			}
			all = append(all, n)
		default:
			return all
		}
	}
	return all
}

// push sends news to all neighbours at once and waits for them, so a slow one
// holds the next push up for no longer than the call's timeout.
func (b *Balancer) push(ctx context.Context, all []news) {
	var requests []*wire.Push
	for _, n := range all {
		requests = append(requests, n.wire(b.settings.Name))
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

func (n *news) wire(from string) *wire.Push {
	r := &wire.Push{From: from}
	if n.delta != nil {
		r.Delta, _ = json.Marshal(n.delta)
	}
	for i := range n.members {
		r.Members = append(r.Members, n.members[i].Wire())
	}
	return r
}

func (b *Balancer) call(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.client.Call(ctx, to, m, request, reply)
}

// neighbours returns the balancers that this one exchanges news with: by rank
// some of its own domain and of others, and the next one by name in its
// domain, so that every balancer is somebody's neighbour.
func (b *Balancer) neighbours() []member.Observed {
	b.mu.Lock()
	others := slices.DeleteFunc(b.table.Balancers(), func(m member.Observed) bool {
		return m.Name == b.settings.Name || !m.Live()
	})
	b.mu.Unlock()
	return neighbours(others, b.settings.Domain, b.settings.Name)
}

func neighbours(others []member.Observed, domain, name string) []member.Observed {
	var near, far []member.Observed
	for _, m := range member.Ranked(others, name) {
		if m.Domain == domain && len(near) < neighboursNear {
			near = append(near, m)
		}
		if m.Domain != domain && len(far) < neighboursFar {
			far = append(far, m)
		}
	}
	if next, ok := successor(others, domain, name); ok && !slices.ContainsFunc(near, sameAs(next)) {
		near = append(near, next)
	}
	return append(near, far...)
}

func sameAs(m member.Observed) func(member.Observed) bool {
	return func(o member.Observed) bool { return o.Key == m.Key }
}

// successor returns the next balancer by name in a domain, around the end.
func successor(others []member.Observed, domain, name string) (member.Observed, bool) {
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
