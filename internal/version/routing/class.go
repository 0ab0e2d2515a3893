package routing

import (
	"fmt"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// MaxPriority is the largest value of Class.Priority.
const MaxPriority = 15

// maxClassTime bounds the times of a class.
const maxClassTime = 24 * clock.Hour

// Class describes the requests that callers send over a listener's flows. It takes effect
// only under load, where it decides whose requests are served first.
type Class struct {
	// Priority orders the classes; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// Repeatable is set if callers may repeat a request that may have run.
	Repeatable bool `json:"repeatable,omitempty"`
	// Objective is the latency within which a request counts as served in time, and Limit
	// the one after which its caller has given up. Zero means that none is stated.
	Objective clock.Millis `json:"objective,omitempty"`
	Limit     clock.Millis `json:"limit,omitempty"`
}

// Check returns the first error in a class.
func (c *Class) Check() error {
	switch {
	case c.Priority < 0 || c.Priority > MaxPriority:
		return fmt.Errorf("%w: priority %d is not within 0 and %d", ErrClass, c.Priority, MaxPriority)
	case c.Objective < 0 || c.Limit < 0:
		return fmt.Errorf("%w: negative objective %d or limit %d", ErrClass, c.Objective, c.Limit)
	case c.Objective > maxClassTime || c.Limit > maxClassTime:
		return fmt.Errorf("%w: objective %d or limit %d beyond a day", ErrClass, c.Objective, c.Limit)
	case c.Limit > 0 && c.Objective > c.Limit:
		return fmt.Errorf("%w: objective %d is beyond the limit %d", ErrClass, c.Objective, c.Limit)
	}
	return nil
}

// MinObjective returns the shortest objective of the classes, or zero if none states one.
func (t *Table) MinObjective() clock.Millis {
	return t.minObjective
}

// Class returns the class of a flow's requests, or nil if its listener has none.
func (t *Table) Class(f segment.Flow) *Class {
	if l, ok := t.byAddress[f.Listener]; ok {
		return l.Class
	}
	return nil
}
