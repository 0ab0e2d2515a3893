package stream

import (
	"math"
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A target that is full for seconds does not count as slower than an idle one.
func TestWorkExcludesWaiting(t *testing.T) {
	const slots, work, tick = 4, 40 * clock.Millis(1), 10 * clock.Millis(1)
	var idle, full workMeter
	for now := clock.Millis(0); now < 4*clock.Second; now += tick {
		idle.addSample(1, tick)
		full.addSample(slots, tick)
		if now%work == 0 {
			idle.addAnswer()
			for range slots {
				full.addAnswer()
			}
		}
	}
	if d := math.Abs(idle.mean() - full.mean()); d > 1 || math.Abs(full.mean()-float64(work)) > 2 {
		t.Errorf("measured %.1f ms at the idle target and %.1f ms at the full one, want %d", idle.mean(), full.mean(), work)
	}
}

// Any sender may send openings of any listener: the stored classes are bounded.
func TestClassesAreBounded(t *testing.T) {
	cs := classes{}
	for i := range 2 * maxClasses {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443)
		cs.learn(a, encodeClass(&routing.Class{Priority: 1}, 0))
	}
	if len(cs) != maxClasses {
		t.Errorf("%d classes are stored, want %d", len(cs), maxClasses)
	}
}

// Guards against an agent that starts while requests are in progress and takes each for hours
// of work.
func TestWorkAfterStartUnderLoad(t *testing.T) {
	f := newScriptedTarget(t)
	c, _ := f.openAndRequest()
	f.advance(50)
	f.sendFromTarget(c, segment.Segment{Flags: segment.Acks, Seq: 6, Size: 900})
	for range 2 * minMeasuredAnswers {
		f.request(true)
		f.advance(50)
	}
	if mean := f.tracker.work.mean(); mean > 100 {
		t.Errorf("the measured work of a request is %.0f ms", mean)
	}
}

// Guards against a retransmission that arrives after the answer and counts as a request in
// progress for seconds.
func TestRetransmittedRequestIsNoLoad(t *testing.T) {
	f := newScriptedTarget(t)
	c, _ := f.openAndRequest()
	f.sendFromTarget(c, segment.Segment{Flags: segment.Acks, Seq: 6, Size: 900})
	f.sendFromCaller(c, wire.Verb_VERB_CARRY, segment.Segment{Flags: segment.Acks, Ack: 6, Size: 200})
	if n := len(f.tracker.busyFlows); n != 0 {
		t.Errorf("%d requests count as in progress", n)
	}
	f.sendFromCaller(c, wire.Verb_VERB_CARRY, segment.Segment{Flags: segment.Acks, Ack: 6, Seq: 200, Size: 200})
	if n := len(f.tracker.busyFlows); n != 1 {
		t.Errorf("%d requests count as in progress, want the second one", n)
	}
}
