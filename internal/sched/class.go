package sched

import (
	"cmp"
)

// classKey identifies a class.
type classKey struct {
	service string
	urgency Urgency
	team    string
}

// class holds the waiting and running requests of one service, urgency and
// team.
type class struct {
	key     classKey
	waiting waitHeap
	running int
}

func (c *class) idle() bool {
	return c.running == 0 && len(c.waiting) == 0
}

// waiter is a request in a class's queue.
type waiter struct {
	request       Request
	arrivalNumber uint64 // breaks ties of deadlines
	class         *class
	index         int // position in the heap
}

// waitHeap orders waiters by deadline, then arrival.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	return h[i].before(h[j])
}

func (w *waiter) before(other *waiter) bool {
	if !w.request.Deadline.Equal(other.request.Deadline) {
		return w.request.Deadline.Before(other.request.Deadline)
	}
	return w.arrivalNumber < other.arrivalNumber
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements [heap.Interface].
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements [heap.Interface].
func (h *waitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func byArrival(a, b *waiter) int {
	return cmp.Compare(a.arrivalNumber, b.arrivalNumber)
}
