// Package approval commits approved plans to the platform.
//
// # The model
//
// A Plan is a change as shown to an operator: the state it starts from, the state
// it leads to and a unique identifier. Commit writes the new records and then
// replaces the root on condition that it is still the one that the plan starts from.
//
// If two operators commit at the same time, the platform accepts one write of the
// root, and the other operator is shown the changes made since the plan. If the
// response to the write of the root is lost, Commit reads the root: its list of
// changes contains the plan's identifier if and only if the write took effect. So a
// plan can be committed any number of times and changes the configuration once.
//
// # Usage
//
//	base, err := approval.Load(ctx, store)
//	plan := approval.NewPlan(base, generated, author, time)
//	state, err := approval.Commit(ctx, store, plan)
package approval

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// RootName is the name of the one configuration object.
const RootName = "root"

// maxReadAttempts is how often Commit tries to read back a write whose response was
// lost before it reports that the outcome is unknown.
const maxReadAttempts = 3

// Errors of this package.
var (
	// ErrStale means that the configuration changed after the plan was made.
	ErrStale = errs.New("approval: the configuration has changed since the plan was made")
	// ErrOutcomeUnknown means that the write may have taken effect; the same plan
	// can be approved again to find out.
	ErrOutcomeUnknown = errs.New("approval: the outcome is unknown, approve the same plan again")
	// ErrInvalidPlan means that a plan is inconsistent or was edited.
	ErrInvalidPlan = errs.New("approval: invalid plan")
)

// Plan is one change as shown to an operator.
type Plan struct {
	ID   string       `json:"id"`
	Base uint64       `json:"base"`
	From config.State `json:"-"`
	To   config.State `json:"to"`
}

// NewPlan returns the plan that leads from base to the state to. now is the
// operator's wall-clock time, for display only.
func NewPlan(base *config.State, to *config.State, author, now string) *Plan {
	p := &Plan{ID: uuid.NewString(), Base: base.Root.Version, From: *base, To: *to}
	change := config.Change{ID: p.ID, Author: author, Time: now, Summary: config.Compare(base, to)}
	p.To.Root.SetNextVersion(&base.Root, change)
	return p
}

// Check returns an error if the plan was edited: each record's name must be the hash
// of its content, and the plan's version must follow its base.
func (p *Plan) Check() error {
	if _, ok := p.To.Root.FindChange(p.ID); !ok || p.To.Root.Version != p.Base+1 {
		return ErrInvalidPlan
	}
	for name, record := range p.To.Records {
		if config.NameOf(record) != name {
			return errs.Combine(ErrInvalidPlan, errs.New("record %s was edited", name))
		}
	}
	return p.To.Check()
}

// Load reads the state from the platform. Without a configuration it returns the
// empty state, version 0.
func Load(ctx context.Context, store platform.Store) (*config.State, error) {
	state, _, err := load(ctx, store)
	return state, err
}

// LoadKnown is like Load but reads only the records that the earlier state known
// lacks. It also returns the resource version from which a watch reports later changes:
// that of the list, as the platform's history may not reach back to that of the root.
func LoadKnown(ctx context.Context, store platform.Store, known *config.State) (*config.State, uint64, error) {
	list, err := store.List(ctx, platform.Configurations)
	if err != nil {
		return nil, 0, err
	}
	i := slices.IndexFunc(list.Items, func(o platform.Object) bool { return o.Metadata.Name == RootName })
	if i < 0 {
		return emptyState(), list.Metadata.ResourceVersion, nil
	}
	state, err := parseRoot(ctx, store, list.Items[i], known)
	return state, list.Metadata.ResourceVersion, err
}

// load returns the state and the resource version of the root.
func load(ctx context.Context, store platform.Store) (*config.State, uint64, error) {
	o, err := store.Get(ctx, platform.Configurations, RootName)
	if errors.Is(err, platform.ErrNotFound) {
		return emptyState(), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	state, err := parseRoot(ctx, store, o, nil)
	return state, o.Metadata.ResourceVersion, err
}

func emptyState() *config.State {
	return &config.State{Records: map[string]*config.Service{}}
}

// parseRoot returns the state of a root, whose records it reads unless known has them.
func parseRoot(ctx context.Context, store platform.Store, root platform.Object, known *config.State) (*config.State, error) {
	state := emptyState()
	if err := json.Unmarshal(root.Spec, &state.Root); err != nil {
		return nil, errs.Wrap(err)
	}
	if known != nil && known.Root.Version == state.Root.Version {
		return known, nil
	}
	if err := loadRecords(ctx, store, state, known); err != nil {
		return nil, err
	}
	return state, nil
}

// minMissingForList is the number of missing records from which one list of all
// records is cheaper for the platform than one call per record.
const minMissingForList = 4

func loadRecords(ctx context.Context, store platform.Store, state *config.State, known *config.State) error {
	var missing []string
	for _, e := range state.Root.Services {
		if known != nil && known.Records[e.RecordName] != nil {
			state.Records[e.RecordName] = known.Records[e.RecordName]
			continue
		}
		missing = append(missing, e.RecordName)
	}
	if len(missing) >= minMissingForList {
		return listRecords(ctx, store, state, missing)
	}
	for _, name := range missing {
		o, err := store.Get(ctx, platform.Services, name)
		if err != nil {
			return err
		}
		if err := addRecord(state, o); err != nil {
			return err
		}
	}
	return state.Check()
}

func listRecords(ctx context.Context, store platform.Store, state *config.State, missing []string) error {
	isMissing := map[string]bool{}
	for _, name := range missing {
		isMissing[name] = true
	}
	list, err := store.List(ctx, platform.Services)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		if !isMissing[o.Metadata.Name] {
			continue
		}
		if err := addRecord(state, o); err != nil {
			return err
		}
	}
	return state.Check()
}

