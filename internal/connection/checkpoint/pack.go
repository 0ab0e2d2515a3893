package checkpoint

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
)

// ackUnit is the unit that acknowledgements are rounded to in the store, in bytes. A
// caller accepts a reset within 76,800 bytes of its last acknowledgement: rounding takes
// up to half of the unit, which leaves maxAckLag for what was acknowledged since.
const ackUnit = 1 << 16

// maxServiceName bounds the name of a service, in bytes.
const maxServiceName = 256

// pack appends an entry in the format of the store, whose calls are also paid for by
// their bytes: flows grouped by listener, callers as differences, acknowledgements
// rounded.
func (e *Entry) pack(b []byte) []byte {
	b = segment.AppendAddress(b, e.Agent)
	b = binary.AppendUvarint(b, uint64(len(e.Service)))
	b = append(b, e.Service...)
	b = binary.AppendUvarint(b, e.Born)
	b = binary.AppendUvarint(b, e.Writer)
	b = binary.AppendUvarint(b, uint64(e.At))
	groups := map[netip.AddrPort][]Flow{}
	for f := range e.Flows.All() {
		groups[f.ID.Listener] = append(groups[f.ID.Listener], f)
	}
	b = binary.AppendUvarint(b, uint64(len(groups)))
	for _, listener := range slices.SortedFunc(maps.Keys(groups), netip.AddrPort.Compare) {
		b = packGroup(segment.AppendAddress(b, listener), groups[listener])
	}
	return b
}

func packGroup(b []byte, flows []Flow) []byte {
	slices.SortFunc(flows, func(a, b Flow) int { return a.ID.Caller.Compare(b.ID.Caller) })
	b = binary.AppendUvarint(b, uint64(len(flows)))
	last := uint64(0)
	for i := range flows {
		caller := callerToNumber(flows[i].ID.Caller)
		b = binary.AppendUvarint(b, caller-last)
		b = binary.BigEndian.AppendUint16(b, uint16(flows[i].Ack/ackUnit))
		last = caller
	}
	return b
}

// callerToNumber returns a number that orders callers by address and port.
func callerToNumber(a netip.AddrPort) uint64 {
	ip := a.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(a.Port())
}

func callerFromNumber(n uint64) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(n>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(n))
}

// unpacker reads what pack has written. It keeps the first error.
type unpacker struct {
	in  *bytes.Reader
	err error
}

func (u *unpacker) uvarint(limit uint64) uint64 {
	if u.err != nil {
		return 0
	}
	n, err := binary.ReadUvarint(u.in)
	if err != nil || n > limit {
		u.err = errors.Join(ErrUnreadable, err)
		return 0
	}
	return n
}

func (u *unpacker) bytes(size int) []byte {
	b := make([]byte, size)
	if u.err != nil {
		return b
	}
	if _, err := io.ReadFull(u.in, b); err != nil {
		u.err = errors.Join(ErrUnreadable, err)
	}
	return b
}

func (u *unpacker) address() netip.AddrPort {
	a, _ := segment.ParseAddress(u.bytes(addressSize))
	return a
}

const (
	addressSize     = 6
	maxNumber       = 1<<64 - 1
	maxCallerNumber = 1<<48 - 1
)

// unpackEntry reads one entry.
func unpackEntry(u *unpacker) Entry {
	e := Entry{Agent: u.address()}
	e.Service = string(u.bytes(int(u.uvarint(maxServiceName))))
	e.Born = u.uvarint(maxNumber)
	e.Writer = u.uvarint(maxNumber)
	e.At = int64(u.uvarint(maxNumber))
	for range u.uvarint(maxFlows) {
		listener := u.address()
		last := uint64(0)
		for range u.uvarint(uint64(maxFlows - e.Flows.Len())) {
			last += u.uvarint(maxCallerNumber)
			ack := uint32(binary.BigEndian.Uint16(u.bytes(2)))*ackUnit + ackUnit/2
			if last > maxCallerNumber {
				u.err = ErrUnreadable
			}
			if u.err != nil {
				return Entry{}
			}
			e.Flows = e.Flows.Append(Flow{ID: segment.Flow{Caller: callerFromNumber(last), Listener: listener}, Ack: ack})
		}
		if u.err != nil {
			return Entry{}
		}
	}
	if u.err == nil && e.Born == 0 {
		u.err = ErrUnreadable
	}
	return e
}
