package answers_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/golden"
	"github.com/wagtailtray/wagtailtray/pkg/answers"
)

func TestParse(t *testing.T) {
	golden.Run(t, "testdata", func(t *testing.T, a *golden.Archive) string {
		got, err := answers.Parse([]byte(a.File("answers.yaml")))
		if err == nil {
			return fmt.Sprintf("good: %d failure domains, %d services", len(got.Domains), len(got.Services))
		}
		if !errors.Is(err, answers.ErrAnswers) {
			t.Errorf("%v is not an ErrAnswers", err)
		}
		return err.Error()
	})
}
