package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// In a large failure domain each balancer probes a target less often, but all of them
// together probe it many times a second. The first one whose probes stay unanswered sends
// the others a notice. They probe the target at once, and suspect it only if their own probe
// stays unanswered as well: the sender of the notice may be cut off itself.

const (
	// noticeAfter is the age of the first unanswered probe from which others are sent a
	// notice: a second probe is unanswered too.
	noticeAfter = 150 * clock.Millis(1)
	// noticedSuspectAfter is suspectAfter for a target on which there was a notice.
	noticedSuspectAfter = probeRetryInterval
	// noticeInterval is the minimum interval between two notices on a target that are
	// passed on.
	noticeInterval = clock.Second
)

// Notices returns notices on local targets that have newly become silent towards this
// balancer. There are none in a failure domain in which each balancer notices as soon itself.
func (s *Steerer) Notices(now clock.Millis) []*wire.Summary {
	if s.Targets.localProbeInterval() == minLocalProbeInterval {
		return nil
	}
	var silent []*wire.Entry
	for _, t := range s.Targets.Sorted() {
		if !t.noticeDue(now, s.settings.Domain) {
			continue
		}
		t.noticeSent = true
		if now.Sub(t.noticedAt) < noticeInterval {
			continue // it came from another balancer
		}
		silent = append(silent, summaryEntry(t.Address, t.report(now), now.Sub(t.HeardAt), now.Sub(t.unansweredSince)))
	}
	if len(silent) == 0 {
		return nil
	}
	dropNames(silent)
	return s.split(silent)
}

// noticed reports whether there was a notice on the target since its last report.
func (t *Target) noticed() bool {
	return t.noticedAt > t.HeardAt
}

// noticeDue reports whether the target of the given failure domain leaves probes unanswered
// and no notice on that was sent.
func (t *Target) noticeDue(now clock.Millis, domain string) bool {
	silent := t.unansweredSince != 0 && now.Sub(t.unansweredSince) >= noticeAfter
	return silent && !t.noticeSent && t.HeardAt != 0 && t.Domain == domain
}

// HandleNotice handles a notice of another balancer of the local failure domain: the targets
// are probed with the next tick. It returns the entries that are news to this balancer.
func (s *Steerer) HandleNotice(now clock.Millis, m *wire.Summary) []*wire.Entry {
	var news []*wire.Entry
	for _, e := range m.Entries {
		a, err := segment.ParseAddress(e.Address)
		if err == nil && e.Report != nil && e.Silent > 0 && s.Targets.notice(now, a, e.Report) {
			news = append(news, e)
		}
	}
	return news
}

// notice records a notice with the last report that its sender had, and reports whether it is
// news. It is not if this balancer has a later report, or had a notice lately.
func (ts *Targets) notice(now clock.Millis, a netip.AddrPort, r *wire.Report) bool {
	t, ok := ts.known[a]
	if !ok || t.Domain != ts.domain || t.HeardAt == 0 || t.Epoch > r.Epoch {
		return false
	}
	if t.noticedAt != 0 && now.Sub(t.noticedAt) < noticeInterval {
		return false
	}
	t.noticedAt = now
	if t.unansweredSince == 0 {
		t.lastProbe = 0
	}
	return true
}
