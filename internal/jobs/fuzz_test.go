package jobs_test

import (
	"bytes"
	"testing"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/seeds"
)

func FuzzDecode(f *testing.F) {
	whole, err := sample().Encode()
	if err != nil {
		f.Fatal(err)
	}
	seeds.Add(f, string(whole))
	f.Fuzz(func(t *testing.T, data []byte) {
		j, err := jobs.Decode(data)
		if err != nil {
			return
		}
		row, err := j.Encode()
		if err != nil {
			return // too long for a row
		}
		again, err := jobs.Decode(row)
		if err != nil {
			t.Fatalf("%s: %v", row, err)
		}
		if next, err := again.Encode(); err != nil || !bytes.Equal(next, row) {
			t.Errorf("%s, stored again %s, %v", row, next, err)
		}
	})
}

func FuzzDecodeProgress(f *testing.F) {
	j := sample()
	seeds.Add(f, `{"state":"","begun":true,"done":["07","","05",""],"tries":[{"task":"5c0e7a21d94b36f8.0.0.1","failed":[1,2],"checkpoint":"c"}]}`)
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := jobs.DecodeProgress(j, data)
		if err != nil {
			return
		}
		for k := range j.Occurrences() {
			for i := range j.Steps {
				if left := p.Left(k, i); left < 0 || left > j.Steps[i].Count || p.StepDone(k, i) != (left == 0) {
					t.Errorf("%s: %d tasks left", data, left)
				}
			}
		}
		row, err := p.Encode()
		if err != nil {
			return // too long for a row
		}
		if again, err := jobs.DecodeProgress(j, row); err != nil || again.State() != p.State() {
			t.Errorf("%s, stored again %s: %v", data, row, err)
		}
	})
}
