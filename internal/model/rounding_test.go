package model

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestNoFusedMultiplyAdd compiles the packages on which the results of experiments and the
// replays of recordings depend for arm64. There a product that is added without a conversion
// becomes one instruction, which rounds once instead of twice, and a result differs in its
// last digit from that of amd64.
func TestNoFusedMultiplyAdd(t *testing.T) {
	packages := []string{"jobs", "model", "place", "pool", "sched", "trace", "upkeep"}
	args := []string{"build"}
	for _, p := range packages {
		args = append(args, "-gcflags=github.com/papayarudder/papayarudder/internal/"+p+"=-S")
	}
	for _, p := range packages {
		args = append(args, "../"+p)
	}
	cmd := exec.Command("go", args...)
	cmd.Env = append(os.Environ(), "GOARCH=arm64", "CGO_ENABLED=0", "GOFLAGS=", "GOENV=off")
	listing, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("go %s: %v\n%.2000s", strings.Join(args, " "), err, listing)
	}
	if !strings.Contains(string(listing), "FMUL") {
		t.Fatal("the listing has no multiplication of floating-point numbers")
	}
	found := regexp.MustCompile(`internal/(\S+\.go:\d+)\).*\tFN?M(?:ADD|SUB)[DS]\t`).FindAllStringSubmatch(string(listing), -1)
	var places []string
	for _, m := range found {
		places = append(places, m[1])
	}
	slices.Sort(places)
	for _, p := range slices.Compact(places) {
		t.Errorf("fused multiply and add at internal/%s: convert the product to float64", p)
	}
}
