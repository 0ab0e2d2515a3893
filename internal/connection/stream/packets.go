package stream

import (
	"bytes"
	"slices"
)

// bufferPacket buffers a copy of a packet, unless the search already has it: callers
// retransmit what is not answered.
func (s *Steerer) bufferPacket(x *search, packet []byte) {
	known := slices.ContainsFunc(x.packets, func(p []byte) bool { return bytes.Equal(p, packet) })
	if known || len(x.packets) >= maxSearchPackets || s.bufferedBytes+len(packet) > maxBufferedBytes {
		return
	}
	x.packets = append(x.packets, slices.Clone(packet))
	x.bufferedBytes += len(packet)
	s.bufferedBytes += len(packet)
}

// removeEnded removes searches that have ended, and the packets that they buffered.
func (s *Steerer) removeEnded() {
	s.searches = slices.DeleteFunc(s.searches, func(x *search) bool {
		if x.ended {
			s.bufferedBytes -= x.bufferedBytes
		}
		return x.ended
	})
}
