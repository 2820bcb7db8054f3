package quota_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/quota"
)

func resources(t *rapid.T, name string) jobs.Resources {
	amount := rapid.IntRange(0, 1<<40)
	return jobs.Resources{Millicores: amount.Draw(t, name+" cpu"), MemoryMB: amount.Draw(t, name+" memory"), Accelerators: amount.Draw(t, name+" accelerators")}
}

// Guards against a stored row that reads differently from what was written, or is too long for
// the store with as many pools as there are.
func TestRowsKeepTheirContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := quota.Row{Version: rapid.Uint64Max(1<<62).Draw(t, "version"), Limit: resources(t, "limit"), Turn: "pool-3", Pools: map[string]quota.Allotment{}}
		for i := range 51 {
			r.Pools[fmt.Sprintf("%0200d", i)] = quota.Allotment{Token: 1 << 43, Version: 1 << 62, Size: resources(t, "size"), Want: resources(t, "want"), Unit: resources(t, "unit")}
		}
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > jobs.MaxRow {
			t.Fatalf("%d bytes", len(data))
		}
		back, err := quota.Decode(data)
		if err != nil || !reflect.DeepEqual(r, back) {
			t.Fatalf("read back as %+v: %v", back, err)
		}
	})
}

func TestDecodeRejectsAmountsOutOfRange(t *testing.T) {
	for _, row := range []string{`{"limit":[-1,0,0]}`, `{"pools":{"a":{"size":[0,2e15,0]}}}`, `{`, `{"pools":{"a":{"want":[0,-1,0]}}}`} {
		if _, err := quota.Decode([]byte(row)); !errors.Is(err, quota.ErrMalformed) {
			t.Errorf("%s: %v", row, err)
		}
	}
}
