package rotation

import (
	"fmt"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	testStart    = 24 * clock.Hour
	testInterval = 50 * clock.Millis(1)
	testLimit    = 6.0
	newsInterval = 500 * clock.Millis(1)
)

// fleet is the balancers of one failure domain, which hear from each other with a delay.
type fleet struct {
	now      clock.Millis
	members  []*Rotation
	late     []clock.Millis
	hears    func(to, from int) bool
	news     [][]Peer
	lastNews clock.Millis
	// rests lists the times at which members rested, and changes counts those of each.
	rests   []clock.Millis
	changes []int
}

func newFleet(size int) *fleet {
	f := &fleet{now: testStart, late: make([]clock.Millis, size), changes: make([]int, size)}
	f.hears = func(int, int) bool { return true }
	for i := range size {
		f.members = append(f.members, New(testStart, fmt.Sprintf("balancer-%03d", i)))
		f.news = append(f.news, make([]Peer, size))
	}
	f.run(startupTime)
	return f
}

func (f *fleet) deliverNews() {
	for to := range f.members {
		for from, r := range f.members {
			if !f.hears(to, from) {
				continue
			}
			p := &f.news[to][from]
			if p.Resting != r.Resting() {
				p.ChangedAt = f.now
			}
			p.Name, p.Resting, p.Lateness = r.name, r.Resting(), r.Lateness.Mean()
		}
	}
}

func (f *fleet) domain(i int) Domain {
	d := Domain{Known: len(f.members)}
	for from, p := range f.news[i] {
		if from != i && f.hears(i, from) {
			d.Peers = append(d.Peers, p)
		}
	}
	return d
}

// run lets time pass. A resting member is not late, as it gets no flows.
func (f *fleet) run(period clock.Millis) {
	for end := f.now + period; f.now < end; f.now += testInterval {
		if f.now.Sub(f.lastNews) >= newsInterval {
			f.lastNews = f.now
			f.deliverNews()
		}
		for i := range f.members {
			f.update(i)
		}
	}
}

func (f *fleet) update(i int) {
	r, late := f.members[i], f.late[i]
	if r.Resting() {
		late = 0
	}
	r.Lateness.Add(late, testInterval)
	switch r.Update(f.now, testLimit, f.domain(i)) {
	case Unchanged:
		return
	case Rested:
		f.rests = append(f.rests, f.now)
		f.changes[i]++
	case Returned:
		f.changes[i]++
	case BecameLate:
	}
	f.lastNews = 0
}

func (f *fleet) resting() int {
	n := 0
	for _, r := range f.members {
		if r.Resting() {
			n++
		}
	}
	return n
}

// Late balancers leave the rotation one after the other, the one that is much later first,
// and more than half stay.
func TestLateBalancersRest(t *testing.T) {
	for _, size := range []int{5, 7, 19, 91} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(size)
			f.late[0], f.late[1] = 12, 60
			f.run(2 * clock.Second)
			if !f.members[1].Resting() || f.members[0].Resting() {
				t.Error("the latest balancer does not rest first")
			}
			f.run(2 * clock.Second)
			if f.resting() != 2 {
				t.Fatalf("%d balancers rest, want both late ones", f.resting())
			}
			if d := f.rests[1].Sub(f.rests[0]); d < settleTime {
				t.Errorf("the second one rested %d ms after the first", d)
			}
		})
	}
}

// However many are late, more than half of the balancers stay.
func TestMoreThanHalfStay(t *testing.T) {
	f := newFleet(9)
	for i := range 4 {
		f.late[i] = clock.Millis(20 + 10*i)
	}
	for range 200 {
		f.run(100 * clock.Millis(1))
		if f.resting() > 4 {
			t.Fatalf("%d of 9 balancers rest", f.resting())
		}
	}
}

// Where most balancers become late at the same moment, none can take over flows of another.
func TestOverloadedFleetStays(t *testing.T) {
	for _, slope := range []int{0, 5} {
		f := newFleet(9)
		for i := range 7 {
			f.late[i] = clock.Millis(20 + slope*i)
		}
		f.run(10 * clock.Second)
		if f.resting() != 0 {
			t.Errorf("%d of 9 balancers rest", f.resting())
		}
	}
}

