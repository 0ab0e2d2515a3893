package approval_test

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	standin "github.com/wagtailtray/wagtailtray/internal/standin/platform"
	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/answers"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const questionnaire = `
deployment: small
weight: broken
domains: [{name: a, region: r}]
delays: {domains: 3ms, callers: 3ms}
services:
  - {name: web, address: "192.0.2.7:443", upstreams: [10.1.0.0/16], connections: 100, slots: 2, idle: 30s, drain: 1h, coldstart: 5s}
`

func setup(t *testing.T) (*standin.Server, *platform.Client, *approval.Plan) {
	server := standin.NewServer()
	h := httptest.NewServer(server)
	t.Cleanup(h.Close)
	client := platform.NewClient(strings.TrimPrefix(h.URL, "http://"))
	t.Cleanup(client.Close)
	a, err := answers.Parse([]byte(questionnaire))
	if err != nil {
		t.Fatal(err)
	}
	base, err := approval.Load(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	g := config.Generate(a, base)
	return server, client, approval.NewPlan(base, &g.State, "mari", "now")
}

// The platform loses the response to one of an approval's writes after the write took
// effect, and the operator approves the same plan again. The configuration must
// contain the change exactly once, whichever response was lost.
func TestLostAnswers(t *testing.T) {
	for lost := range 3 {
		server, client, plan := setup(t)
		server.SetFaults(standin.Faults{LostResponses: lost})
		for range 3 {
			state, err := approval.Commit(t.Context(), client, plan)
			if err != nil && !errors.Is(err, approval.ErrOutcomeUnknown) {
				t.Fatal(err)
			}
			if err == nil && state.Root.Version != 1 {
				t.Errorf("version %d", state.Root.Version)
			}
		}
		state, err := approval.Load(t.Context(), client)
		if err != nil || len(state.Root.Changes) != 1 {
			t.Errorf("%d responses lost: %d changes, %v", lost, len(state.Root.Changes), err)
		}
	}
}

// Several operators approve plans on the same version at once. One succeeds; the others
// get ErrStale and overwrite nothing.
func TestRace(t *testing.T) {
	_, client, first := setup(t)
	if _, err := approval.Commit(t.Context(), client, first); err != nil {
		t.Fatal(err)
	}
	base, err := approval.Load(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	outcomes := make(chan error, 8)
	for range cap(outcomes) {
		next := config.WithDrain(base, config.Drain{Service: "web", Target: "w1"}, true)
		plan := approval.NewPlan(base, next, "joao", "now")
		go func() {
			_, err := approval.Commit(t.Context(), client, plan)
			outcomes <- err
		}()
	}
	succeeded := 0
	for range cap(outcomes) {
		switch err := <-outcomes; {
		case err == nil:
			succeeded++
		case !errors.Is(err, approval.ErrStale):
			t.Error(err)
		}
	}
	if succeeded != 1 {
		t.Errorf("%d of the concurrent plans succeeded, want 1", succeeded)
	}
}
