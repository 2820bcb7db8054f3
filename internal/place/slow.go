package place

import (
	"container/heap"
	"time"
)

// slowIndex finds the confirmed attempts of a queue that may run long enough for a copy,
// without a look at the others. When that is depends on the correction factor of the queue's
// run times, which changes with each task that is done. So attempts are sorted by when they
// would be stragglers with a smaller factor, and only sorted again when the queue's factor
// has left the range in which this selects all stragglers and few others.
type slowIndex struct {
	factor  float64 // with which attempts are sorted, at most the queue's
	waiting attemptHeap
	overdue map[*Attempt]struct{} // attempts that are stragglers with the factor
}

// slowFactor is the share of the queue's factor with which attempts are sorted. The factor
// varies by some percent with the tasks that are done; a smaller share has attempts looked at
// at each decision sooner, a larger one has them sorted more often.
const slowFactor = 0.75

func newSlowIndex(factor float64) *slowIndex {
	return &slowIndex{factor: slowFactor * factor, overdue: map[*Attempt]struct{}{}}
}

// overdueAt returns from when on an attempt is to be looked at.
func (q *slowIndex) overdueAt(a *Attempt) time.Time {
	return a.ConfirmedAt.Add(time.Duration(stragglerFactor * q.factor * float64(a.step.Estimate)))
}

func (q *slowIndex) add(a *Attempt) {
	a.slow, a.overdueAt = q, q.overdueAt(a)
	heap.Push(&q.waiting, a)
}

func (q *slowIndex) remove(a *Attempt) {
	if _, overdue := q.overdue[a]; overdue {
		delete(q.overdue, a)
	} else {
		heap.Remove(&q.waiting, a.heapIndex)
	}
	a.slow = nil
}

// refresh selects the attempts that are overdue at now, and returns how many it looked at.
func (q *slowIndex) refresh(factor float64, now time.Time) (looks int) {
	if q.factor > factor || q.factor < slowFactor*slowFactor*factor {
		q.factor = slowFactor * factor
		for a := range q.overdue {
			q.waiting = append(q.waiting, a)
		}
		clear(q.overdue)
		for i, a := range q.waiting {
			a.overdueAt, a.heapIndex = q.overdueAt(a), i
		}
		heap.Init(&q.waiting)
		looks = len(q.waiting)
	}
	for len(q.waiting) > 0 && !q.waiting[0].overdueAt.After(now) {
		looks++
		q.overdue[heap.Pop(&q.waiting).(*Attempt)] = struct{}{}
	}
	return looks
}

// attemptHeap is a [heap.Interface] of attempts by overdueAt.
type attemptHeap []*Attempt

func (h attemptHeap) Len() int           { return len(h) }
func (h attemptHeap) Less(i, j int) bool { return h[i].overdueAt.Before(h[j].overdueAt) }

func (h attemptHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements [heap.Interface].
func (h *attemptHeap) Push(x any) {
	a := x.(*Attempt)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

// Pop implements [heap.Interface].
func (h *attemptHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return a
}
