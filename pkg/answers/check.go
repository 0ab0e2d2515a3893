package answers

import (
	"fmt"
	"regexp"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Limits for which the system is designed.
const (
	maxServices    = 4096
	maxDomains     = 64
	maxConnections = 200000
	maxDelay       = 2 * time.Second
	maxLoss        = 0.5
	minIdle        = time.Second
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// contentError is an error about the content of answers. It wraps ErrAnswers.
type contentError struct{ text string }

func (w *contentError) Error() string { return w.text }
func (w *contentError) Unwrap() error { return ErrAnswers }

func newError(format string, args ...any) error {
	return &contentError{text: fmt.Sprintf(format, args...)}
}

// checker collects the validation errors, each with its position in the file.
type checker struct {
	file   *ast.File
	errors []error
}

func (c *checker) addError(path, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.errors = append(c.errors, newError("%s%s: %s", c.position(path), path, text))
}

// position returns the line and column of a path. For a missing field it returns
// those of the nearest parent that the file contains.
func (c *checker) position(path string) string {
	for p := path; p != ""; p = parentPath(p) {
		y, err := yaml.PathString("$." + p)
		if err != nil {
			continue
		}
		node, err := y.FilterFile(c.file)
		if err != nil || node == nil {
			continue
		}
		at := node.GetToken().Position
		return fmt.Sprintf("%d:%d: ", at.Line, at.Column)
	}
	return "1:1: "
}

func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

func (c *checker) answers(a *Answers) {
	if !namePattern.MatchString(a.Deployment) {
		c.addError("deployment", "want a name of lower-case letters, digits and dashes")
	}
	if a.Weight != Broken && a.Weight != Imbalance {
		c.addError("weight", "want %q or %q: the objective that has priority", Broken, Imbalance)
	}
	c.domains(a.Domains)
	c.delays(a.Delays)
	c.services(a.Services)
}

func (c *checker) domains(domains []Domain) {
	if len(domains) == 0 || len(domains) > maxDomains {
		c.addError("domains", "want 1 to %d failure domains, not %d", maxDomains, len(domains))
	}
	seen := map[string]bool{}
	for i, d := range domains {
		path := fmt.Sprintf("domains[%d]", i)
		if !namePattern.MatchString(d.Name) {
			c.addError(path+".name", "want a name of lower-case letters, digits and dashes")
		}
		if !namePattern.MatchString(d.Region) {
			c.addError(path+".region", "want a name of lower-case letters, digits and dashes")
		}
		if seen[d.Name] {
			c.addError(path+".name", "%q is listed twice", d.Name)
		}
		seen[d.Name] = true
	}
}

func (c *checker) delays(d Delays) {
	c.duration("delays.domains", d.Domains, 0, maxDelay)
	c.duration("delays.regions", d.Regions, 0, maxDelay)
	c.duration("delays.callers", d.Callers, 0, maxDelay)
	if d.Loss < 0 || d.Loss > maxLoss {
		c.addError("delays.loss", "want a share from 0 to %g, not %g", maxLoss, d.Loss)
	}
}

func (c *checker) duration(path string, d Duration, least, most time.Duration) {
	if time.Duration(d) == invalidDuration {
		c.addError(path, "want a duration as in 300ms, 20s or 4h")
		return
	}
	if time.Duration(d) < least || time.Duration(d) > most {
		c.addError(path, "want %s to %s, not %s", least, most, time.Duration(d))
	}
}

func (c *checker) services(services []Service) {
	if len(services) > maxServices {
		c.addError("services", "want at most %d services, not %d", maxServices, len(services))
	}
	names := map[string]bool{}
	addresses := map[string]string{}
	for i := range services {
		s := &services[i]
		path := fmt.Sprintf("services[%d]", i)
		c.service(path, s)
		if names[s.Name] {
			c.addError(path+".name", "%q is listed twice", s.Name)
		}
		names[s.Name] = true
		address := s.Address.String()
		if other, ok := addresses[address]; ok {
			c.addError(path+".address", "%s is also the address of %q", address, other)
		}
		addresses[address] = s.Name
	}
}

// day is the maximum of an idle timeout and of a drain time.
const day = 24 * time.Hour

func (c *checker) service(path string, s *Service) {
	if !namePattern.MatchString(s.Name) {
		c.addError(path+".name", "want a name of lower-case letters, digits and dashes")
	}
	if !s.Address.IsValid() || s.Address.Port() == 0 {
		c.addError(path+".address", "want an IP address and a port, as in 192.0.2.7:443")
	}
	if len(s.Upstreams) == 0 {
		c.addError(path+".upstreams", "want at least one prefix from which targets may serve, as in 10.1.0.0/16")
	}
	for j, p := range s.Upstreams {
		if !p.IsValid() {
			c.addError(fmt.Sprintf("%s.upstreams[%d]", path, j), "want a prefix, as in 10.1.0.0/16")
		}
	}
	if s.Connections < 1 || s.Connections > maxConnections {
		c.addError(path+".connections", "want 1 to %d connections per target, not %d", maxConnections, s.Connections)
	}
	if s.Slots < 1 || s.Slots > maxConnections {
		c.addError(path+".slots", "want 1 to %d slots per target, not %d", maxConnections, s.Slots)
	}
	c.duration(path+".idle", s.Idle, minIdle, day)
	c.duration(path+".drain", s.Drain, 0, day)
	c.duration(path+".coldstart", s.ColdStart, 0, time.Hour)
}
