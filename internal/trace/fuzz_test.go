package trace

import (
	"testing"

	"github.com/papayarudder/papayarudder/internal/seeds"
)

func FuzzDecodeBoardStep(f *testing.F) {
	seeds.Add(f, `{"kind":"worker","at":"2026-01-01T00:00:00Z","worker":{"key":"k","id":"i","millicores":1,"memory-mb":2},"running":[{"task":"5c0e7a21d94b36f8.0.1.17","attempt":1,"percent":5}],"ended":[{"task":"5c0e7a21d94b36f8.0.1.17","attempt":1,"outcome":"done"}]}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		text := string(data)
		s, err := decodeBoardStep(text)
		if err != nil {
			return
		}
		if _, err := encodeBoardStep(s); err != nil && s.Kind != "add" {
			t.Error(err)
		}
		_, _ = decodeStep(text) // does not panic
	})
}
