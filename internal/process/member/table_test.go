package member_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

func record(n int) member.Member {
	states := []member.State{member.Alive, member.Draining, member.Leaving, member.Left}
	return member.Member{
		Key:         member.Key{Kind: member.Target, Service: "web", Name: fmt.Sprintf("t%d", n%3)},
		Incarnation: uint32(n / 3 % 3), Sequence: uint64(n / 9 % 3),
		State: states[n/27%4], Suspected: n/108%2 == 1,
	}
}

// Two processes receive the same records in different orders, some of them twice.
// They must end with the same table and equal digests.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("same end", prop.ForAll(func(updates []int) bool {
		one, two := member.NewTable(), member.NewTable()
		for i := range updates {
			one.Merge(0, record(updates[i]))
			two.Merge(0, record(updates[len(updates)-1-i]))
			two.Merge(0, record(updates[i/2]))
		}
		// Alive and draining records with the same sequence do not occur in
		// practice: only the process itself writes them.
		same := one.Digest() == two.Digest()
		return same == (len(one.DifferingBuckets(two.BucketDigests())) == 0) && (same || ambiguous(updates))
	}, gen.SliceOf(gen.IntRange(0, 215))))
	properties.TestingRun(t)
}

// ambiguous reports whether two records differ only in alive against draining.
func ambiguous(updates []int) bool {
	seen := map[string]member.State{}
	for _, n := range updates {
		m := record(n)
		if m.State != member.Alive && m.State != member.Draining {
			continue
		}
		k := fmt.Sprint(m.Key, m.Incarnation, m.Sequence)
		if old, ok := seen[k]; ok && old != m.State {
			return true
		}
		seen[k] = m.State
	}
	return false
}

// A falsely suspected process refutes the suspicion with a higher sequence. Its
// record must override the suspicion even where the suspicion arrives later.
func TestSuspicionIsRefuted(t *testing.T) {
	table := member.NewTable()
	m := record(0)
	m.Sequence = 9
	table.Merge(0, m)
	suspicion, ok := table.Suspect(0, m.Key)
	if !ok {
		t.Fatal("not suspected")
	}
	m.Sequence = 10
	table.Merge(0, m)
	table.Merge(0, suspicion)
	if got, _ := table.Get(m.Key); got.Suspected {
		t.Error("the refuted suspicion was merged")
	}
}

// Two tables remove a dead process at different times and exchange records in
// between. They must not restore the record from each other forever.
func TestForgottenStaysForgotten(t *testing.T) {
	dead := record(108)
	one, two := member.NewTable(), member.NewTable()
	one.Merge(0, dead)
	two.Merge(30*clock.Second, dead)
	one.Expire(61*clock.Second, clock.Minute)
	buckets := one.DifferingBuckets(two.BucketDigests())
	lacking, _ := two.Compare(buckets, one.Hashes(buckets))
	if len(lacking) != 1 {
		t.Fatalf("%d records differ, want 1", len(lacking))
	}
	for _, m := range lacking {
		one.Merge(62*clock.Second, m.Member)
	}
	two.Expire(91*clock.Second, clock.Minute)
	if one.Len()+two.Len() != 0 {
		t.Errorf("%d and %d records remain", one.Len(), two.Len())
	}
	dead.Incarnation++
	if !one.Merge(92*clock.Second, dead) {
		t.Error("the record of a successor was not merged")
	}
}
