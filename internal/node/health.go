package node

import (
	"sync"
	"time"
)

// health knows whether this process may still send to workers. A process whose
// lease may have lapsed is fenced, for the others may count it as gone. In an
// outage of the table service nobody can count anybody as gone, so a process
// that has just seen the table service fail goes on.
type health struct {
	hold time.Duration
	now  func() time.Time

	mu      sync.Mutex
	renewed time.Time
	failed  time.Time // when the table service last failed
	down    bool
}

// renewedAt notes a renewal that took effect and was sent at the given time.
func (h *health) renewedAt(sent time.Time) (wasDown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewed = sent
	wasDown = h.down
	h.down = false
	return wasDown
}

// joined reports whether this process ever held a lease.
func (h *health) joined() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.renewed.IsZero()
}

// failedAt notes that the table service failed.
func (h *health) failedAt(at time.Time) (wasUp bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = at
	wasUp = !h.down
	h.down = true
	return wasUp
}

// fenced returns why nothing may be sent to workers, empty if it may.
func (h *health) fenced() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	switch {
	case h.renewed.IsZero():
		return "this process never held a lease"
	case now.Sub(h.renewed) <= h.hold:
		return ""
	case h.down && now.Sub(h.failed) <= h.hold:
		return ""
	}
	return "this process's lease has lapsed"
}
