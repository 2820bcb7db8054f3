package place

import (
	"iter"
	"math"
	"math/bits"
	"slices"
)

// dropQueue removes the queue of a step none of whose tasks waits.
func (e *jobEntry) dropQueue(key stepKey) {
	delete(e.waiting, key)
	e.cursors[key.step].waiting--
}

// indexSet is a set of indexes of a step's tasks.
type indexSet []uint64

func newIndexSet(count int) indexSet { return make(indexSet, (count+63)/64) }

func (s indexSet) has(i int) bool { return s[i/64]&(1<<(i%64)) != 0 }
func (s indexSet) add(i int)      { s[i/64] |= 1 << (i % 64) }
func (s indexSet) remove(i int)   { s[i/64] &^= 1 << (i % 64) }

// next returns the lowest index from i on that is in the set, -1 if there is none.
func (s indexSet) next(i int) int {
	for word := i / 64; word < len(s); word++ {
		left := s[word]
		if word == i/64 {
			left &= math.MaxUint64 << (i % 64)
		}
		if left != 0 {
			return word*64 + bits.TrailingZeros64(left)
		}
	}
	return -1
}

// taskQueue holds the indexes of the tasks of a step that wait, in the order in which they are to
// start: those that became ready with the step, by index, then those that were queued again. It
// takes two bits for each task of the step, as there may be millions, and 4 bytes for each that
// was queued again.
type taskQueue struct {
	size    int
	waiting indexSet
	first   int      // tasks below it that wait were queued again
	again   []int32  // these, and tasks that do not wait any more
	listed  indexSet // the tasks in again, nil if there are none
}

func newTaskQueue(count int) *taskQueue { return &taskQueue{waiting: newIndexSet(count)} }

// len returns how many tasks wait. A queue may be nil, in which none does.
func (q *taskQueue) len() int {
	if q == nil {
		return 0
	}
	return q.size
}

func (q *taskQueue) has(i int) bool { return q != nil && q.waiting.has(i) }

// push queues a task, unless it waits already.
func (q *taskQueue) push(i int) {
	if q.waiting.has(i) {
		return
	}
	q.waiting.add(i)
	q.size++
	if i >= q.first {
		return
	}
	if q.listed == nil {
		q.listed = make(indexSet, len(q.waiting))
	}
	if !q.listed.has(i) {
		q.listed.add(i)
		q.again = append(q.again, int32(i))
	}
}

// remove takes a task out of the queue, if it waits.
func (q *taskQueue) remove(i int) {
	if !q.has(i) {
		return
	}
	q.waiting.remove(i)
	q.size--
	q.trim()
}

// clear takes all tasks out of the queue.
func (q *taskQueue) clear() {
	if q != nil {
		clear(q.waiting)
		q.size = 0
		q.trim()
	}
}

// all returns the tasks that wait, in their order. Those that it has returned may be removed
// meanwhile.
func (q *taskQueue) all() iter.Seq[int] {
	return func(yield func(int) bool) {
		if q.len() == 0 {
			return
		}
		for i := q.waiting.next(q.first); i >= 0; i = q.waiting.next(i + 1) {
			if !yield(i) {
				return
			}
		}
		for _, i := range q.again {
			if q.waiting.has(int(i)) && !yield(int(i)) {
				return
			}
		}
	}
}

// trim forgets tasks at the head of the queue that do not wait any more. Only changes of the queue
// call it: where a task goes that is queued again must not depend on who has read the queue.
func (q *taskQueue) trim() {
	if q.size == 0 {
		q.first, q.again, q.listed = 0, nil, nil // as a new one
		return
	}
	if i := q.waiting.next(q.first); i >= 0 {
		q.first = i
	} else {
		q.first = len(q.waiting) * 64
	}
	for len(q.again) > 0 && !q.waiting.has(int(q.again[0])) {
		q.listed.remove(int(q.again[0]))
		q.again = q.again[1:]
	}
	if len(q.again) == 0 {
		q.again, q.listed = nil, nil
	}
}

// head returns the first task that waits, -1 if there is none.
func (q *taskQueue) head() int {
	for i := range q.all() {
		return i
	}
	return -1
}

// sort sorts tasks that wait by their order in the queue.
func (q *taskQueue) sort(tasks []int) {
	again := map[int]int{}
	for position, i := range q.again {
		again[int(i)] = position + 1
	}
	slices.SortFunc(tasks, func(x, y int) int {
		if again[x] != again[y] {
			return again[x] - again[y]
		}
		return x - y
	})
}
