package streambalancer

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/process/failover"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// peerTimeout is the silence after which a neighbour no longer counts as live: two lost
	// datagrams.
	peerTimeout = 2500 * clock.Millis(1)
	// maxPeers bounds the known balancers: twice as many as are planned for in two years.
	// News from any sender is accepted.
	maxPeers = 1024
	// minChangeNewsInterval is the minimum interval between news about changes.
	minChangeNewsInterval = 100 * clock.Millis(1)
	// failedFetchBackoff is how long other balancers are preferred after a failed call to one.
	failedFetchBackoff = 2 * clock.Second
	// minFetchRetry is how long no version is fetched from a balancer after a first failed
	// call, so that the platform gets its turn; it doubles up to failedFetchBackoff.
	minFetchRetry     = 250 * clock.Millis(1)
	maxFetchDoublings = 3
)

// Peer is a balancer as known to another one.
type Peer struct {
	Address netip.AddrPort
	Name    string
	Domain  string
	// CPUShare is its share of a core, in thousandths; zero if unknown.
	CPUShare uint32
	Epoch    uint64
	Version  uint64
	// View summarizes the targets that it knows.
	View
	// Watching reports whether it watches the platform for changes.
	Watching bool
	Leaving  bool
	// Duties are those that it performs, and Failing those that it is to perform and for
	// which the platform does not answer it.
	Duties, Failing Duties
	// Settled reports whether it knows all targets that the others know.
	Settled bool
	// Takes reports whether it opens flows that others hand on to it.
	Takes bool
	// Resting reports whether it does not take part in the fabric's rotation, RestChangedAt
	// is when that was last seen to change, and Lateness is its mean lateness in
	// milliseconds.
	Resting       bool
	RestChangedAt clock.Millis
	Lateness      float64
	// ChoseThis reports whether it has selected this balancer as a neighbour.
	ChoseThis bool
	// HeardAt is the time of its last news; zero if there was none.
	HeardAt clock.Millis

	learnedAt clock.Millis
	// processSeenAt is when its current process was first heard from.
	processSeenAt clock.Millis
	// newsSentAt is when news were last sent to it, requestedAt when contacts were last
	// requested from it, and neighbourSince when it became a neighbour.
	newsSentAt     clock.Millis
	requestedAt    clock.Millis
	neighbourSince clock.Millis
	// fetchFailures counts the calls for a version that failed in a row, the last one at
	// fetchFailedAt.
	fetchFailures int
	fetchFailedAt clock.Millis
	// score is its rendezvous hash with this balancer; neighbours are those with the
	// highest.
	score uint64
	// isRelay reports whether this balancer considers it a relay of its failure domain.
	isRelay bool
	// notWatchingSince is since when it has been known not to watch the platform.
	notWatchingSince clock.Millis
	// failingSince is when each of its failing duties began to fail.
	failingSince [dutyCount]clock.Millis
}

// Live reports whether the peer has been heard from within peerTimeout and is not leaving.
func (p *Peer) Live(now clock.Millis) bool {
	return p.HeardAt != 0 && now.Sub(p.HeardAt) <= peerTimeout && !p.Leaving
}

// silent reports whether the balancer was never heard from, or has not answered although it
// has been a neighbour for long enough.
func (p *Peer) silent(now clock.Millis) bool {
	if p.HeardAt == 0 {
		return true
	}
	return p.neighbourSince != 0 && now.Sub(max(p.neighbourSince, p.HeardAt)) > peerTimeout
}

