package replication

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// BenchmarkChange measures the stages of a change of one listener by the size of the table:
// read at the watcher (check), answered by the source, read and activated by a balancer. The
// stage whole is the table as one answer, for comparison.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{40, 400, 1400, 3300} {
		all := limits(size, 1000)
		base := newTable(b, 1, all)
		all[size/2] = 2000
		source := newTable(b, 2, all)
		stages := map[string]func() int{
			"check":    func() int { return benchCheck(b, source) },
			"transfer": func() int { return benchTransfer(b, base, source) },
			"whole":    func() int { return benchWhole(b, source) },
		}
		for _, stage := range []string{"check", "transfer", "whole"} {
			b.Run(fmt.Sprintf("%s/%d", stage, size), func(b *testing.B) {
				sent := 0
				for range b.N {
					sent = stages[stage]()
				}
				b.ReportMetric(float64(sent), "bytes")
			})
		}
		b.Run(fmt.Sprintf("activate/%d", size), func(b *testing.B) {
			changes, history := routing.Compare(base, source), routing.NewHistory(0)
			for i := range b.N {
				history.Activate(clock.Millis(i), changes)
			}
		})
	}
}

func benchCheck(b *testing.B, t *routing.Table) int {
	c := &routing.Table{Version: t.Version, Listeners: t.Listeners, IdleTimeout: t.IdleTimeout}
	if err := c.Check(); err != nil {
		b.Fatal(err)
	}
	return 0
}

func benchTransfer(b *testing.B, base, source *routing.Table) int {
	l := link{source: source}
	if _, err := l.read(&Transfer{}, base, base.Version); err != nil {
		b.Fatal(err)
	}
	return l.bytes
}

func benchWhole(b *testing.B, source *routing.Table) int {
	data, err := json.Marshal(source)
	if err != nil {
		b.Fatal(err)
	}
	t := &routing.Table{}
	if err := json.Unmarshal(data, t); err != nil {
		b.Fatal(err)
	}
	if err := t.Check(); err != nil {
		b.Fatal(err)
	}
	return len(data)
}
