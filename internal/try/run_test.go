package try

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/caller"
	"github.com/wagtailtray/wagtailtray/internal/standin/exchange"
	"github.com/wagtailtray/wagtailtray/pkg/answers"
)

// A machine is short of processor time, and handshakes take long. More and more of them at
// once would starve the sessions that are open.
func TestOpeningsWaitForOthers(t *testing.T) {
	data, err := Answers("valuvorm")
	if err != nil {
		t.Fatal(err)
	}
	a, err := answers.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	settle := make(chan struct{})
	r := &run{
		world: &World{answers: a}, options: Options{Sessions: 2 * openingShare, For: time.Second}, random: rand.New(rand.NewPCG(1, 2)),
		session: func(_ context.Context, p caller.Plan, _ *exchange.Oracle) error {
			<-settle
			p.Settled()
			return nil
		},
	}
	opening, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	time.AfterFunc(500*time.Millisecond, func() {
		if n := r.begun.Load(); n != 2 {
			t.Errorf("%d sessions are opening at a time", n)
		}
		close(settle)
	})
	r.keepSessions(opening, opening)
	r.sessions.Wait()
	if n := r.begun.Load(); n < 3 {
		t.Errorf("%d sessions were begun after the first ones had opened", n)
	}
}