// Peers tracks the other balancers. It is pure: time is an argument.
type Peers struct {
	self      Peer
	startedAt clock.Millis
	known     map[netip.AddrPort]*Peer
	// agreedSince is since when this balancer knows everything that its neighbours know.
	agreedSince clock.Millis
	// localAgreedSince is the same for the neighbours in the local failure domain.
	localAgreedSince clock.Millis
	// higherRankWatchedAt is when a balancer of higher rank was last known to watch the
	// platform.
	higherRankWatchedAt clock.Millis
	// watchEndedAt is when a balancer of the local failure domain announced that it no
	// longer watches the platform.
	watchEndedAt clock.Millis
	// dutyHeldAt is when a balancer of the local failure domain was last known to perform
	// each duty.
	dutyHeldAt [dutyCount]clock.Millis
	// confirmed reports whether a settled balancer has sent this one all targets.
	confirmed bool
	// unlisted is set if the directory did not list this balancer when it started.
	unlisted bool
	// registeredAt is when the directory was first known to list it; zero before that.
	registeredAt clock.Millis
	// listing tracks the targets that the store lists; nil without checkpoints.
	listing *listing
	// covered holds the views of others whose targets this balancer knows completely.
	covered map[View]bool
	// lastRequest is when contacts were last requested from any balancer.
	lastRequest clock.Millis
	// sorted holds the peers by address; nil after a change. neighbours is the last
	// selection, made at refreshedAt, which is zero if it must be made again.
	sorted      []*Peer
	neighbours  []*Peer
	refreshedAt clock.Millis
	// remoteCount is the number of known balancers in other failure domains, heard from or
	// not, at the last selection of neighbours.
	remoteCount int
	// former has the balancers that were removed as silent.
	former failover.Former
	// relays holds the relays of each failure domain, selected together with the
	// neighbours.
	relays map[string][]*Peer
}

// NewPeers returns the Peers of a balancer that has just started.
func NewPeers(now clock.Millis, self Peer, seeds []netip.AddrPort) *Peers {
	ps := &Peers{
		self: self, startedAt: now, known: map[netip.AddrPort]*Peer{}, covered: map[View]bool{},
	}
	ps.AddSeeds(now, seeds)
	return ps
}

// AddSeeds adds balancers of which only the address is known.
func (ps *Peers) AddSeeds(now clock.Millis, seeds []netip.AddrPort) {
	for _, a := range seeds {
		ps.Learn(now, a, Peer{})
	}
}

// Learn adds a balancer that a third party has named: its name, failure domain and share of
// a core, as far as known.
func (ps *Peers) Learn(now clock.Millis, a netip.AddrPort, n Peer) bool {
	if p := ps.known[a]; p != nil && p.Domain == "" && n.Domain != "" {
		p.Name, p.Domain, p.CPUShare = n.Name, n.Domain, n.CPUShare
		ps.peerChanged(p)
		return false
	}
	if a == ps.self.Address || ps.known[a] != nil || len(ps.known) >= maxPeers {
		return false
	}
	ps.add(&Peer{Address: a, Name: n.Name, Domain: n.Domain, CPUShare: n.CPUShare, learnedAt: now})
	return true
}

func (ps *Peers) add(p *Peer) {
	ps.known[p.Address] = p
	ps.peerChanged(p)
}

// peerChanged updates derived state after a peer was added or renamed.
func (ps *Peers) peerChanged(p *Peer) {
	p.score = xxh3.HashString(ps.self.Name + " " + p.Name)
	ps.sorted, ps.refreshedAt = nil, 0
}

// Update applies news that a balancer sent about itself. It reports whether the balancer is
// new or has restarted.
func (ps *Peers) Update(now clock.Millis, n Peer) bool {
	if n.Address == ps.self.Address {
		return false
	}
	p := ps.known[n.Address]
	if p == nil && len(ps.known) >= maxPeers {
		return false
	}
	if p == nil {
		p = &Peer{Address: n.Address, learnedAt: now}
	}
	isNew := p.HeardAt == 0 || p.Epoch != n.Epoch
	if isNew {
		p.processSeenAt = now
	}
	changed := isNew || p.Leaving != n.Leaving || p.Name != n.Name
	if p.isWatcher() && p.Domain == ps.self.Domain && (!n.Watching || n.Leaving) {
		ps.watchEndedAt = now
	}
	switch {
	case n.Watching:
		p.notWatchingSince = 0
	case p.notWatchingSince == 0 || isNew:
		p.notWatchingSince = now
	}
	ps.updateDuties(now, p, n.Duties, n.Failing)
	p.Name, p.Domain, p.CPUShare, p.Epoch, p.Version = n.Name, n.Domain, n.CPUShare, n.Epoch, n.Version
	p.Watching, p.Leaving, p.Settled, p.Takes = n.Watching, n.Leaving, n.Settled, n.Takes
	p.View, p.ChoseThis = n.View, n.ChoseThis
	if p.Resting != n.Resting {
		p.RestChangedAt = now
	}
	p.Resting, p.Lateness = n.Resting, n.Lateness
	p.HeardAt = now
	if changed {
		ps.add(p)
	}
	return isNew
}

