package creds_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/papayarudder/papayarudder/internal/creds"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against callers that get in with the key of nobody or act as another organisation.
func TestKeysOfOrganisations(t *testing.T) {
	longest := strings.Repeat("k", 200)
	x := creds.NewIndex([]platform.Organisation{
		{Name: "north", Keys: []string{"n-1", "n-2"}},
		{Name: "south", Keys: []string{"s-1", longest}},
		{Name: "closed"},
	})
	for key, want := range map[string]string{
		"n-1": "north", "n-2": "north", "s-1": "south", longest: "south",
		"": "", "n-": "", "n-11": "", "N-1": "", " n-1": "", "closed": "", "north": "", longest + "k": "", "\x00": "",
	} {
		if name, known := x.Organisation(key); name != want || known != (want != "") {
			t.Errorf("key %.20q: organisation %q, known %v, want %q", key, name, known, want)
		}
	}
}

// Guards against a key check that costs callers time: it is to take a microsecond at most and
// to allocate nothing.
func BenchmarkOrganisation(b *testing.B) {
	var organisations []platform.Organisation
	for i := range 230 {
		organisations = append(organisations, platform.Organisation{Name: fmt.Sprintf("o-%d", i), Keys: []string{fmt.Sprintf("%032x", i), fmt.Sprintf("%032x", -i-1)}})
	}
	x := creds.NewIndex(organisations)
	for _, tt := range []struct{ name, key string }{{"known", organisations[100].Keys[1]}, {"unknown", strings.Repeat("f", 32)}} {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.Organisation(tt.key)
			}
		})
	}
}
