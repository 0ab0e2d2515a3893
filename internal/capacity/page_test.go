package capacity_test

import (
	"encoding/json"
	"errors"
	"math"
	"os"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/capacity"
	"github.com/wagtailtray/wagtailtray/internal/golden"
)

// Guards against a page that differs from its inputs, because a figure was edited
// by hand or the arithmetic changed and the page was not generated again.
func TestPageIsMadeFromInputs(t *testing.T) {
	data, err := os.ReadFile("../../docs/capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	var in capacity.Inputs
	if err := json.Unmarshal(data, &in); err != nil {
		t.Fatal(err)
	}
	for name, s := range in.Slopes {
		fitted, err := capacity.NewSlope(s.Name, s.Unit, s.Points)
		if err != nil {
			t.Fatal(err)
		}
		if math.Abs(fitted.Slope-s.Slope) > 1e-6*math.Abs(s.Slope) {
			t.Errorf("%s: recorded slope is %g, fit of its points is %g", name, s.Slope, fitted.Slope)
		}
	}
	golden.CompareFile(t, "../../docs/CAPACITY.md", capacity.Page(&in))
}

func TestSlopeNeedsFourSizes(t *testing.T) {
	points := []capacity.Point{{Size: 1, Value: 3}, {Size: 2, Value: 5}, {Size: 4, Value: 9}, {Size: 8, Value: 17}}
	s, err := capacity.NewSlope("x", "y", points)
	if err != nil || math.Abs(s.Slope-2) > 1e-9 || math.Abs(s.Intercept-1) > 1e-9 || s.R2 < 0.9999 {
		t.Errorf("%+v, %v", s, err)
	}
	if _, err := capacity.NewSlope("x", "y", points[:3]); !errors.Is(err, capacity.ErrTooFewSizes) {
		t.Errorf("three sizes: got error %v, want ErrTooFewSizes", err)
	}
}
