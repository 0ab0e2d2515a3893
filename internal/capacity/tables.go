package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/wagtailtray/wagtailtray/internal/version/replication"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// tableRepeats is how often a change is repeated, as one takes less than the resolution
	// of the processor's time.
	tableRepeats = 40
	// changedLimit is the limit of the listener that changes.
	changedLimit = 2 * clock.Second
	// smallestShare is the smallest VM's share of a core, and smallestLink its link in bits a
	// second.
	smallestShare = 0.045
	smallestLink  = 10e6
)

// newRoutingTable returns a table of listeners with a class, of which the last one has a limit.
func newRoutingTable(version uint64, listeners int, limit clock.Millis) (*routing.Table, error) {
	t := &routing.Table{Version: version, Revision: version, IdleTimeout: clock.Minute}
	for i := range listeners {
		c := &routing.Class{Priority: i % 3, Objective: clock.Second, Limit: clock.Second}
		if i == listeners-1 {
			c.Limit = limit
		}
		t.Listeners = append(t.Listeners, &routing.Listener{
			Name: fmt.Sprintf("route-%05d", i), Class: c,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares:  []routing.Share{{Service: fmt.Sprintf("service-%03d", i%300), Weight: 1}},
		})
	}
	return t, t.Check()
}

// changedTables returns a table and the same with one listener changed.
func changedTables(listeners int) (base, source *routing.Table, err error) {
	if base, err = newRoutingTable(1, listeners, clock.Second); err != nil {
		return nil, nil, err
	}
	source, err = newRoutingTable(2, listeners, changedLimit)
	return base, source, err
}

// transferChange has a reader with the base take the source's table, and returns the size of
// the messages.
func transferChange(base, source *routing.Table) (float64, error) {
	x, archive, sent := replication.Transfer{}, replication.Archive{}, 0
	question := x.Question(base, base.Version)
	compared, err := replication.Compare(source, question)
	if err != nil {
		return 0, err
	}
	sent += proto.Size(question) + proto.Size(compared)
	if err := x.Begin(base, compared); err != nil {
		return 0, err
	}
	for !x.Complete() {
		next := x.Next()
		answer, err := replication.Collect(source, &archive, next)
		if err != nil {
			return 0, err
		}
		sent += proto.Size(next) + proto.Size(answer)
		if _, err := x.Add(answer); err != nil {
			return 0, err
		}
	}
	_, err = x.Finish(base)
	return float64(sent), err
}

func tableChangeBytes(listeners int) (float64, error) {
	base, source, err := changedTables(listeners)
	if err != nil {
		return 0, err
	}
	return transferChange(base, source)
}

func tableChangeTime(listeners int) (float64, error) {
	base, source, err := changedTables(listeners)
	if err != nil {
		return 0, err
	}
	total, err := cpuTimeOf(func() error {
		for range tableRepeats {
			if _, err := transferChange(base, source); err != nil {
				return err
			}
		}
		return nil
	})
	return total / tableRepeats, err
}

func wholeTableBytes(listeners int) (float64, error) {
	t, err := newRoutingTable(1, listeners, clock.Second)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(t)
	return float64(len(data)), err
}

func wholeTableTime(listeners int) (float64, error) {
	t, err := newRoutingTable(1, listeners, clock.Second)
	if err != nil {
		return 0, err
	}
	total, err := cpuTimeOf(func() error {
		for range tableRepeats {
			data, err := json.Marshal(t)
			if err != nil {
				return err
			}
			read := &routing.Table{}
			if err := json.Unmarshal(data, read); err != nil {
				return err
			}
			if err := read.Check(); err != nil {
				return err
			}
		}
		return nil
	})
	return total / tableRepeats, err
}

// writeTables writes the section about changes of the table of connections.
func writeTables(b *strings.Builder, in *Inputs) {
	size, bytes := in.Slopes[TableChangeTime].Points, in.Slopes[TableChangeBytes].Points
	wholeTime, wholeBytes := in.Slopes[WholeTableTime].Points, in.Slopes[WholeTableBytes].Points
	if len(size) == 0 || len(bytes) != len(size) || len(wholeTime) != len(size) || len(wholeBytes) != len(size) {
		return
	}
	b.WriteString(tablesText)
	b.WriteString("| listeners | bytes of a change | processor time of a change | table whole | its processor time | its time on the smallest VM |\n| --- | --- | --- | --- | --- | --- |\n")
	for i := range size {
		alone := wholeTime[i].Value/1e9/2/smallestShare + 8*wholeBytes[i].Value/smallestLink
		fmt.Fprintf(b, "| %.0f | %.0f | %.2f ms | %.0f kB | %.1f ms | %.2f s |\n",
			size[i].Size, bytes[i].Value, size[i].Value/1e6, wholeBytes[i].Value/1e3, wholeTime[i].Value/1e6, alone)
	}
	twice := 2 * 3300.0
	fmt.Fprintf(b, "\nBy the slopes a change at %.0f listeners takes %.0f bytes and %.1f ms, half of that at the reader: %.0f ms on the smallest VM.\n\n",
		twice, in.at(TableChangeBytes, twice), in.at(TableChangeTime, twice)/1e6, in.at(TableChangeTime, twice)/1e6/2/smallestShare)
}

// at returns the value of a slope's line at a size.
func (in *Inputs) at(name string, size float64) float64 {
	s := in.Slopes[name]
	return s.Intercept + s.Slope*size
}

const tablesText = `## A change of the table of connections

One listener changes. A balancer gets what its table lacks
(design/configuration.md); the table whole is what it gets from a balancer of the
last build, and got before. Processor time is that of both ends; bytes are without
the encoding of the calls, which adds a third. The last column is the reader's half
and the transfer on the smallest VM (0.045 of a core, 10 Mbit/s) with nothing
beside it: with callers' packets on the same link a read within 1.5 s ended
somewhere between 2,800 and 4,200 listeners. What grows with the table in a change
is the index by address, made anew outside the lock. The next limit is the
platform's object: the watcher of each failure domain reads and checks it whole.

`
