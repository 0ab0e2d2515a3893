package model_test

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/golden"
	"github.com/wagtailtray/wagtailtray/internal/standin/model"
)

// Each archive describes a fault in its comment, injects it in a scenario and has
// the expected verdict.
func TestScenarios(t *testing.T) {
	golden.Run(t, "testdata", func(t *testing.T, a *golden.Archive) string {
		out, err := model.RunScript(a.File("scenario"))
		if err != nil {
			t.Fatal(err)
		}
		return out
	})
}