// When the others become late as well, the balancers that rest return to help them.
func TestReturnWhenOthersAreLate(t *testing.T) {
	f := newFleet(7)
	f.late[0], f.late[1] = 40, 30
	f.run(4 * clock.Second)
	if f.resting() != 2 {
		t.Fatalf("%d balancers rest, want 2", f.resting())
	}
	for i := 2; i < 7; i++ {
		f.late[i] = 25
	}
	f.run(2 * clock.Second)
	if f.resting() != 0 {
		t.Errorf("%d of 7 balancers rest although all others are late", f.resting())
	}
}

// A balancer that hears from too few others does not know whether enough are active: it stays.
func TestPartitionedBalancersStay(t *testing.T) {
	hears := map[string]func(to, from int) bool{
		"from nobody":     func(to, _ int) bool { return to != 0 },
		"one way":         func(to, from int) bool { return to != 0 || from == 1 },
		"from half":       func(to, from int) bool { return to/4 == from/4 },
		"from neighbours": func(to, from int) bool { return (to-from+8)%8 <= 2 },
	}
	for name, h := range hears {
		f := newFleet(8)
		f.hears = h
		f.late[0] = 30
		f.run(10 * clock.Second)
		if f.members[0].Resting() {
			t.Errorf("a balancer that hears %s rests", name)
		}
	}
}

// A peer of an earlier build does not tell its lateness: it may have no room.
func TestUnknownLatenessIsNotInTime(t *testing.T) {
	d := Domain{Known: 4, Peers: []Peer{{Lateness: UnknownLateness}, {Lateness: UnknownLateness}, {Lateness: 0}}}
	if n := d.countInTime(testLimit); n != 1 {
		t.Errorf("%d peers count as in time, want 1", n)
	}
}

// A start takes processor time: a balancer that is late until then does not rest, and nor do
// all balancers of a failure domain that start together.
func TestStartIsNoShortage(t *testing.T) {
	f := newFleet(7)
	for i, r := range f.members {
		f.members[i] = New(f.now, r.name)
		f.late[i] = 60
	}
	f.run(startupTime + 200)
	clear(f.late)
	f.run(3 * clock.Second)
	if len(f.rests) != 0 {
		t.Errorf("%d balancers rested because of their start", len(f.rests))
	}
}

// A pause of the whole VM, long or short, does not show a lack of processor time.
func TestPauseIsNoShortage(t *testing.T) {
	for _, pause := range []clock.Millis{100, 400, 900, 4000} {
		f := newFleet(7)
		for i := range f.late {
			f.late[i] = 2
		}
		f.run(2 * clock.Second)
		f.members[0].Lateness.Add(pause, testInterval)
		f.run(3 * clock.Second)
		if len(f.rests) != 0 {
			t.Errorf("a balancer rests after a pause of %d ms", pause)
		}
	}
}

// A balancer that lacks processor time for long is tried less and less often, and one that
// has recovered is active again.
func TestReturnWithoutSwing(t *testing.T) {
	f := newFleet(7)
	f.late[0] = 30
	f.run(2 * clock.Minute)
	if f.changes[0] > 12 {
		t.Errorf("the balancer left and joined the rotation %d times in two minutes", f.changes[0])
	}
	f.late[0] = 0
	f.run(maxRest + 10*clock.Second)
	if f.members[0].Resting() {
		t.Error("a balancer that has recovered still rests")
	}
}

// When balancers are lost, one that rests returns at once if half or fewer are active.
func TestReturnWhenOthersAreLost(t *testing.T) {
	f := newFleet(5)
	f.late[0] = 30
	f.run(4 * clock.Second)
	if !f.members[0].Resting() {
		t.Fatal("the late balancer does not rest")
	}
	f.hears = func(_, from int) bool { return from < 3 }
	f.run(clock.Second)
	if f.members[0].Resting() {
		t.Error("the balancer rests although only two of five others are heard")
	}
}
