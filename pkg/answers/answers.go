// Package answers reads the questionnaire that operators fill in. The answers
// describe the services, the failure domains and what the users tolerate; the
// configuration is generated from them and never written by hand.
//
// # Usage
//
//	a, err := answers.Parse(data)
//	if err != nil { ... } // all errors, with line and column
//
// The format is YAML, decoded strictly: an unknown field is an error.
package answers

import (
	"errors"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/zeebo/errs"
)

// ErrAnswers is in the chain of every error about the content of answers.
var ErrAnswers = errs.New("answers")

// Weight selects which of two objectives has priority.
type Weight string

// Weights.
const (
	// Broken gives priority to avoiding broken flows: views are retained longer.
	Broken Weight = "broken"
	// Imbalance gives priority to balanced load: agents send their load more often.
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
	// Domains is the one-way delay between failure domains, Regions the delay
	// between regions, Callers the delay to the callers.
	Domains Duration `yaml:"domains"`
	Regions Duration `yaml:"regions,omitempty"`
	Callers Duration `yaml:"callers"`
	// Loss is the fraction of packets lost between failure domains.
	Loss float64 `yaml:"loss"`
}

// Service is one service with its address and its upstreams.
type Service struct {
	Name    string  `yaml:"name"`
	Address Address `yaml:"address"`
	// Upstreams are the prefixes of the upstream addresses that targets may announce.
	Upstreams []Prefix `yaml:"upstreams"`
	// Connections and Slots are the capacity of one target.
	Connections int `yaml:"connections"`
	Slots       int `yaml:"slots"`
	// Idle is the idle timeout of a flow. It must be no shorter than that of its
	// connections, which pause for seconds between retransmissions of a lost datagram.
	// Drain is how long a target may take to finish its flows, ColdStart how long it
	// takes to warm up.
	Idle      Duration `yaml:"idle"`
	Drain     Duration `yaml:"drain"`
	ColdStart Duration `yaml:"coldstart"`
}

// Parse decodes and validates answers. The returned error joins all validation
// errors; decoding stops at the first syntax error or unknown field.
func Parse(data []byte) (*Answers, error) {
	var a Answers
	if err := yaml.UnmarshalWithOptions(data, &a, yaml.Strict()); err != nil {
		return nil, newError("%s", yaml.FormatError(err, false, true))
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, newError("%s", yaml.FormatError(err, false, true))
	}
	c := &checker{file: file}
	c.answers(&a)
	if len(c.errors) > 0 {
		return nil, errors.Join(c.errors...)
	}
	return &a, nil
}
