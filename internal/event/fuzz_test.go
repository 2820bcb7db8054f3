package event

import (
	"bytes"
	"testing"

	"github.com/papayarudder/papayarudder/internal/seeds"
)

func FuzzRead(f *testing.F) {
	seeds.Add(f, `{"at":"2026-01-01T00:00:00Z","process":"p","seq":1,"kind":"k","object":"o","epoch":1,"cause":"c"}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := Read(bytes.NewReader(data))
		if err == nil && len(events) > 1+bytes.Count(data, []byte("\n")) {
			t.Errorf("%d events", len(events))
		}
	})
}
