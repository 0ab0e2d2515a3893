// Package platform is a client of the platform's object service, the system's only
// persistent storage.
//
// # The model
//
// Objects have a kind, a name, a resource version and a JSON value. An update
// or a deletion specifies the resource version that it replaces and fails with
// ErrConflict if the object has another one. A watch starts at a list's version
// and reports each later change; if that version is too old it fails with ErrGone,
// and the watcher lists again.
//
// # Usage
//
//	c := platform.NewClient("192.0.2.10:8001")
//	o, err := c.Get(ctx, platform.Configurations, "root")
//	o.Spec = ...
//	o, err = c.Update(ctx, platform.Configurations, o)
//
// ErrUnknown means that the response to a write was lost, so the write may have
// taken effect. The caller reads the object back before it retries.
package platform

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"
)

// Kind is a kind of object.
type Kind string

// Kinds of objects that the system uses.
const (
	Configurations Kind = "configurations"
	Services       Kind = "services"
	Processes      Kind = "processes"
	Incarnations   Kind = "incarnations"
	Ledgers        Kind = "ledgers"
	Checkpoints    Kind = "checkpoints"
	Evacuations    Kind = "evacuations"
)

// Errors of this package, tested with errors.Is.
var (
	ErrNotFound    = errs.New("platform: not found")
	ErrExists      = errs.New("platform: exists")
	ErrConflict    = errs.New("platform: changed by another writer")
	ErrGone        = errs.New("platform: version too old to watch from")
	ErrUnavailable = errs.New("platform: unavailable, nothing was written")
	ErrUnknown     = errs.New("platform: response lost, the write may have taken effect")
	ErrInvalid     = errs.New("platform: request rejected")
)

// Metadata identifies one version of an object.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion increases with each write to the service.
	ResourceVersion uint64 `json:"resourceVersion,string"`
}

// Object is one object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// List holds all objects of a kind at one version.
type List struct {
	Metadata Metadata `json:"metadata"`
	Items    []Object `json:"items"`
}

// EventType is the type of a change to an object.
type EventType string

// Event types.
const (
	Added    EventType = "ADDED"
	Modified EventType = "MODIFIED"
	Deleted  EventType = "DELETED"
	Failed   EventType = "ERROR"
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Store is the part of the platform's API that the system uses.
type Store interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	List(ctx context.Context, kind Kind) (List, error)
	Create(ctx context.Context, kind Kind, name string, spec any) (Object, error)
	Update(ctx context.Context, kind Kind, o Object) (Object, error)
	Delete(ctx context.Context, kind Kind, o Object) error
	// Watch calls each for every change after the version. It returns an error
	// when the context ends, the stream breaks or each fails.
	Watch(ctx context.Context, kind Kind, after uint64, each func(Event) error) error
}
