// Package retain keeps copies of datagrams for targets that are being restarted.
//
// A target that stops as planned announces it and leaves its flows to a successor.
// Until the successor serves, nobody receives what is sent to the target, and a
// caller waits twice as long before each further copy. So processes that send to a
// leaving target keep a copy of each datagram, and send the copies to the successor
// as soon as they know it.
//
// A target may receive a datagram twice, or late. Networks do both, and the
// callers' protocol allows for it. A copy carries its age, so that nothing is decided
// about it as if it had just been sent.
//
// # Usage
//
//	b := retain.NewBuffer[[]byte](limits)
//	if route.Target.Leaving {
//		b.Add(now, set.Service, route.Target, caller, datagram)
//	}
//	for _, r := range b.ReleaseSet(now, set) { ... } // after each change of the set
package retain

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Limits bound a buffer.
type Limits struct {
	// MaxDatagrams bounds the copies of all targets. When it is reached, only flows
	// that have copies already are kept up to date.
	MaxDatagrams int
	// MaxPerFlow bounds the copies of one flow, of which the latest are kept.
	MaxPerFlow int
	// MaxAge is how long a copy is kept.
	MaxAge clock.Millis
}

// DefaultLimits returns the limits of a process. At 1,500 bytes a datagram the
// copies take at most 3 MB.
func DefaultLimits() Limits {
	return Limits{MaxDatagrams: 2048, MaxPerFlow: 8, MaxAge: 5 * clock.Second}
}

// Buffer holds copies of datagrams, each a T, by target and flow. It is safe for
// concurrent use.
type Buffer[T any] struct {
	mu       sync.Mutex
	limits   Limits
	targets  map[targetKey]*targetCopies[T]
	count    int
	sequence uint64
	// expiredAt is when old copies were last removed.
	expiredAt clock.Millis
}

// expireInterval is the minimum time between two passes over a full buffer, which takes
// time in proportion to its size.
const expireInterval = 100 * clock.Millis(1)

type targetKey struct {
	service uint32
	id      target.ID
}

// targetCopies holds the copies for one target.
type targetCopies[T any] struct {
	// incarnation is that of the process that is leaving.
	incarnation uint32
	flows       map[netip.AddrPort][]copied[T]
}

// copied is one copy. The sequence gives the order in which all were added.
type copied[T any] struct {
	data     T
	addedAt  clock.Millis
	sequence uint64
}

// Copy is one copy and how long it was kept.
type Copy[T any] struct {
	Data T
	Age  clock.Millis
}

// Released are the copies for one target whose successor is known.
type Released[T any] struct {
	To *target.Candidate
	// Copies are in the order in which they were added.
	Copies []Copy[T]
	// Expired is the number of copies that were kept for too long.
	Expired int
}

// Oldest returns the age of the oldest copy.
func (r *Released[T]) Oldest() clock.Millis {
	if len(r.Copies) == 0 {
		return 0
	}
	return r.Copies[0].Age
}

// NewBuffer returns an empty buffer.
func NewBuffer[T any](limits Limits) *Buffer[T] {
	return &Buffer[T]{limits: limits, targets: map[targetKey]*targetCopies[T]{}}
}

// Add keeps a copy of a caller's datagram to a leaving target. It returns false if a
// copy was lost for it: an earlier one of the flow, or this one because the buffer is
// full.
func (b *Buffer[T]) Add(now clock.Millis, service uint32, to *target.Candidate, caller netip.AddrPort, data T) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.count >= b.limits.MaxDatagrams && now.Sub(b.expiredAt) >= expireInterval {
		b.expire(now)
	}
	k := targetKey{service: service, id: to.ID}
	t := b.targets[k]
	if t == nil {
		t = &targetCopies[T]{flows: map[netip.AddrPort][]copied[T]{}}
		b.targets[k] = t
	}
	t.incarnation = max(t.incarnation, to.Incarnation)
	b.sequence++
	c := copied[T]{data: data, addedAt: now, sequence: b.sequence}
	flow := t.flows[caller]
	if len(flow) > 0 && (len(flow) >= b.limits.MaxPerFlow || b.count >= b.limits.MaxDatagrams) {
		t.flows[caller] = append(slices.Delete(flow, 0, 1), c)
		return false
	}
	if b.count >= b.limits.MaxDatagrams {
		return false
	}
	t.flows[caller] = append(flow, c)
	b.count++
	return true
}

// Len returns the number of copies.
func (b *Buffer[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}

// ReleaseSet removes and returns the copies for the targets of a service whose
// successor is in the set, and removes those that are too old.
func (b *Buffer[T]) ReleaseSet(now clock.Millis, set *target.Set) []Released[T] {
	var all []Released[T]
	for i := range set.Targets {
		c := &set.Targets[i]
		if c.Leaving {
			continue
		}
		if r, ok := b.Release(now, set.Service, c); ok {
			all = append(all, r)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	return all
}

// Release removes and returns the copies for a target if the candidate is a successor
// of the process that they were sent to.
func (b *Buffer[T]) Release(now clock.Millis, service uint32, successor *target.Candidate) (Released[T], bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := targetKey{service: service, id: successor.ID}
	t, ok := b.targets[k]
	if !ok || successor.Incarnation <= t.incarnation {
		return Released[T]{}, false
	}
	delete(b.targets, k)
	r := Released[T]{To: successor}
	var all []copied[T]
	for _, flow := range t.flows {
		b.count -= len(flow)
		for _, c := range flow {
			if age := now.Sub(c.addedAt); age <= b.limits.MaxAge {
				all = append(all, c)
				continue
			}
			r.Expired++
		}
	}
	slices.SortFunc(all, func(x, y copied[T]) int { return int(x.sequence) - int(y.sequence) })
	for _, c := range all {
		r.Copies = append(r.Copies, Copy[T]{Data: c.data, Age: now.Sub(c.addedAt)})
	}
	return r, true
}

// expire removes the copies that are too old. The caller holds mu.
func (b *Buffer[T]) expire(now clock.Millis) {
	b.expiredAt = now
	for k, t := range b.targets {
		for caller, flow := range t.flows {
			kept := slices.DeleteFunc(flow, func(c copied[T]) bool { return now.Sub(c.addedAt) > b.limits.MaxAge })
			b.count -= len(flow) - len(kept)
			if len(kept) == 0 {
				delete(t.flows, caller)
				continue
			}
			t.flows[caller] = kept
		}
		if len(t.flows) == 0 {
			delete(b.targets, k)
		}
	}
}
