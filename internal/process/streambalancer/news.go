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

// ownersPerParcel keeps a parcel with owners below the size of one frame: an
// owner takes some 36 bytes.
const ownersPerParcel = 36

// announceEvery is the least pause between announcements of new targets. It is part
// of settleTime, within which neighbours must have heard of a new target.
const announceEvery = 50 * clock.Millis(1)

// contactsPerParcel keeps a parcel with contacts below a few frames.
const contactsPerParcel = 60

// news is what this balancer, with a view of the targets, tells another one. The lock is
// held.
func (b *Balancer) news(view View, to netip.AddrPort) *wire.News {
	self := &b.peers.self
	return &wire.News{
		Chose: b.peers.Chose(to),
		Self:  peerContact(self),
		Epoch: self.Epoch, Digest: view.Digest, Lost: view.Lost, Watching: b.watching, Leaving: b.leaving,
		Settled: b.settled,
		Version: b.version(), Evacuations: b.evacuationNews(),
	}
}

func contact(a netip.AddrPort, name, domain, service string) *wire.Contact {
	return &wire.Contact{Address: segment.AppendAddress(nil, a), Name: name, Domain: domain, Service: service}
}

func peerContact(p *Peer) *wire.Contact {
	c := contact(p.Address, p.Name, p.Domain, "")
	c.Share = p.Share
	return c
}

// contacts is the targets and balancers that answer this one itself. Hearsay is
// not told on, or a lost process would be told around for ever.
func (b *Balancer) contacts(each func(a netip.AddrPort, c func() *wire.Contact)) {
	now := b.deps.Clock.Now()
	b.steerer.Targets.Each(func(t *stream.Target) {
		if t.Heard != 0 && !t.Lost(now) {
			each(t.Address, func() *wire.Contact { return contact(t.Address, t.Name, t.Domain, t.Service) })
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

// hash stands for a contact where balancers compare whom they know.
func hash(a netip.AddrPort) uint64 {
	var room [8]byte
	return xxh3.Hash(segment.AppendAddress(room[:0], a))
}

// view is what this balancer knows of the targets. Two balancers with the same digest have
// nothing to tell each other. A target that has fallen silent stays in it: balancers notice
// that at different times.
func (b *Balancer) view() View {
	now := b.deps.Clock.Now()
	v := View{}
	b.steerer.Targets.Each(func(t *stream.Target) {
		if t.Heard == 0 {
			return
		}
		h := hash(t.Address)
		v.Digest ^= h
		if t.Lost(now) {
			v.Lost ^= h
		}
	})
	return v
}

// tellNews tells the neighbours that are due. The lock is held.
func (b *Balancer) tellNews(now clock.Millis) {
	view := b.view()
	digest := view.Digest
	if digest != b.told && now.Sub(b.toldAt) > newsSoon {
		b.told, b.toldAt = digest, now
		b.tellAll(now)
	}
	b.tellAnnounced(now)
	b.setSettled(b.peers.Settled(now, digest, func(domain string) bool {
		return b.steerer.Targets.Complete(now, domain)
	}))
	b.steerer.Targets.SetSharers(len(b.peers.Near(now)) + 1)
	for _, p := range b.peers.Due(now) {
		n := b.news(view, p.Address)
		if p.Heard == 0 && b.peers.mayAsk(now, p) {
			b.question(n)
		}
		b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: n})
	}
	for _, p := range b.peers.Forget(now) {
		b.deps.Log.Info().Str("event", "peergone").Stringer("peer", p.Address).Str("name", p.Name).Send()
		if p.Name != "" && b.peers.First(now) {
			b.unregister(p)
		}
	}
}

// setSettled tells the decisions whether balancers agree on who there is.
func (b *Balancer) setSettled(settled bool) {
	if settled == b.settled {
		return
	}
	b.settled = settled
	b.steerer.SetSettled(settled)
	b.deps.Log.Info().Str("event", "settled").Bool("settled", settled).Int("targets", b.steerer.Targets.Len()).Send()
}

// question makes news ask for the contacts that this balancer does not know. It
// names also those that it no longer hears: it needs not be told of them.
func (b *Balancer) question(n *wire.News) {
	n.Ask = true
	add := func(a netip.AddrPort) { n.Known = append(n.Known, uint32(hash(a))) }
	b.steerer.Targets.Each(func(t *stream.Target) { add(t.Address) })
	b.peers.Each(func(p *Peer) { add(p.Address) })
	add(b.peers.self.Address)
}

// tellAll tells all neighbours and those whose neighbour this balancer is at once: a
// version has come into force, who is known has changed, or this balancer leaves.
func (b *Balancer) tellAll(now clock.Millis) {
	view := b.view()
	for _, p := range b.peers.Concerned(now) {
		p.told = now
		b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: b.news(view, p.Address)})
	}
}

// announce tells of a target that has just been heard. Several in quick succession are
// told together.
//
// When all VMs start at once, a datagram for each target and neighbour would take a small
// balancer's time while callers wait, and every balancer of a failure domain hears the
// same targets. So only relays tell their neighbours, and the others tell the relays.
func (b *Balancer) announce(now clock.Millis, t *stream.Target) {
	b.unannounced = append(b.unannounced, contact(t.Address, t.Name, t.Domain, t.Service))
	b.tellAnnounced(now)
}

