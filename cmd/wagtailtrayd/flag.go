package main

import (
	"net/netip"
	"strconv"
)

// flagValue is a flag value whose parse error is deferred. The command line
// library stops at the first value that fails to parse; the daemon reports all
// errors in its settings together, so an invalid value is kept with its text
// until the settings are validated.
type flagValue[T any] struct {
	value   T
	text    string
	invalid bool
}

// UnmarshalText never fails; checkParsed reports values that could not be parsed.
func (l *flagValue[T]) UnmarshalText(b []byte) error {
	l.text = string(b)
	l.invalid = parse(l.text, &l.value) != nil
	return nil
}

func parse(text string, into any) error {
	var err error
	switch v := into.(type) {
	case *netip.AddrPort:
		*v, err = netip.ParseAddrPort(text)
	case *netip.Addr:
		*v, err = netip.ParseAddr(text)
	case *int:
		*v, err = strconv.Atoi(text)
	case *float64:
		*v, err = strconv.ParseFloat(text, 64)
	}
	return err
}

// checkParsed records an error if the value could not be parsed, and reports
// whether it was.
func checkParsed[T any](v *validator, flag string, l flagValue[T], want string) bool {
	v.require(!l.invalid, flag, "want %s, not %q", want, l.text)
	return !l.invalid
}

// Descriptions of the expected values in error messages.
const (
	wantAddress = "an IP address and a port, as in 192.0.2.7:7000"
	wantIP      = "an IP address"
	wantNumber  = "a number"
)

// checkRange records an error if the number could not be parsed or is out of range.
func checkRange(v *validator, flag string, l flagValue[int], low, high int) {
	if checkParsed(v, flag, l, wantNumber) {
		v.require(l.value >= low && l.value <= high, flag, "want %d to %d, not %d", low, high, l.value)
	}
}

// parsedValues returns the valid values of a list and records an error for each other one.
func parsedValues[T any](v *validator, flag string, list []flagValue[T], want string) []T {
	var out []T
	for _, l := range list {
		if checkParsed(v, flag, l, want) {
			out = append(out, l.value)
		}
	}
	return out
}
