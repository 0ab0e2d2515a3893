package model

import (
	"encoding/binary"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// initialResendDelay is a caller's delay before its first retransmission;
	// it doubles with each further one.
	initialResendDelay = clock.Second
	// handshakeTimeout is how long a caller tries to open a flow.
	handshakeTimeout = 10 * clock.Second
	// requestInterval is the time between two requests of an open flow,
	// answerTimeout how long a caller goes without any answer before it
	// gives up.
	requestInterval = 400 * clock.Millis(1)
	answerTimeout   = 8 * clock.Second
)

// Caller is one caller with one flow.
type Caller struct {
	world   *World
	Flow    uint64
	address netip.AddrPort
	opened  bool
	Ended   bool
	// lastAnswerAt is when the last answer arrived.
	lastAnswerAt clock.Millis
}

// Open makes a new caller open a flow of the given length; 0 means that it stays
// open until End.
func (w *World) Open(length clock.Millis) *Caller {
	w.lastPort++
	c := &Caller{world: w, Flow: uint64(w.lastPort), address: callerAddress(w.lastPort), lastAnswerAt: w.Now()}
	w.callers[c.address] = c
	w.Oracle.Verdict.Flows++
	c.sendOpening(initialResendDelay)
	w.After(handshakeTimeout, c.abandonOpening)
	if length > 0 {
		w.After(length, c.End)
	}
	return c
}

// callerAddress returns a distinct address for each caller number.
func callerAddress(n uint32) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], 0x64000000|n>>14)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(1024+n&0x3fff))
}

// sendOpening sends the opening datagram and retransmits it until it is answered.
func (c *Caller) sendOpening(pause clock.Millis) {
	if c.opened || c.Ended {
		return
	}
	c.SendOpening()
	c.world.After(pause, func() { c.sendOpening(2 * pause) })
}

// SendOpening sends the caller's opening datagram once.
func (c *Caller) SendOpening() {
	c.send(&datagram{flow: c.Flow, opening: true, replyTo: c.address, caller: c})
}

// ResendIfUnopened is SendOpening for a caller that no answer has reached yet.
func (c *Caller) ResendIfUnopened() {
	if !c.opened && !c.Ended {
		c.SendOpening()
	}
}

// send sends a datagram to a random balancer.
func (c *Caller) send(d *datagram) {
	w := c.world
	alive := make([]*Balancer, 0, len(w.Balancers))
	for _, b := range w.Balancers {
		if !b.Dead && (w.partition == nil || w.partition.balancer != b) {
			alive = append(alive, b)
		}
	}
	if len(alive) == 0 {
		return
	}
	b := alive[w.random.IntN(len(alive))]
	from := c.address
	w.send(from, b.address, func() { b.forward(from, d) })
}

func (c *Caller) receive(d *datagram, refused bool) {
	if c.Ended || d.flow != c.Flow {
		return
	}
	c.lastAnswerAt = c.world.Now()
	if refused {
		c.world.Oracle.Verdict.Refused++
		c.world.Oracle.recordRefusalReceived(c.Flow)
		c.End()
		return
	}
	if c.opened {
		return
	}
	c.opened = true
	c.world.Oracle.Verdict.Opened++
	if !c.world.Options.NoRequests {
		c.world.After(requestInterval, c.sendRequests)
	}
}

// sendRequests sends a request at each interval, and ends a flow that is no
// longer answered as broken.
func (c *Caller) sendRequests() {
	if c.Ended {
		return
	}
	w := c.world
	if w.Now()-c.lastAnswerAt > answerTimeout {
		w.Oracle.Verdict.Broken++
		c.End()
		return
	}
	c.send(&datagram{flow: c.Flow, replyTo: c.address, caller: c})
	w.After(requestInterval, c.sendRequests)
}

func (c *Caller) abandonOpening() {
	if c.opened || c.Ended {
		return
	}
	c.world.Oracle.Verdict.Unopened++
	c.End()
}

// End closes the flow and removes it from the upstreams.
func (c *Caller) End() {
	if c.Ended {
		return
	}
	c.Ended = true
	c.world.Oracle.endFlow(c.Flow)
	delete(c.world.callers, c.address)
}

// ChangeAddress gives the caller a new address, as a NAT does that lost its
// mapping.
func (c *Caller) ChangeAddress() {
	w := c.world
	delete(w.callers, c.address)
	w.lastPort++
	c.address = callerAddress(w.lastPort)
	w.callers[c.address] = c
}
