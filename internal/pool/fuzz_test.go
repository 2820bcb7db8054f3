package pool

import (
	"testing"

	"github.com/papayarudder/papayarudder/internal/seeds"
	"github.com/papayarudder/papayarudder/platform"
)

func FuzzDecodeOwnership(f *testing.F) {
	seeds.Add(f, `{"token":3,"node":"n","addr":"10.0.0.1:7075","life":"l"}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		own, err := DecodeOwnership(platform.Row{Part: "p", Value: data})
		if err == nil && (own.Token == 0 || int(own.Token)*attemptsPerOwner <= 0) {
			t.Errorf("accepted: %+v", own)
		}
	})
}
