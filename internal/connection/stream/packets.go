package stream

import (
	"bytes"
	"slices"
)

// retain keeps a packet, unless it is there already: callers send again what is not
// answered.
func (s *Steerer) retain(x *search, packet []byte) {
	known := slices.ContainsFunc(x.packets, func(p []byte) bool { return bytes.Equal(p, packet) })
	if known || len(x.packets) >= mostKept || s.kept+len(packet) > mostKeptBytes {
		return
	}
	x.packets = append(x.packets, slices.Clone(packet))
	x.kept += len(packet)
	s.kept += len(packet)
}

// drop takes the searches that have ended off the list, with what they kept.
func (s *Steerer) drop() {
	s.searches = slices.DeleteFunc(s.searches, func(x *search) bool {
		if x.over {
			s.kept -= x.kept
		}
		return x.over
	})
}
