package ticket

import (
	"testing"

	"github.com/papayarudder/papayarudder/internal/seeds"
)

func FuzzParse(f *testing.F) {
	seeds.Add(f, `{"number":1,"author":"a","reason":"r","pools":[{"name":"p","away-percent":5}],"services":[{"name":"s","pool":"p","weight":1,"run-time":"1s"}],"teams":[{"name":"t","slots":1}],"hosts":[{"name":"h","pool":"p","address":"10.0.0.1:80","slots":8}]}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, faults := Parse(data)
		for _, h := range parsed.Hosts {
			if len(faults) == 0 && (!h.Addr.IsValid() || h.Slots < 0) {
				t.Errorf("accepted: %+v", h)
			}
		}
	})
}
