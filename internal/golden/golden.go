// Package golden runs tests that are written as txtar archives. Each archive is one
// test case with its input and its expected output.
//
// # Usage
//
//	golden.Run(t, "testdata", func(a *golden.Archive) string { ... })
//
// The output is compared with the archive's file "want". With
//
//	go test ./... -update
//
// the files are rewritten instead, so that the change can be reviewed as a diff.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "rewrite the expected output of golden tests")

// wantFile is the name of the expected output in an archive.
const wantFile = "want"

// Archive is one test case.
type Archive struct {
	Name string
	// Comment is the text before the first file.
	Comment string
	archive *txtar.Archive
}

// File returns one file of the archive.
func (a *Archive) File(name string) string {
	for _, f := range a.archive.Files {
		if f.Name == name {
			return string(f.Data)
		}
	}
	return ""
}

// Run runs all archives of a folder as subtests.
func Run(t *testing.T, folder string, run func(t *testing.T, a *Archive) string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.txtar"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no archives in %s: %v", folder, err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		t.Run(name, func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			a := &Archive{Name: name, Comment: string(archive.Comment), archive: archive}
			compare(t, path, a, run(t, a))
		})
	}
}

func compare(t *testing.T, path string, a *Archive, got string) {
	t.Helper()
	if got != "" && !strings.HasSuffix(got, "\n") {
		got += "\n"
	}
	if got == a.File(wantFile) {
		return
	}
	if !*update {
		t.Fatalf("got:\n%s\nwant:\n%s", got, a.File(wantFile))
	}
	a.setWant(got)
	if err := os.WriteFile(path, txtar.Format(a.archive), 0o644); err != nil {
		t.Fatal(err)
	}
}

func (a *Archive) setWant(got string) {
	for i := range a.archive.Files {
		if a.archive.Files[i].Name == wantFile {
			a.archive.Files[i].Data = []byte(got)
			return
		}
	}
	a.archive.Files = append(a.archive.Files, txtar.File{Name: wantFile, Data: []byte(got)})
}

// CompareFile compares an output with a file outside the archives.
func CompareFile(t *testing.T, path, got string) {
	t.Helper()
	old, err := os.ReadFile(path)
	if err == nil && string(old) == got {
		return
	}
	if !*update {
		t.Fatalf("%s differs from the output; got:\n%s", path, got)
	}
	if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
		t.Fatal(err)
	}
}