// tellAnnounced tells of the targets that wait to be announced, if it is time.
func (b *Balancer) tellAnnounced(now clock.Millis) {
	if len(b.unannounced) == 0 || now.Sub(b.announced) < announceEvery {
		return
	}
	b.announced = now
	view := b.view()
	for all := range slices.Chunk(b.unannounced, contactsPerParcel) {
		for _, p := range b.peers.Announces(now) {
			n := b.news(view, p.Address)
			n.Contacts = all
			b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: n})
		}
	}
	b.unannounced = nil
}

// takeNews takes what another balancer tells. The lock is held.
func (b *Balancer) takeNews(now clock.Millis, from netip.AddrPort, n *wire.News) {
	if n == nil || n.Self == nil {
		return
	}
	fresh := b.peers.Hear(now, Peer{
		Address: from, Name: n.Self.Name, Domain: n.Self.Domain, Share: n.Self.Share, Epoch: n.Epoch, Version: n.Version,
		Watching: n.Watching, Leaving: n.Leaving, Settled: n.Settled, Chose: n.Chose,
		View: View{Digest: n.Digest, Lost: n.Lost},
	})
	b.hearEvacuations(now, n.Evacuations)
	learned := b.learn(now, from, n.Contacts)
	if n.Complete && !learned {
		b.peers.Covered(View{Digest: n.Digest, Lost: n.Lost})
	}
	if fresh {
		b.deps.Log.Info().Str("event", "peer").Stringer("peer", from).Str("name", n.Self.Name).
			Str("domain", n.Self.Domain).Uint64("version", n.Version).Send()
	}
	if n.Ask {
		b.tellContacts(from, n.Known)
	}
	view, theirs := b.view(), View{Digest: n.Digest, Lost: n.Lost}
	if view.Digest != theirs.Digest && b.peers.Ask(now, from, theirs) {
		q := b.news(view, from)
		b.question(q)
		b.send(from, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: q})
	}
	if fresh && n.Self.Domain == b.settings.Domain {
		b.tellOwners(now, from)
	}
	if n.Version > b.version() {
		b.wake()
	}
}

func (b *Balancer) version() uint64 {
	if t := b.steerer.Table(); t != nil {
		return t.Version
	}
	return 0
}

// learn takes contacts, and reports whether a target among them is new.
func (b *Balancer) learn(now clock.Millis, from netip.AddrPort, contacts []*wire.Contact) bool {
	learned := false
	for _, c := range contacts {
		a, err := segment.ParseAddress(c.Address)
		if err != nil {
			b.malformed.Record("parcels", from, err)
			continue
		}
		if c.Service == "" {
			b.peers.Learn(now, a, Peer{Name: c.Name, Domain: c.Domain, Share: c.Share})
			continue
		}
		if b.steerer.Targets.Learn(now, a, c.Name, c.Domain, c.Service) {
			learned = true
		}
	}
	return learned
}

// tellContacts tells another balancer whom it does not know, if only that there
// is nobody.
func (b *Balancer) tellContacts(to netip.AddrPort, known []uint32) {
	have := make(map[uint32]bool, len(known))
	for _, h := range known {
		have[h] = true
	}
	var all []*wire.Contact
	b.contacts(func(a netip.AddrPort, c func() *wire.Contact) {
		if !have[uint32(hash(a))] {
			all = append(all, c())
		}
	})
	complete := len(all) <= contactsPerParcel
	view := b.view()
	for {
		n := b.news(view, to)
		size := min(len(all), contactsPerParcel)
		n.Contacts, all = all[:size], all[size:]
		n.Complete = complete
		b.send(to, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: n})
		if len(all) == 0 {
			return
		}
	}
}

// tellOwners tells another balancer who owns the flows that this one knows: it
// takes over flows of this one, or has just started and gets some of them.
func (b *Balancer) tellOwners(now clock.Millis, to netip.AddrPort) {
	all := b.steerer.Owners(now)
	for len(all) > 0 {
		size := min(len(all), ownersPerParcel)
		b.send(to, &wire.Parcel{Verb: wire.Verb_VERB_OWNERS, Owners: &wire.Owners{Owners: all[:size]}})
		all = all[size:]
	}
}

// leave tells the neighbours that this balancer stops, and those of its failure
// domain the owners of its flows.
func (b *Balancer) leave(now clock.Millis) {
	b.tellAll(now)
	for _, p := range b.peers.Neighbours(now) {
		if p.Domain == b.settings.Domain {
			b.tellOwners(now, p.Address)
		}
	}
}

// unregister takes the entry of a lost balancer out of the directory.
func (b *Balancer) unregister(p *Peer) {
	b.parts.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		err := b.deps.Directory.Remove(ctx, p.Name, p.Address)
		b.deps.Log.Info().Str("event", "unregistered").Str("name", p.Name).AnErr("error", err).Send()
	})
}
