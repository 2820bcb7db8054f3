package fleet

import (
	"bytes"
	"testing"

	"github.com/papayarudder/papayarudder/internal/seeds"
)

func FuzzDecodeChange(f *testing.F) {
	seeds.Add(f, `{"version":1,"op-id":"o","cause":"c","at":"2026-01-01T00:00:00Z","pools":[{"name":"p","away-percent":5}],"services":[{"name":"s","pool":"p","weight":1,"run-time":"1s"}],"teams":[{"name":"t","slots":1}],"hosts":[{"spec":{"name":"h","pool":"p","address":"10.0.0.1:80","slots":8},"pool":"p","state":"active","epoch":1,"since":"2026-01-01T00:00:00Z"}]}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeChange(data)
		if err != nil {
			return
		}
		row := EncodeChange(c)
		again, err := DecodeChange(row)
		if err != nil {
			t.Fatalf("%s: %v", row, err)
		}
		if next := EncodeChange(again); !bytes.Equal(next, row) {
			t.Errorf("%s, stored again %s", row, next)
		}
	})
}
