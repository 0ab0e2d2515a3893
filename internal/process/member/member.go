// Package member implements the membership table of a process: its view of the
// other processes.
//
// # Overview
//
// A record describes one process: a balancer, or a target with its agent. Only
// the process itself writes its record, with an incarnation that grows with
// each start and a sequence that grows with each change. Any process may add a
// suspicion to the current record; the suspected process refutes it with a
// higher sequence. Therefore copies of records can be merged in any order, any
// number of times, and all processes converge to the same records.
//
// For example, target q3 is {incarnation 4, sequence 9}. Its contact misses
// heartbeats and disseminates {4, 9, suspected}. q3 was only slow: it learns of
// the suspicion and announces {4, 10}, which overrides the suspicion everywhere,
// even where the suspicion arrives later.
//
// A suspicion does not remove a record at once. A record is removed when its
// process has been suspected, leaving or left for longer than the retention.
//
// # Usage
//
//	t := member.NewTable()
//	if t.Merge(now, record) { ... } // changed: send it to others
//	digest := t.Digest()
//
// A Table is not safe for concurrent use.
package member

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// ErrMalformed is returned for a record that no process writes.
var ErrMalformed = errs.New("member: malformed record")

// Kind is the role of a process.
type Kind string

// Kinds.
const (
	Balancer Kind = "balancer"
	Target   Kind = "target"
)

// State is the state that a process announces.
type State string

// States. An incarnation that is leaving or has left does not return to another
// state.
const (
	// Joining targets are not known to all processes yet and open no flows.
	Joining  State = "joining"
	Alive    State = "alive"
	Draining State = "draining"
	// Leaving processes are stopping. A leaving target hands its flows over
	// to its successor.
	Leaving State = "leaving"
	// Left processes have no flows.
	Left State = "left"
)

// terminalRank ranks the states that end an incarnation above the others.
func (s State) terminalRank() int {
	switch s {
	case Left:
		return 2
	case Leaving:
		return 1
	default:
		return 0
	}
}

// Key identifies a process across its incarnations.
type Key struct {
	Kind    Kind
	Service string
	Name    string
}

// Member is the record of one process.
type Member struct {
	Key
	Domain  string
	Control netip.AddrPort
	// Tunnels are the addresses that receive envelopes, the main one first.
	Tunnels     []netip.AddrPort
	Upstream    netip.AddrPort
	Incarnation uint32
	Sequence    uint64
	State       State
	Suspected   bool
	// Watching reports that the platform answers this balancer's watch.
	Watching bool
}

// Newer reports whether record a replaces record b of the same process.
func Newer(a, b *Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.State.terminalRank() != b.State.terminalRank() {
		return a.State.terminalRank() > b.State.terminalRank()
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.Suspected && !b.Suspected
}

// Equal reports whether two records have the same content.
func (m *Member) Equal(o *Member) bool {
	return m.hash() == o.hash()
}

// Tunnel returns the main address for envelopes, or the zero value.
func (m *Member) Tunnel() netip.AddrPort {
	if len(m.Tunnels) == 0 {
		return netip.AddrPort{}
	}
	return m.Tunnels[0]
}

// Live reports whether the process may be given work: it is not suspected,
// leaving or left.
func (m *Member) Live() bool {
	return !m.Suspected && m.State.terminalRank() == 0
}

// Wire returns the record as a wire message.
func (m *Member) Wire() *wire.Member {
	w := &wire.Member{
		Kind: string(m.Kind), Name: m.Name, Service: m.Service, Domain: m.Domain,
		Control: formatAddress(m.Control), Upstream: formatAddress(m.Upstream),
		Incarnation: m.Incarnation, Sequence: m.Sequence, State: string(m.State), Suspected: m.Suspected,
		Watching: m.Watching,
	}
	for _, t := range m.Tunnels {
		w.Tunnels = append(w.Tunnels, t.String())
	}
	return w
}

func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// FromWire validates and converts a record from a wire message.
func FromWire(w *wire.Member) (Member, error) {
	m := Member{
		Key:    Key{Kind: Kind(w.GetKind()), Service: w.GetService(), Name: w.GetName()},
		Domain: w.GetDomain(), Incarnation: w.GetIncarnation(), Sequence: w.GetSequence(),
		State: State(w.GetState()), Suspected: w.GetSuspected(), Watching: w.GetWatching(),
	}
	validKind := m.Kind == Balancer || m.Kind == Target && m.Service != ""
	states := []State{Joining, Alive, Draining, Leaving, Left}
	if !validKind || m.Name == "" || !slices.Contains(states, m.State) {
		return Member{}, ErrMalformed
	}
	var err error
	if m.Control, err = parseAddress(w.GetControl()); err != nil {
		return Member{}, err
	}
	if m.Upstream, err = parseAddress(w.GetUpstream()); err != nil {
		return Member{}, err
	}
	for _, t := range w.GetTunnels() {
		a, err := parseAddress(t)
		if err != nil {
			return Member{}, err
		}
		m.Tunnels = append(m.Tunnels, a)
	}
	return m, nil
}

func parseAddress(s string) (netip.AddrPort, error) {
	if s == "" {
		return netip.AddrPort{}, nil
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return a, errs.Combine(ErrMalformed, err)
	}
	return a, nil
}

// hash returns a hash of the record's content.
func (m *Member) hash() uint64 {
	data, err := json.Marshal(m.Wire())
	if err != nil {
		// Unreachable: the record has only strings, numbers and booleans.
		panic(err)
	}
	return xxh3.Hash(data)
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
}

// Observed is a record with the time, on this process's clock, at which its
// current content was merged.
type Observed struct {
	Member
	UpdatedAt clock.Millis
}
