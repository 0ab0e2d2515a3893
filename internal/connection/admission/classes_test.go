package admission

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

var (
	urgent = &routing.Class{Priority: 4, Objective: 300}
	other  = &routing.Class{Priority: 6, Objective: 250}
)

// newTestLimiter returns a limiter of a target whose callers are of two classes.
func newTestLimiter(now clock.Millis) *ClassLimiter {
	c := &ClassLimiter{}
	for range 10 {
		c.ObserveRequest(now, urgent)
		c.ObserveOpening(now, other, 0)
	}
	return c
}

// Guards against refusals while the target has a free slot.
func TestClassesBelowSlots(t *testing.T) {
	c := newTestLimiter(testNow)
	for running := range 4 {
		load := Load{Slots: 4, Running: running, Mean: float64(running), Work: 5000}
		if !c.Admits(testNow, load, other, false) || c.Refused(testNow, load) != 0 {
			t.Errorf("an opening is refused with %d of 4 slots in use", running)
		}
	}
}

// Guards against a class that gets nothing while more urgent openings take all the room.
func TestLeastShare(t *testing.T) {
	now := testNow
	c := newTestLimiter(now)
	load := Load{Slots: 4, Running: 12, Work: 40}
	admitted := 0
	for range 1000 {
		now += 10
		c.ObserveOpening(now, urgent, 0)
		c.RecordAdmission(now, urgent)
		c.ObserveOpening(now, other, 0)
		if c.Admits(now, load, other, false) {
			c.RecordAdmission(now, other)
			admitted++
		}
	}
	if admitted < 90 || admitted > 130 {
		t.Errorf("%d of 1000 less urgent openings were admitted beside 1000 urgent ones", admitted)
	}
}

// Guards against room that stays closed once the overload, or the urgent class, is gone.
func TestClassesAdmitAfterOverload(t *testing.T) {
	c := newTestLimiter(testNow)
	load := Load{Slots: 4, Running: 12, Work: 40}
	c.RecordAdmission(testNow, other)
	if c.Refused(testNow, load) != 1<<other.Priority || c.Admits(testNow, Load{Slots: 4, Running: 7, Mean: 12, Work: 40}, other, false) {
		t.Error("a less urgent class isn't refused in an overload")
	}
	if idle := (Load{Slots: 4, Running: 2, Work: 40}); c.Refused(testNow, idle) != 0 {
		t.Error("a class is refused after the overload")
	}
	later := testNow + 3*presenceWindow
	for range 10 {
		c.ObserveOpening(later, other, 0)
	}
	if load.Running = 11; !c.Admits(later, load, other, false) {
		t.Error("room is kept for a class that is gone")
	}
}

// Guards against a less urgent class that gets as much room as an urgent one because it states
// a longer objective.
func TestLongerObjectiveGetsNoMoreRoom(t *testing.T) {
	c := &ClassLimiter{}
	patient := &routing.Class{Priority: 6, Objective: 2 * urgent.Objective}
	for range 10 {
		c.ObserveRequest(testNow, urgent)
		c.ObserveOpening(testNow, patient, 0)
	}
	load := Load{Slots: 4, Work: 40}
	if u, p := c.Limit(testNow, load, urgent.Priority), c.Limit(testNow, load, patient.Priority); p > 0.6*u {
		t.Errorf("limits of %.1f requests for the urgent class and %.1f for the other", u, p)
	}
}
