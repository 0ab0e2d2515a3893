package main

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wagtailtray/wagtailtray/internal/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wagtailtray": func() { os.Exit(run(os.Args[1:])) },
	})
}

// TestScripts runs each script with its own platform, whose address is in its environment.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: false,
		Setup: func(env *testscript.Env) error {
			server := platform.NewServer()
			h := httptest.NewServer(server)
			env.Defer(h.Close)
			env.Values["platform"] = server
			env.Setenv("WAGTAILTRAY_PLATFORM", strings.TrimPrefix(h.URL, "http://"))
			env.Setenv("USER", "mari")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"platform": setFaults},
	})
}

// setFaults implements the platform command, which sets the faults of the
// platform: down, lose (loses one answer) or up (none).
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	server := ts.Value("platform").(*platform.Server)
	switch args[0] {
	case "down":
		server.SetFaults(platform.Faults{Down: true})
	case "lose":
		server.SetFaults(platform.Faults{LostResponses: 1})
	default:
		server.SetFaults(platform.Faults{})
	}
}
