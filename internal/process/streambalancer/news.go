package streambalancer

import (
	"context"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// maxOwnersPerParcel keeps a parcel with owners below the size of one frame: an owner takes
// some 36 bytes.
const maxOwnersPerParcel = 36

// announceInterval is the minimum interval between announcements of new targets. It is part
// of settleTime, within which neighbours must have heard of a new target.
const announceInterval = 50 * clock.Millis(1)

// maxContactsPerParcel keeps a parcel with contacts below a few frames.
const maxContactsPerParcel = 60

// buildNews returns this balancer's news for a peer, with its view of the targets. The
// caller holds the lock.
func (b *Balancer) buildNews(view View, to netip.AddrPort) *wire.News {
	self := &b.peers.self
	return &wire.News{
		Chose: b.peers.IsNeighbour(to),
		Self:  peerContact(self),
		Epoch: self.Epoch, Digest: view.Digest, Lost: view.Lost, Watching: b.watching, Leaving: b.leaving,
		Duties: uint32(b.duties), Failing: uint32(b.failing),
		Settled: b.settled, Takes: true,
		Version: b.tableVersion(), Evacuations: b.evacuationsMessage(),
		Resting: b.rotation.Resting(), Lateness: encodeLateness(b.rotation.Lateness.Mean()),
	}
}

func newContact(a netip.AddrPort, name, domain, service string) *wire.Contact {
	return &wire.Contact{Address: segment.AppendAddress(nil, a), Name: name, Domain: domain, Service: service}
}

func peerContact(p *Peer) *wire.Contact {
	c := newContact(p.Address, p.Name, p.Domain, "")
	c.Share = p.CPUShare
	return c
}

// eachContact visits the targets and balancers that this balancer hears from directly.
// Contacts named by third parties are not passed on, or a lost process would circulate
// forever.
func (b *Balancer) eachContact(each func(a netip.AddrPort, c func() *wire.Contact)) {
	now := b.deps.Clock.Now()
	b.steerer.Targets.Each(func(t *stream.Target) {
		if t.HeardAt != 0 && !t.Lost(now) {
			each(t.Address, func() *wire.Contact { return newContact(t.Address, t.Name, t.Domain, t.Service) })
		}
	})
	b.peers.Each(func(p *Peer) {
		if p.Live(now) {
			each(p.Address, func() *wire.Contact { return peerContact(p) })
		}
	})
	self := &b.peers.self
	each(self.Address, func() *wire.Contact { return peerContact(self) })
}

// addressHash identifies a contact when balancers compare which ones they know.
func addressHash(a netip.AddrPort) uint64 {
	var buf [8]byte
	return xxh3.Hash(segment.AppendAddress(buf[:0], a))
}

// targetView summarizes the targets that this balancer knows. Two balancers with the same
// digest have nothing to exchange. A target that has become silent stays in the digest, as
// balancers notice the silence at different times.
func (b *Balancer) targetView() View {
	now := b.deps.Clock.Now()
	v := View{}
	b.steerer.Targets.Each(func(t *stream.Target) {
		if t.HeardAt == 0 {
			return
		}
		h := addressHash(t.Address)
		v.Digest ^= h
		if t.Lost(now) {
			v.Lost ^= h
		}
	})
	return v
}

// sendDueNews sends news to the peers that are due. The caller holds the lock.
func (b *Balancer) sendDueNews(now clock.Millis) {
	view := b.targetView()
	digest := view.Digest
	if digest != b.sentDigest && now.Sub(b.sentDigestAt) > minChangeNewsInterval {
		b.sentDigest, b.sentDigestAt = digest, now
		b.broadcastNews(now)
	}
	b.sendAnnouncements(now)
	if b.peers.listing != nil {
		b.peers.listing.update(now, b.steerer.Targets)
	}
	b.setSettled(now, b.peers.Settled(now, digest, func(domain string) bool {
		return b.steerer.Targets.Complete(now, domain)
	}))
	b.steerer.Targets.SetBalancers(b.peers.countActive(now) + 1)
	for _, p := range b.peers.DueForNews(now) {
		n := b.buildNews(view, p.Address)
		if p.HeardAt == 0 && b.peers.allowContactRequest(now, p) {
			b.addContactRequest(n)
		}
		b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: n})
	}
	for _, p := range b.peers.RemoveSilent(now) {
		b.deps.Log.Info().Str("event", "peergone").Stringer("peer", p.Address).Str("name", p.Name).Send()
		if p.Name != "" && p.Domain != "" && b.peers.removesEntries(now) {
			b.unregister(p)
		}
	}
}

