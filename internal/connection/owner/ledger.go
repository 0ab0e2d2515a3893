package owner

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Entry is one flow in a ledger.
type Entry struct {
	Caller        netip.AddrPort `json:"caller"`
	Port          uint16         `json:"port"`
	OpeningNumber uint64         `json:"opening"`
	Home          target.ID      `json:"home"`
	Answered      bool           `json:"answered"`
	// Via is the balancer to answer through until the next datagram arrives.
	Via netip.AddrPort `json:"via"`
	// Idle is how long the flow had been silent, in milliseconds. It is a
	// duration, so it does not depend on the successor's clock.
	Idle     clock.Millis `json:"idle"`
	ChosenID []byte       `json:"chosen,omitempty"`
	UsedID   []byte       `json:"used,omitempty"`
}

// Ledger hands the flows of a stopping agent over to its successor.
//
// The successor opens the same local ports, so the upstream sees the same
// peers and does not notice the change. For example, the entry
// {caller: 10.0.0.9:4433, port: 40123} makes the successor send this caller's
// datagrams from port 40123, as its predecessor did.
type Ledger struct {
	Target string `json:"target"`
	// Incarnation is that of the agent that stopped. Only the next
	// incarnation imports the ledger, once.
	Incarnation uint32 `json:"incarnation"`
	// Final is set if the agent served nothing any more when it made the ledger.
	Final             bool    `json:"final,omitempty"`
	LastOpeningNumber uint64  `json:"number"`
	Flows             []Entry `json:"flows"`
	// Records are the agent's recent records of flows that other targets own
	// or search for: their callers may resend the opening datagram.
	Records []RecordEntry `json:"notes"`
	// Refusals are the flows that the agent has refused recently.
	Refusals []RecordEntry `json:"refusals,omitempty"`
}

// RecordEntry is one record in a ledger.
type RecordEntry struct {
	Caller    netip.AddrPort `json:"caller"`
	To        target.ID      `json:"to"`
	Searching bool           `json:"mark,omitempty"`
	// Age is in milliseconds.
	Age clock.Millis `json:"age"`
}

// NewLedger returns the ledger of a stopping agent. Records older than the resend
// window are left out.
func (t *Table) NewLedger(now clock.Millis, name string, v *View) *Ledger {
	return &Ledger{
		Target: name, Incarnation: v.Incarnation, LastOpeningNumber: t.lastOpeningNumber.Load(),
		Flows: t.exportFlows(now), Records: t.exportRecords(now, v.ResendWindow, false),
		Refusals: t.exportRecords(now, v.ResendWindow, true),
	}
}

// exportRecords returns the refusals, or the other records.
func (t *Table) exportRecords(now, window clock.Millis, refused bool) []RecordEntry {
	var all []RecordEntry
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, caller := range s.records.Keys() {
			r, _ := s.records.Peek(caller)
			if age := now.Sub(r.recordedAt); age <= window && r.refused == refused {
				all = append(all, RecordEntry{Caller: caller, To: r.to, Searching: r.searching, Age: age})
			}
		}
		s.mu.Unlock()
	}
	return all
}

func (t *Table) importRecords(now clock.Millis, records []RecordEntry, refused bool) {
	for _, r := range records {
		s := t.shard(r.Caller)
		s.mu.Lock()
		if _, owned := s.flows[r.Caller]; !owned {
			s.records.Add(r.Caller, record{to: r.To, recordedAt: now.Sub(r.Age), searching: r.Searching, refused: refused})
		}
		s.mu.Unlock()
	}
}

// exportFlows lists the flows.
func (t *Table) exportFlows(now clock.Millis) []Entry {
	var entries []Entry
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, f := range s.flows {
			entries = append(entries, export(now, f))
		}
		s.mu.Unlock()
	}
	return entries
}

func export(now clock.Millis, f *Flow) Entry {
	return Entry{
		Caller: f.Caller, Port: f.Link.Port(), OpeningNumber: f.OpeningNumber, Home: f.Home,
		Answered: f.Answered, Via: f.Via, Idle: now.Sub(max(f.LastIn, f.LastOut)),
		ChosenID: []byte(f.chosenID), UsedID: []byte(f.usedID),
	}
}

// Import opens the flows of a ledger. It returns the callers whose local port could
// not be bound again; their flows are lost, and the others continue.
func (t *Table) Import(now clock.Millis, l *Ledger, dialer Dialer) []netip.AddrPort {
	var lost []netip.AddrPort
	t.lastOpeningNumber.Store(max(t.lastOpeningNumber.Load(), l.LastOpeningNumber))
	for _, entry := range l.Flows {
		if !t.restore(now, entry, dialer) {
			lost = append(lost, entry.Caller)
		}
	}
	t.importRecords(now, l.Records, false)
	t.importRecords(now, l.Refusals, true)
	return lost
}

// restore opens one flow again. A flow that is already open is left unchanged: a
// ledger may arrive twice, from the platform and from a peer.
func (t *Table) restore(now clock.Millis, entry Entry, dialer Dialer) bool {
	s := t.shard(entry.Caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.flows[entry.Caller]; ok {
		return true
	}
	seen := now.Sub(entry.Idle)
	f := &Flow{
		Caller: entry.Caller, OpeningNumber: entry.OpeningNumber, Home: entry.Home, Answered: entry.Answered,
		Via: entry.Via, Started: seen, LastIn: seen, LastOut: seen, keepUntil: now + MaxCallerPause,
		chosenID: string(entry.ChosenID), usedID: string(entry.UsedID),
	}
	link, err := dialer.Dial(f, entry.Port)
	if err != nil {
		return false
	}
	f.Link = link
	t.add(s, f)
	t.ids.restore(f)
	return true
}

// restore adds a flow's connection IDs again.
func (x *connectionIDs) restore(f *Flow) {
	for _, id := range []string{f.chosenID, f.usedID} {
		if id != "" {
			x.put(f, id)
		}
	}
}

// LastOpeningNumber returns the highest opening number that was assigned.
func (t *Table) LastOpeningNumber() uint64 {
	return t.lastOpeningNumber.Load()
}
