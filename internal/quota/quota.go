// Package quota deals the quotas of organisations out between the pools in which their tasks
// run. It does no I/O and reads no clock.
//
// Each organisation has a [Row] in the platform's store, which holds an allotment for each pool.
// The sum of the allotments exceeds the quota only while a lowered quota has not been given
// back yet. The owner of each pool keeps an [Account] for each organisation.
//
// # Usage
//
//	account := quota.NewAccount("emea", token)
//	account.SetLimit(config.Version, organisation.Quota)
//	account.Learned(row, version) // as read
//	if row, due, _ := account.Propose(usage); due {
//		account.Sent(row)
//		// write row if the store's version is still that of account.Row, then call
//		// account.Written, account.NotDone, account.Unanswered or account.Learned
//	}
//	board.SetAllotment(organisation.Name, account.Allotment(usage))
package quota

import (
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Table is the table of the store with the rows of all organisations. Their keys are the names.
const Table = "quota"

// Parts is the number of parts of [Table]. The rows of a part may share a transaction.
const Parts = 8

// PartOf returns the part of [Table] with the row of an organisation.
func PartOf(organisation string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation)) // never fails
	return strconv.Itoa(int(h.Sum32() % Parts))
}

// ErrMalformed is returned for a stored row that can't be decoded.
var ErrMalformed = errors.New("malformed quota row")

// Allotment is what the tasks of an organisation may claim in one pool.
type Allotment struct {
	Token   uint64 // fencing token of the owner that wrote it last
	Version uint64 // of the configuration that this owner had
	Size    jobs.Resources
	Want    jobs.Resources // what the pool needs, up to the quota
	Unit    jobs.Resources // what its largest waiting task or gang needs
}

// Row is the stored state of the quota of one organisation.
type Row struct {
	Version uint64         // of the configuration
	Limit   jobs.Resources // the quota as of it; a field that is 0 is not limited
	// Since holds for each resource the version that limited it. An allotment of an earlier
	// version does not tell what its pool claims.
	Since [3]uint64
	Turn  string // pool that last had more than its fair share for its largest task
	Pools map[string]Allotment
}

// clone returns a copy that shares nothing with r.
func (r Row) clone() Row {
	r.Pools = maps.Clone(r.Pools)
	if r.Pools == nil {
		r.Pools = map[string]Allotment{}
	}
	return r
}

// Sum returns the sum of the allotments.
func (r Row) Sum() jobs.Resources {
	var sum jobs.Resources
	for _, a := range r.Pools {
		sum = sum.Add(a.Size)
	}
	return sum
}

// setLimit sets the quota as of a version of the configuration.
func (r *Row) setLimit(version uint64, limit jobs.Resources) {
	before, now := vectorOf(r.Limit), vectorOf(limit)
	for i := range now {
		if before[i] == 0 && now[i] > 0 {
			r.Since[i] = version
		}
	}
	r.Version, r.Limit = version, limit
}

// undeclared reports whether a pool may claim more than its allotment tells, as its owner had no
// limit when it wrote it. A pool that has given all back counts as one that is not in the row: it
// may have been removed from the configuration, and then nobody writes for it any more.
func (r *Row) undeclared(i int) bool {
	for _, a := range r.Pools {
		if a.Version < r.Since[i] && (a.Size != jobs.Resources{} || a.Want != jobs.Resources{}) {
			return true
		}
	}
	return false
}

// allotmentWire is the stored form of an [Allotment].
type allotmentWire struct {
	Token   uint64 `json:"token"`
	Version uint64 `json:"version"`
	Size    vector `json:"size"`
	Want    vector `json:"want"`
	Unit    vector `json:"unit"`
}

// rowWire is the stored form of a [Row].
type rowWire struct {
	Version uint64                   `json:"version"`
	Limit   vector                   `json:"limit"`
	Since   [3]uint64                `json:"since"`
	Turn    string                   `json:"turn,omitempty"`
	Pools   map[string]allotmentWire `json:"pools"`
}

// Encode returns the stored form of a row.
func (r Row) Encode() ([]byte, error) {
	w := rowWire{r.Version, vectorOf(r.Limit), r.Since, r.Turn, map[string]allotmentWire{}}
	for pool, a := range r.Pools {
		w.Pools[pool] = allotmentWire{a.Token, a.Version, vectorOf(a.Size), vectorOf(a.Want), vectorOf(a.Unit)}
	}
	data, err := json.Marshal(w)
	return data, errors.Wrap(err, "quota row")
}

// maxAmount bounds each stored amount, so that no sum of them overflows.
const maxAmount = 1 << 50

// Decode decodes the stored form of a row.
func Decode(data []byte) (Row, error) {
	var w rowWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Row{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	r := Row{Version: w.Version, Limit: w.Limit.resources(), Since: w.Since, Turn: w.Turn, Pools: map[string]Allotment{}}
	valid := w.Limit.valid()
	for pool, a := range w.Pools {
		valid = valid && a.Size.valid() && a.Want.valid() && a.Unit.valid()
		r.Pools[pool] = Allotment{a.Token, a.Version, a.Size.resources(), a.Want.resources(), a.Unit.resources()}
	}
	if !valid {
		return Row{}, errors.Wrapf(ErrMalformed, "an amount is not in 0 to %d", maxAmount)
	}
	return r, nil
}

// vector holds the amounts of a [jobs.Resources] for loops over them.
type vector [3]int

func vectorOf(r jobs.Resources) vector { return vector{r.Millicores, r.MemoryMB, r.Accelerators} }

func (v vector) resources() jobs.Resources {
	return jobs.Resources{Millicores: v[0], MemoryMB: v[1], Accelerators: v[2]}
}

func (v vector) valid() bool {
	return !slices.ContainsFunc(v[:], func(n int) bool { return n < 0 || n > maxAmount })
}

// Limited reports whether any amount of a quota is limited.
func Limited(limit jobs.Resources) bool { return limit != jobs.Resources{} }

// demand is what a pool asks for of one resource.
type demand struct {
	pool string
	want int
	unit int
}

// share returns the max-min fair share of a pool in a limit. The first pool after turn, in the
// order of their names, whose largest task needs more than its fair share gets that first.
func share(limit int, demands []demand, pool, turn string) int {
	level := fairLevel(limit, demands)
	slices.SortFunc(demands, func(x, y demand) int {
		if (x.pool > turn) != (y.pool > turn) {
			if x.pool > turn {
				return -1
			}
			return 1
		}
		if x.pool < y.pool {
			return -1
		}
		return 1
	})
	for i, d := range demands {
		if d.unit <= level || d.unit > min(limit, d.want) {
			continue
		}
		if d.pool == pool {
			return d.unit
		}
		rest := append(slices.Clone(demands[:i]), demands[i+1:]...)
		level = fairLevel(limit-d.unit, rest)
		break
	}
	for _, d := range demands {
		if d.pool == pool {
			return min(d.want, level)
		}
	}
	return 0
}

// fairLevel returns the largest amount such that all demands together take no more than a limit
// if each takes no more than that.
func fairLevel(limit int, demands []demand) int {
	wants := make([]int, len(demands))
	for i, d := range demands {
		wants[i] = d.want
	}
	slices.Sort(wants)
	left := limit
	for i, want := range wants {
		level := left / (len(wants) - i)
		if want > level {
			return level
		}
		left -= want
	}
	return limit
}
