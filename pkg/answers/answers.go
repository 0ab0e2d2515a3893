// Package answers reads the questionnaire that operators fill in. The answers
// describe the services, the failure domains and what the users tolerate; the
// configuration is generated from them and never written by hand.
//
// # Usage
//
//	a, err := answers.Parse(data)
//	if err != nil { ... } // every mistake, with line and column
//
// The format is YAML, read strictly: an unknown field is a mistake.
package answers

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/zeebo/errs"
)

// ErrAnswers is in the chain of every error about the content of answers.
var ErrAnswers = errs.New("answers")

// Weight says which of the two measures counts more.
type Weight string

// Weights.
const (
	// Broken flows count more: views are kept longer.
	Broken Weight = "broken"
	// Imbalance counts more: load is told more often.
	Imbalance Weight = "imbalance"
)

// Answers is one filled-in questionnaire.
type Answers struct {
	Deployment string    `yaml:"deployment"`
	Weight     Weight    `yaml:"weight"`
	Domains    []Domain  `yaml:"domains"`
	Delays     Delays    `yaml:"delays"`
	Services   []Service `yaml:"services"`
}

// Domain is one failure domain.
type Domain struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Delays describes the network.
type Delays struct {
	// Domains is the one-way delay between failure domains, Regions that
	// between regions, Callers that to the callers.
	Domains Duration `yaml:"domains"`
	Regions Duration `yaml:"regions,omitempty"`
	Callers Duration `yaml:"callers"`
	// Loss is the share of packets lost between failure domains.
	Loss float64 `yaml:"loss"`
}

// Service is one service with its address and its upstreams.
type Service struct {
	Name    string  `yaml:"name"`
	Address Address `yaml:"address"`
	// Upstreams are the prefixes from which targets may announce themselves.
	Upstreams []Prefix `yaml:"upstreams"`
	// Connections and Slots are the capacity of one target.
	Connections int `yaml:"connections"`
	Slots       int `yaml:"slots"`
	// Idle is how long a flow may be silent: no shorter than the idle time of its
	// connections, which pause for seconds between two copies of a lost datagram.
	// Drain is how long a target may take to finish its flows, ColdStart how long it
	// takes to warm up.
	Idle      Duration `yaml:"idle"`
	Drain     Duration `yaml:"drain"`
	ColdStart Duration `yaml:"coldstart"`
}

// Parse reads and checks answers. The error names every mistake of meaning at
// once; a mistake of form ends the reading where it stands.
func Parse(data []byte) (*Answers, error) {
	var a Answers
	if err := yaml.UnmarshalWithOptions(data, &a, yaml.Strict()); err != nil {
		return nil, mistake("%s", yaml.FormatError(err, false, true))
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, mistake("%s", yaml.FormatError(err, false, true))
	}
	c := &checker{file: file}
	c.answers(&a)
	if len(c.found) > 0 {
		return nil, errors.Join(c.found...)
	}
	return &a, nil
}
