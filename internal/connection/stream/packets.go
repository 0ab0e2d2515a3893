package stream

import (
	"bytes"
	"slices"
)

// retain keeps a packet, unless it is there already: callers send again what is not
// answered.
func (s *Steerer) bufferPacket(x *search, packet []byte) {
	known := slices.ContainsFunc(x.packets, func(p []byte) bool { return bytes.Equal(p, packet) })
	if known || len(x.packets) >= maxSearchPackets || s.bufferedBytes+len(packet) > maxBufferedBytes {
		return
	}
	x.packets = append(x.packets, slices.Clone(packet))
	x.bufferedBytes += len(packet)
	s.bufferedBytes += len(packet)
}

// drop takes the searches that have ended off the list, with what they kept.
func (s *Steerer) removeEnded() {
	s.searches = slices.DeleteFunc(s.searches, func(x *search) bool {
		if x.ended {
			s.bufferedBytes -= x.bufferedBytes
		}
		return x.ended
	})
}