func addRecord(state *config.State, o platform.Object) error {
	record := &config.Service{}
	if err := json.Unmarshal(o.Spec, record); err != nil {
		return errs.Wrap(err)
	}
	state.Records[o.Metadata.Name] = record
	return nil
}

// Commit puts the plan into effect and returns the state that the platform holds
// afterwards.
func Commit(ctx context.Context, store platform.Store, p *Plan) (*config.State, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	current, version, err := load(ctx, store)
	if err != nil {
		return nil, err
	}
	if _, done := current.Root.FindChange(p.ID); done {
		return current, nil
	}
	if current.Root.Version != p.Base {
		return nil, staleError(p, current)
	}
	if err := writeRecords(ctx, store, current, &p.To); err != nil {
		return nil, err
	}
	return resolveOutcome(ctx, store, p, writeRoot(ctx, store, &p.To.Root, version))
}

// staleError returns an ErrStale that lists the changes made since the plan's base.
func staleError(p *Plan, current *config.State) error {
	var lines []string
	for _, c := range current.Root.Changes {
		if c.Version > p.Base {
			lines = append(lines, fmt.Sprintf("version %d by %s: %s", c.Version, c.Author, strings.Join(c.Summary, "; ")))
		}
	}
	return fmt.Errorf("%w: planned on version %d, now %d\n%s", ErrStale, p.Base, current.Root.Version, strings.Join(lines, "\n"))
}

func writeRecords(ctx context.Context, store platform.Store, current, to *config.State) error {
	for _, e := range to.Root.Services {
		if current.Records[e.RecordName] != nil {
			continue
		}
		_, err := store.Create(ctx, platform.Services, e.RecordName, to.Records[e.RecordName])
		// The record is named by its content: an existing one is identical and comes
		// from an earlier attempt or a plan that was not approved.
		if err == nil || errors.Is(err, platform.ErrExists) {
			continue
		}
		if err := confirmRecord(ctx, store, e.RecordName, err); err != nil {
			return err
		}
	}
	return nil
}

// confirmRecord reads back a record if the response to its write was lost.
func confirmRecord(ctx context.Context, store platform.Store, name string, err error) error {
	if !errors.Is(err, platform.ErrUnknown) {
		return err
	}
	for range maxReadAttempts {
		if _, e := store.Get(ctx, platform.Services, name); e == nil {
			return nil
		}
	}
	return errs.Combine(ErrOutcomeUnknown, err)
}

func writeRoot(ctx context.Context, store platform.Store, root *config.Root, version uint64) error {
	if version == 0 {
		_, err := store.Create(ctx, platform.Configurations, RootName, root)
		return err
	}
	data, err := json.Marshal(root)
	if err != nil {
		return errs.Wrap(err)
	}
	_, err = store.Update(ctx, platform.Configurations, platform.Object{
		Metadata: platform.Metadata{Name: RootName, ResourceVersion: version}, Spec: data,
	})
	return err
}

// resolveOutcome determines whether the write of the root took effect, or returns
// ErrOutcomeUnknown. A conflict may stem from this plan's own write whose response
// was lost, so it is read back as well.
func resolveOutcome(ctx context.Context, store platform.Store, p *Plan, err error) (*config.State, error) {
	if err == nil {
		return &p.To, nil
	}
	conflict := errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrExists)
	if !conflict && !errors.Is(err, platform.ErrUnknown) {
		return nil, err
	}
	for range maxReadAttempts {
		current, _, e := load(ctx, store)
		if e != nil {
			continue
		}
		if _, done := current.Root.FindChange(p.ID); done {
			return current, nil
		}
		if conflict {
			return nil, staleError(p, current)
		}
		// The root is not the plan's and the response to the write was lost: the
		// write may still be in progress, so the outcome stays unknown.
	}
	return nil, errs.Combine(ErrOutcomeUnknown, err)
}
