package main

import (
	"net/netip"
	"strconv"
)

// lenient is a flag's value that is read as far as it goes. The command line
// library stops at the first value that it cannot read; a process names all
// mistakes in its settings at once, so a value that is wrong is kept with its text
// until the settings are checked.
type lenient[T any] struct {
	value T
	text  string
	bad   bool
}

// UnmarshalText never fails; check reports what could not be read.
func (l *lenient[T]) UnmarshalText(b []byte) error {
	l.text = string(b)
	l.bad = parse(l.text, &l.value) != nil
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

// readable reports a value that could not be read.
func readable[T any](k *checker, flag string, l lenient[T], want string) bool {
	k.want(!l.bad, flag, "want %s, not %q", want, l.text)
	return !l.bad
}

// What the kinds of values look like.
const (
	wantAddress = "an IP address and a port, as in 192.0.2.7:7000"
	wantIP      = "an IP address"
	wantNumber  = "a number"
)

// between reports a number that cannot be read or is out of its range.
func between(k *checker, flag string, l lenient[int], least, most int) {
	if readable(k, flag, l, wantNumber) {
		k.want(l.value >= least && l.value <= most, flag, "want %d to %d, not %d", least, most, l.value)
	}
}

// values returns the values of a list, each of which is checked.
func values[T any](k *checker, flag string, all []lenient[T], want string) []T {
	var out []T
	for _, l := range all {
		if readable(k, flag, l, want) {
			out = append(out, l.value)
		}
	}
	return out
}
