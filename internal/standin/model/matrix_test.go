package model_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/golden"
	"github.com/wagtailtray/wagtailtray/internal/standin/model"
)

func TestMatrix(t *testing.T) {
	for _, step := range model.Steps() {
		for _, f := range model.Faults() {
			t.Run(step.Name+"/"+f.Name, func(t *testing.T) {
				t.Parallel()
				c, err := model.RunCell(1, step, f)
				if err != nil {
					t.Fatal(err)
				}
				if !c.Met {
					t.Error(c.Seen())
				}
			})
		}
	}
}

// A safeguard whose loss no check sees is not proved. Each scenario is clean
// as the product is, and not clean without its safeguard.
func TestSafeguardsBite(t *testing.T) {
	for _, b := range model.Bites() {
		t.Run(string(b.Without), func(t *testing.T) {
			with := run(t, fmt.Sprintf(b.Scenario, ""))
			without := run(t, fmt.Sprintf(b.Scenario, "without="+string(b.Without)))
			if strings.Contains(with, b.Sees) {
				t.Errorf("with the safeguard: %s", with)
			}
			if !strings.Contains(without, b.Sees) {
				t.Errorf("no %s without the safeguard: %s", b.Sees, without)
			}
		})
	}
}

func run(t *testing.T, script string) string {
	out, err := model.RunScript(script)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// The page of faults is what the matrix, the pairs and the safeguards' scenarios
// give. A cell that is not met shows here, and no cell is left out.
func TestFaultPage(t *testing.T) {
	page, err := model.FaultPage()
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(page, "NOT MET") {
		t.Error("a cell is not met")
	}
	golden.CompareFile(t, "../../../docs/FAULTS.md", page)
}
