package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain builds the commands of the module, which the scripts run as separate
// processes.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "wagtailtray")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(1)
	}
	_ = os.Setenv("PATH", dir+string(filepath.ListSeparator)+os.Getenv("PATH"))
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"await": await},
	})
}

// await polls an HTTP page of a process until it matches a pattern, for at most a
// minute, far longer than a working machine needs. The condition must stay true once
// met: a counter above a value, not a gauge that may pass the value between polls.
func await(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(time.Minute)
	pattern := regexp.MustCompile(args[1])
	last := ""
	for time.Now().Before(deadline) {
		last = fetchPage(args[0])
		if pattern.MatchString(last) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s did not match %q; last response:\n%s", args[0], args[1], last)
}

func fetchPage(url string) string {
	res, err := http.Get(url)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	return string(data)
}
