package place

import (
	"cmp"
	"slices"
	"strings"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// roomIndex holds the workers that accept tasks, sorted by free millicores and then by
// key. A worker must be removed before its free resources change.
type roomIndex struct{ workers []*worker }

func compareRoom(x, y *worker) int {
	if order := cmp.Compare(x.free().Millicores, y.free().Millicores); order != 0 {
		return order
	}
	return strings.Compare(x.Key, y.Key)
}

func (r *roomIndex) insert(w *worker) {
	i, _ := slices.BinarySearchFunc(r.workers, w, compareRoom)
	r.workers = slices.Insert(r.workers, i, w)
}

// remove does nothing if the worker is not in the index.
func (r *roomIndex) remove(w *worker) {
	if i, found := slices.BinarySearchFunc(r.workers, w, compareRoom); found {
		r.workers = slices.Delete(r.workers, i, i+1)
	}
}

// atLeast returns the workers with that many free millicores, the fullest first.
func (r *roomIndex) atLeast(millicores int) []*worker {
	return r.workers[r.below(millicores):]
}

// below returns how many workers have fewer free millicores.
func (r *roomIndex) below(millicores int) int {
	i, _ := slices.BinarySearchFunc(r.workers, millicores, func(w *worker, target int) int {
		return cmp.Compare(w.free().Millicores, target)
	})
	return i
}

// maxRejected limits the sizes that a rejections remembers.
const maxRejected = 8

// rejections holds sizes for which no worker was found while tasks are placed. As room
// only shrinks meanwhile, nothing larger finds one either.
type rejections struct{ sizes []jobs.Resources }

// covers reports whether a smaller or equal size was rejected.
func (r *rejections) covers(size jobs.Resources) bool {
	return slices.ContainsFunc(r.sizes, func(rejected jobs.Resources) bool { return rejected.Fits(size) })
}

func (r *rejections) add(size jobs.Resources) {
	r.sizes = slices.DeleteFunc(r.sizes, func(rejected jobs.Resources) bool { return size.Fits(rejected) })
	if len(r.sizes) < maxRejected {
		r.sizes = append(r.sizes, size)
	}
}
