package jobs_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Elements of the steps that are no objects take as much when they are decoded.
func TestCheckObjectsCountsElements(t *testing.T) {
	for _, element := range []string{"0", "null", "[]", `""`, "{}"} {
		body := `{"steps":[` + strings.Repeat(element+",", 10_000) + element + `]}`
		if err := jobs.CheckObjects([]byte(body)); !errors.Is(err, jobs.ErrInvalid) {
			t.Errorf("10,001 steps of %s: %v, want an ErrInvalid", element, err)
		}
	}
}