// setSettled passes to the steerer whether balancers agree on the known targets.
func (b *Balancer) setSettled(now clock.Millis, settled bool) {
	if settled == b.settled {
		return
	}
	b.settled = settled
	b.steerer.SetSettled(settled)
	if settled && !b.peers.confirmed {
		// The others of a fleet that has just started wait for a settled balancer.
		b.broadcastNews(now)
	}
	b.deps.Log.Info().Str("event", "settled").Bool("settled", settled).Bool("confirmed", b.peers.confirmed).Int("targets", b.steerer.Targets.Len()).Send()
}

// addContactRequest makes news request the contacts that this balancer does not know. The
// known ones include those that it no longer hears from, so that they are not sent again.
func (b *Balancer) addContactRequest(n *wire.News) {
	n.Ask = true
	add := func(a netip.AddrPort) { n.Known = append(n.Known, uint32(addressHash(a))) }
	b.steerer.Targets.Each(func(t *stream.Target) { add(t.Address) })
	b.peers.Each(func(p *Peer) { add(p.Address) })
	add(b.peers.self.Address)
}

// broadcastNews sends news at once to all neighbours and all balancers that have this one
// as a neighbour: after a version was activated, the known targets changed, or this
// balancer leaves.
func (b *Balancer) broadcastNews(now clock.Millis) {
	b.sendNews(now, b.peers.ChangeRecipients(now))
}

// broadcastRoles sends news at once also to the other balancers of the failure domain: one
// of them takes over a role, or all of them leave it to this balancer.
func (b *Balancer) broadcastRoles(now clock.Millis) {
	b.sendNews(now, b.peers.RoleRecipients(now))
}

func (b *Balancer) sendNews(now clock.Millis, to []*Peer) {
	view := b.targetView()
	for _, p := range to {
		p.newsSentAt = now
		b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: b.buildNews(view, p.Address)})
	}
}

// queueAnnouncement announces a target that was heard from for the first time. Several in
// quick succession are announced together.
//
// When all VMs start at once, a datagram for each target and neighbour would use up a small
// balancer's CPU time while callers wait, and every balancer of a failure domain hears from
// the same targets. So only relays announce to their neighbours, and the others to the
// relays.
func (b *Balancer) queueAnnouncement(now clock.Millis, t *stream.Target) {
	b.unannounced = append(b.unannounced, newContact(t.Address, t.Name, t.Domain, t.Service))
	b.sendAnnouncements(now)
}

// sendAnnouncements sends pending announcements if announceInterval has passed.
func (b *Balancer) sendAnnouncements(now clock.Millis) {
	if len(b.unannounced) == 0 || now.Sub(b.announcedAt) < announceInterval {
		return
	}
	b.announcedAt = now
	view := b.targetView()
	for all := range slices.Chunk(b.unannounced, maxContactsPerParcel) {
		for _, p := range b.peers.AnnouncementRecipients(now) {
			n := b.buildNews(view, p.Address)
			n.Contacts = all
			b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: n})
		}
	}
	b.unannounced = nil
}

