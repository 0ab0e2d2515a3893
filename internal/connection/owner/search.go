package owner

import (
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// search is a search for an earlier owner that this target has started.
type search struct {
	started clock.Millis
	// lastCopy is when the last copy of the opening datagram arrived here.
	lastCopy clock.Millis
}

// suspectedTimeout is how long a suspected target has to answer a search before later
// searches skip it. It is several round trips, and shorter than a caller's resend
// interval.
const suspectedTimeout = 500 * clock.Millis(1)

// startSearch starts a search for an earlier owner. The search expires with the
// resend window, so one whose answer is lost does not delay the flow for long.
//
// This home decides from now on, so the record of another home's search is removed: two
// homes that defer to each other would pass the flow back and forth.
//
// The search asks suspected targets last, and is lost at a dead one. By the time
// the caller resends, a live target would have answered the first copy; the second
// search skips the suspected targets, so a new flow whose home has died waits for
// at most one resend interval of its caller. A copy that has waited for a successor
// was not resent.
func (t *Table) startSearch(p *packet) Decision {
	s, ok := p.shard.searches.Get(p.caller)
	if !ok || p.now.Sub(s.lastCopy) > p.view.ResendWindow {
		s = search{started: p.now}
	}
	s.lastCopy = p.now
	p.shard.searches.Add(p.caller, s)
	if r, ok := p.shard.records.Peek(p.caller); ok && r.searching {
		p.shard.records.Remove(p.caller)
	}
	p.e.Home = p.view.Self
	p.e.Visited = append(p.e.Visited[:0], p.view.Self)
	next, ok := p.firstSearched(p.age() > 0 || p.now.Sub(s.started) <= suspectedTimeout)
	if !ok {
		p.shard.searches.Remove(p.caller)
		p.e.Visited = p.e.Visited[:0]
		return t.place(p)
	}
	p.e.Stage = wire.Stage_STAGE_SEARCH
	return p.pass(next)
}

// firstSearched returns the first target of a search: the one that this home
// placed the flow on, suspected or not, if any. Unless includeSuspected is set,
// suspected targets count as visited.
func (p *packet) firstSearched(includeSuspected bool) (*target.Candidate, bool) {
	if !includeSuspected {
		p.e.Visited = p.view.appendSuspected(p.e.Visited)
	}
	if r, ok := p.shard.records.Peek(p.caller); ok {
		if c, ok := p.findUnvisited(r.to); ok {
			return c, true
		}
	}
	return p.view.NextSearched(p.now, p.e.Caller, p.e.Visited, p.view.Self)
}

// isSearching reports whether this target has searched for the flow within maxAge.
func (p *packet) isSearching(maxAge clock.Millis) bool {
	s, ok := p.shard.searches.Get(p.caller)
	return ok && p.now.Sub(s.lastCopy) <= maxAge
}

// handleSearch handles another home's search: this target does not own the flow,
// but may have placed it, or may be searching for its owner too.
func (t *Table) handleSearch(p *packet) Decision {
	searcher := p.e.Home
	if p.isSearching(p.view.ResendWindow) && target.Score(p.e.Caller, p.view.Self) > target.Score(p.e.Caller, searcher) {
		// Two homes search for one flow. Only the scores decide which of them
		// continues, because they are the same in all views. The datagram is
		// not dropped: it may be another part of the opening.
		return t.startSearch(p)
	}
	old, recorded := p.shard.records.Get(p.caller)
	if p.age() > 0 && p.refusedSince(old) {
		return Decision{Reason: StaleSearch}
	}
	p.shard.searches.Remove(p.caller)
	p.recordSearch(old, recorded)
	p.markVisited()
	if recorded {
		if c, ok := p.findUnvisited(old.to); ok && c.ID != searcher {
			return p.pass(c)
		}
	}
	if c, ok := p.view.NextSearched(p.now, p.e.Caller, p.e.Visited, searcher); ok {
		return p.pass(c)
	}
	c, ok := p.view.Set.Find(searcher)
	if !ok {
		return Decision{Reason: StaleSearch}
	}
	p.e.Stage = wire.Stage_STAGE_SEARCHED
	return p.pass(c)
}

// recordSearch records which home searches for the flow.
//
// It replaces the record of a placement: the placed datagram may be lost, and
// then the searching home decides; if it was not lost, every search finds the
// flow where it was placed. If two homes search, the record names the one that
// continues.
func (p *packet) recordSearch(old record, recorded bool) {
	searcher := p.e.Home
	fresh := recorded && old.searching && p.now.Sub(old.recordedAt) <= p.view.ResendWindow
	if fresh && target.Score(p.e.Caller, old.to) > target.Score(p.e.Caller, searcher) {
		return
	}
	p.shard.records.Add(p.caller, record{to: searcher, recordedAt: p.now, searching: true})
}

// handleSearched handles the end of this home's own search: no target owns the flow.
func (t *Table) handleSearched(p *packet) Decision {
	if d, ok := t.followRecord(p); ok {
		// This home has yielded to another one in the meantime.
		return d
	}
	if p.e.Home != p.view.Self || !p.isSearching(p.view.ResendWindow) {
		// The datagram took longer than the search is valid. The
		// caller resends it, which starts a new search.
		return Decision{Reason: StaleSearch}
	}
	p.shard.searches.Remove(p.caller)
	p.e.Visited = p.e.Visited[:0]
	return t.place(p)
}
