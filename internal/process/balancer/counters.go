package balancer

import "github.com/uber-go/tally/v4"

// counters are created once, because a scope looks names up in a map.
type counters struct {
	forwarded, returned, hinted, walked   tally.Counter
	forged, malformed, large, untargeted  tally.Counter
	unserved, unsent, rotated             tally.Counter
	suspected, refuted, pushed, newsLost  tally.Counter
	synced, syncFailed, applied, announce tally.Counter
	beats, beatsLost                      tally.Counter
}

func newCounters(s tally.Scope) counters {
	return counters{
		forwarded: s.Counter("forwarded"), returned: s.Counter("returned"),
		hinted: s.Counter("hinted"), walked: s.Counter("walked"),
		forged: s.Counter("forged"), malformed: s.Counter("malformed"), large: s.Counter("large"),
		untargeted: s.Counter("untargeted"), unserved: s.Counter("unserved"), unsent: s.Counter("unsent"),
		rotated: s.Counter("rotated"), suspected: s.Counter("suspected"), refuted: s.Counter("refuted"),
		pushed: s.Counter("pushed"), newsLost: s.Counter("news_lost"),
		synced: s.Counter("synced"), syncFailed: s.Counter("sync_failed"),
		applied: s.Counter("versions"), announce: s.Counter("announcements"), beats: s.Counter("beats"), beatsLost: s.Counter("beats_lost"),
	}
}