// handleNews handles news from another balancer. The caller holds the lock.
func (b *Balancer) handleNews(now clock.Millis, from netip.AddrPort, n *wire.News) {
	if n == nil || n.Self == nil {
		return
	}
	before := b.peers.announcement(from)
	isNew := b.peers.Update(now, Peer{
		Address: from, Name: n.Self.Name, Domain: n.Self.Domain, CPUShare: n.Self.Share, Epoch: n.Epoch, Version: n.Version,
		Watching: n.Watching, Duties: Duties(n.Duties), Failing: Duties(n.Failing), Leaving: n.Leaving, Settled: n.Settled, ChoseThis: n.Chose,
		Takes: n.Takes, View: View{Digest: n.Digest, Lost: n.Lost}, Resting: n.Resting, Lateness: decodeLateness(n.Lateness),
	})
	if b.peers.former.TakeReturned(from, n.Epoch) {
		b.checkRegistration()
	}
	if n.Leaving {
		b.steerer.Targets.ForgetRelay(from)
	}
	b.handleEvacuations(now, n.Evacuations)
	learned := b.learnContacts(now, from, n.Contacts)
	if n.Complete && !learned {
		b.peers.MarkCovered(View{Digest: n.Digest, Lost: n.Lost})
	}
	if isNew {
		b.deps.Log.Info().Str("event", "peer").Stringer("peer", from).Str("name", n.Self.Name).
			Str("domain", n.Self.Domain).Uint64("version", n.Version).Send()
	}
	if n.Ask {
		b.sendContacts(from, n.Known)
	}
	view, theirs := b.targetView(), View{Digest: n.Digest, Lost: n.Lost}
	if view.Digest != theirs.Digest && b.peers.StartContactRequest(now, from, theirs) {
		q := b.buildNews(view, from)
		b.addContactRequest(q)
		b.send(from, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: q})
	}
	if isNew && n.Self.Domain == b.settings.Domain {
		b.sendOwners(now, from)
	}
	if after := b.peers.announcement(from); after != before {
		b.handleWatch(now, before.watching, after.watching)
		b.handleDuties(now)
	}
	if inForce := b.tableVersion(); n.Version > inForce {
		b.lag.Hear(now, n.Version, inForce)
		b.wakeConfig()
	}
}

func (b *Balancer) tableVersion() uint64 {
	if t := b.steerer.Table(); t != nil {
		return t.Version
	}
	return 0
}

// learnContacts adds contacts, and reports whether a target among them is new.
func (b *Balancer) learnContacts(now clock.Millis, from netip.AddrPort, contacts []*wire.Contact) bool {
	learned := false
	for _, c := range contacts {
		a, err := segment.ParseAddress(c.Address)
		if err != nil {
			b.malformed.Record("parcels", from, err)
			continue
		}
		if c.Service == "" {
			b.peers.Learn(now, a, Peer{Name: c.Name, Domain: c.Domain, CPUShare: c.Share})
			continue
		}
		if b.steerer.Targets.Learn(now, a, c.Name, c.Domain, c.Service) {
			learned = true
		}
	}
	return learned
}

// sendContacts sends another balancer the contacts that it does not know, even if there are
// none.
func (b *Balancer) sendContacts(to netip.AddrPort, known []uint32) {
	have := make(map[uint32]bool, len(known))
	for _, h := range known {
		have[h] = true
	}
	var all []*wire.Contact
	b.eachContact(func(a netip.AddrPort, c func() *wire.Contact) {
		if !have[uint32(addressHash(a))] {
			all = append(all, c())
		}
	})
	complete := len(all) <= maxContactsPerParcel
	view := b.targetView()
	for {
		n := b.buildNews(view, to)
		size := min(len(all), maxContactsPerParcel)
		n.Contacts, all = all[:size], all[size:]
		n.Complete = complete
		b.send(to, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: n})
		if len(all) == 0 {
			return
		}
	}
}

// sendOwners sends another balancer the owners of the flows that this one knows, because it
// takes over flows from this one, or has just started and receives some of them.
func (b *Balancer) sendOwners(now clock.Millis, to netip.AddrPort) {
	all := b.steerer.Owners(now)
	for len(all) > 0 {
		size := min(len(all), maxOwnersPerParcel)
		b.send(to, &wire.Parcel{Verb: wire.Verb_VERB_OWNERS, Owners: &wire.Owners{Owners: all[:size]}})
		all = all[size:]
	}
}

// sendLeave notifies the neighbours that this balancer stops, and sends those of its
// failure domain the owners of its flows.
func (b *Balancer) sendLeave(now clock.Millis) {
	b.broadcastNews(now)
	for _, p := range b.peers.Neighbours(now) {
		if p.Domain == b.settings.Domain {
			b.sendOwners(now, p.Address)
		}
	}
}

// unregister removes the entry of a lost balancer from the directory.
func (b *Balancer) unregister(p *Peer) {
	b.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := b.deps.Directory.Remove(ctx, p.Domain, p.Name, p.Address)
		b.deps.Log.Info().Str("event", "unregistered").Str("name", p.Name).AnErr("error", err).Send()
	})
}
