//go:build !race

package creds_test

import (
	"testing"

	"github.com/papayarudder/papayarudder/internal/creds"
	"github.com/papayarudder/papayarudder/platform"
)

// The race detector makes pools drop what they hold.
func TestLookUpAllocatesNothing(t *testing.T) {
	x := creds.NewIndex([]platform.Organisation{{Name: "north", Keys: []string{"n-1"}}})
	if n := testing.AllocsPerRun(1000, func() { x.Organisation("n-1") }); n >= 1 {
		t.Errorf("%v allocations a look-up, want none", n)
	}
}
