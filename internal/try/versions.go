package try

import (
	"sync"
	"time"
)

// versionTracker tracks the version that each balancer has in force.
type versionTracker struct {
	mu       sync.Mutex
	inForce  map[string]uint64
	domains  map[string]string
	reverted int
	changed  chan struct{}
}

func newVersionTracker() *versionTracker {
	return &versionTracker{inForce: map[string]uint64{}, domains: map[string]string{}, changed: make(chan struct{})}
}

func (t *versionTracker) addBalancer(domain, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.domains[name] = domain
}

func (t *versionTracker) removeBalancer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.domains, name)
	delete(t.inForce, name)
	t.notify()
}

// notify wakes waiters. The caller holds mu.
func (t *versionTracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *versionTracker) setVersion(_, name string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < t.inForce[name] {
		t.reverted++
	}
	t.inForce[name] = version
	t.notify()
}

// inForceEverywhere reports whether every balancer has the version or a later one,
// and returns a channel that is closed at the next update.
func (t *versionTracker) inForceEverywhere(version uint64) (bool, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.domains {
		if t.inForce[name] < version {
			return false, t.changed
		}
	}
	return true, t.changed
}

// waitUntilInForce waits up to limit until the version is in force everywhere, and
// returns how long that took.
func (t *versionTracker) waitUntilInForce(version uint64, limit time.Duration) (time.Duration, bool) {
	start := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		done, changed := t.inForceEverywhere(version)
		if done {
			return time.Since(start), true
		}
		select {
		case <-changed:
		case <-timer.C:
			return limit, false
		}
	}
}

func (t *versionTracker) revertedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reverted
}
