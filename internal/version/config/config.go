// Package config defines a version of the configuration: how it is generated
// from answers, how two versions differ, and how a delta is applied.
//
// # The model
//
// A configuration is a Root and, for each service, an immutable Service
// record that is named by a hash of its content. The platform stores them as
// objects. The root is the commit point: a change first writes the new records,
// then replaces the root on condition that it has not changed since the operator
// read it. A record that no root refers to is harmless.
//
// The root's version only increases, and every process accepts only a higher one.
// The root lists the identifiers of recent changes, so that after a lost response
// an operator can read the root and see whether the change took effect.
//
// For example, version 7 refers to quote-session@a81c. A change of its drain
// timeout writes record 77f0, then root 8, which refers to quote-session@77f0. A
// process at version 7 needs one record and one root entry to reach version 8.
package config

import (
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Errors of this package.
var (
	// ErrIncomplete means that a root refers to a record that the state lacks.
	ErrIncomplete = errs.New("config: a service's record is missing")
	// ErrBaseVersion means that a delta does not start at the current version.
	ErrBaseVersion = errs.New("config: delta does not start at the current version")
)

// maxChanges is how many changes the root retains. The outcome of an approval is
// known within minutes; at 1,100 changes a day the list covers five hours.
const maxChanges = 256

// Service is the configuration of one service.
type Service struct {
	Name      string         `json:"name"`
	Number    uint32         `json:"number"`
	Address   netip.AddrPort `json:"address"`
	Upstreams []netip.Prefix `json:"upstreams"`
	// MaxFlows bounds the open flows of one target.
	MaxFlows int `json:"flows"`
	Slots    int `json:"slots"`
	// Times in milliseconds.
	IdleTimeout       clock.Millis `json:"idle"`
	UnansweredTimeout clock.Millis `json:"opening"`
	DrainTimeout      clock.Millis `json:"drain"`
	RampTime          clock.Millis `json:"ramp"`
	DigestInterval    clock.Millis `json:"digest"`
	ResendWindow      clock.Millis `json:"resend"`
}

// AllowsUpstream reports whether a target with the given upstream address may
// serve the service.
func (s *Service) AllowsUpstream(upstream netip.Addr) bool {
	return slices.ContainsFunc(s.Upstreams, func(p netip.Prefix) bool { return p.Contains(upstream) })
}

// Timing holds the deployment-wide intervals and timeouts, in milliseconds.
type Timing struct {
	HeartbeatInterval clock.Millis `json:"heartbeat"`
	SuspectTimeout    clock.Millis `json:"suspect"`
	Retention         clock.Millis `json:"retain"`
	LingerTime        clock.Millis `json:"linger"`
	LeaseDuration     clock.Millis `json:"lease"`
}

// Domain is one failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Entry refers to the record of one service.
type Entry struct {
	Name       string `json:"name"`
	Number     uint32 `json:"number"`
	RecordName string `json:"record"`
}

// Drain is an operator's request to drain a target.
type Drain struct {
	Service string `json:"service"`
	Target  string `json:"target"`
}

// Change is one approved change.
type Change struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	// Time is the operator's wall-clock time, for display only.
	Time    string   `json:"time"`
	Summary []string `json:"summary"`
}

// Root is the commit point of a configuration.
type Root struct {
	Version    uint64   `json:"version"`
	Deployment string   `json:"deployment"`
	Domains    []Domain `json:"domains"`
	Timing     Timing   `json:"timing"`
	Services   []Entry  `json:"services"`
	Drains     []Drain  `json:"drains"`
	// NextNumber is the number of the next new service. Numbers are not reused,
	// so a late envelope of a removed service never reaches another one.
	NextNumber uint32   `json:"next"`
	Changes    []Change `json:"changes"`
}

// State is a root with all records that it refers to.
type State struct {
	Root    Root                `json:"root"`
	Records map[string]*Service `json:"records"`
}

// NameOf returns the name of a record: a hash of its content.
func NameOf(s *Service) string {
	data, err := json.Marshal(s)
	if err != nil {
		// A Service has no field that JSON cannot encode.
		panic(err)
	}
	sum := xxh3.Hash128(data).Bytes()
	return hex.EncodeToString(sum[:])
}

// Service returns a service's record by the service's name.
func (s *State) Service(name string) (*Service, bool) {
	i, ok := slices.BinarySearchFunc(s.Root.Services, name, func(e Entry, n string) int {
		return strings.Compare(e.Name, n)
	})
	if !ok {
		return nil, false
	}
	r, ok := s.Records[s.Root.Services[i].RecordName]
	return r, ok
}

// Draining reports whether an operator requested that a target be drained.
func (s *State) Draining(service, target string) bool {
	return slices.Contains(s.Root.Drains, Drain{Service: service, Target: target})
}

// FindChange returns the change with the given identifier, if the root still
// lists it.
func (r *Root) FindChange(id string) (Change, bool) {
	for _, c := range r.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// SetNextVersion makes r the version after base and appends the change c to the
// changes of base.
func (r *Root) SetNextVersion(base *Root, c Change) {
	r.Version = base.Version + 1
	c.Version = r.Version
	changes := append(slices.Clone(base.Changes), c)
	r.Changes = changes[max(0, len(changes)-maxChanges):]
}

// Check returns ErrIncomplete if the root refers to a record that the state lacks.
func (s *State) Check() error {
	for _, e := range s.Root.Services {
		if _, ok := s.Records[e.RecordName]; !ok {
			return ErrIncomplete
		}
	}
	return nil
}
