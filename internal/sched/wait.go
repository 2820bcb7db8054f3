package sched

import (
	"cmp"
)

// classKey names the work of one service, urgency and team.
type classKey struct {
	service string
	urgency Urgency
	team    string
}

// class is the waiting and running work of one key.
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
	request Request
	arrived uint64 // order of arrival, which breaks ties of deadlines
	class   *class
	index   int // place in the heap
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
	return w.arrived < other.arrived
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is part of [heap.Interface].
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop is part of [heap.Interface].
func (h *waitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func byArrival(a, b *waiter) int {
	return cmp.Compare(a.arrived, b.arrived)
}
