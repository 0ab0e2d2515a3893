package answers

import (
	"math"
	"net/netip"
	"time"

	"github.com/goccy/go-yaml"
)

// The types of this file decode input that they cannot parse to a value that the
// checker rejects. So the error is reported together with all others and with its
// position in the file, which a decoder does not know.

// Duration is a duration such as "3ms" or "4h".
type Duration time.Duration

// invalidDuration marks a duration that could not be parsed.
const invalidDuration = time.Duration(math.MinInt64)

// UnmarshalYAML parses a duration.
func (d *Duration) UnmarshalYAML(b []byte) error {
	v, err := time.ParseDuration(scalarText(b))
	if err != nil {
		v = invalidDuration
	}
	*d = Duration(v)
	return nil
}

// MarshalYAML formats the duration.
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Address is an IP address and a port, as in 192.0.2.7:443.
type Address struct {
	netip.AddrPort
}

// UnmarshalYAML parses an address.
func (a *Address) UnmarshalYAML(b []byte) error {
	// On an error the address stays invalid.
	a.AddrPort, _ = netip.ParseAddrPort(scalarText(b))
	return nil
}

// Prefix is a range of IP addresses, as in 10.1.0.0/16.
type Prefix struct {
	netip.Prefix
}

// UnmarshalYAML parses a prefix.
func (p *Prefix) UnmarshalYAML(b []byte) error {
	// On an error the prefix stays invalid.
	p.Prefix, _ = netip.ParsePrefix(scalarText(b))
	return nil
}

// scalarText returns a scalar without its quotes, or "" for anything else.
func scalarText(b []byte) string {
	var s string
	if yaml.Unmarshal(b, &s) != nil {
		return ""
	}
	return s
}