// Domain returns the failure domain of a balancer, or "" if it is unknown.
func (ps *Peers) Domain(at netip.AddrPort) string {
	if p := ps.known[at]; p != nil {
		return p.Domain
	}
	return ""
}

// IsNeighbour reports whether a balancer is a neighbour of this one.
func (ps *Peers) IsNeighbour(at netip.AddrPort) bool {
	p := ps.known[at]
	return p != nil && p.neighbourSince != 0
}

// Each calls f for every peer, in no particular order.
func (ps *Peers) Each(f func(*Peer)) {
	for _, p := range ps.known {
		f(p)
	}
}

// Sorted returns the peers ordered by address. The result must not be changed, and is valid
// until a peer is added or removed.
func (ps *Peers) Sorted() []*Peer {
	if ps.sorted == nil {
		ps.sorted = slices.SortedFunc(maps.Values(ps.known), func(a, b *Peer) int {
			return a.Address.Compare(b.Address)
		})
	}
	return ps.sorted
}

// Newest returns the live peer with the highest version, if that is above the given one. It
// prefers peers of the local failure domain, then those with a larger share of a core.
// Balancers select different peers where they can, because a version reaches all of them at
// the same time. A peer to which a call has failed lately comes last, and is skipped for a
// while, so that another one or the platform is queried. It is not skipped for long, as it may
// be the only one that has the version.
func (ps *Peers) Newest(now clock.Millis, above uint64) (*Peer, bool) {
	var best *Peer
	for _, p := range ps.Sorted() {
		if p.Live(now) && p.mayFetch(now) && p.Version > above && (best == nil || ps.compareFetchPeers(now, p, best) > 0) {
			best = p
		}
	}
	return best, best != nil
}

// compareFetchPeers compares two peers as sources of a version; the preferred one is
// larger.
func (ps *Peers) compareFetchPeers(now clock.Millis, a, b *Peer) int {
	reliable := func(p *Peer) int {
		if p.fetchFailures == 0 || now.Sub(p.fetchFailedAt) >= failedFetchBackoff {
			return 1
		}
		return 0
	}
	local := func(p *Peer) int {
		if p.Domain == ps.self.Domain {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(reliable(a), reliable(b)), cmp.Compare(a.Version, b.Version), cmp.Compare(local(a), local(b)), cmp.Compare(a.CPUShare, b.CPUShare),
		cmp.Compare(a.score, b.score),
	)
}

// UpToDate returns the live peers that have a version or a later one and take openings: those
// of the local failure domain, or all others if there are none. Those that take part in the
// fabric's rotation go first, as the others lack processor time.
func (ps *Peers) UpToDate(now clock.Millis, version uint64) []netip.AddrPort {
	var best []netip.AddrPort
	bestRank := -1
	for _, p := range ps.Sorted() {
		if !p.Live(now) || !p.Takes || p.Version < version {
			continue
		}
		rank := 0
		if p.Domain == ps.self.Domain {
			rank += 2
		}
		if !p.Resting {
			rank++
		}
		if rank > bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, p.Address)
		}
	}
	return best
}

// mayFetch reports whether a version may be fetched from the peer.
func (p *Peer) mayFetch(now clock.Millis) bool {
	if p.fetchFailures == 0 {
		return true
	}
	pause := min(minFetchRetry<<min(p.fetchFailures-1, maxFetchDoublings), failedFetchBackoff)
	return now.Sub(p.fetchFailedAt) >= pause
}

// Fetched records whether a call to a balancer for a version brought something.
func (ps *Peers) Fetched(now clock.Millis, a netip.AddrPort, ok bool) {
	p := ps.known[a]
	switch {
	case p == nil:
	case ok:
		p.fetchFailures = 0
	default:
		p.fetchFailures++
		p.fetchFailedAt = now
	}
}

// RemoveSilent removes balancers that have been silent for their retention, and returns them.
func (ps *Peers) RemoveSilent(now clock.Millis) []*Peer {
	var removed []*Peer
	for a, p := range ps.known {
		if now.Sub(max(p.HeardAt, p.learnedAt)) > ps.retention(p) {
			delete(ps.known, a)
			ps.sorted, ps.refreshedAt = nil, 0
			removed = append(removed, p)
			if p.HeardAt != 0 && !p.Leaving {
				ps.former.Add(now, a, p.Epoch)
			}
		}
	}
	return removed
}
