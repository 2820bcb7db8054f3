package pool

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against hundreds of reads of a worker's lists at the same time, one for each start without
// an answer, and against a call that is satisfied by a read that began before it.
func TestReadsOfListsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			calls = 256
			every = time.Millisecond      // between calls
			takes = 20 * time.Millisecond // of a read
		)
		var reads listReads
		var count atomic.Int64
		var mu sync.Mutex
		lastBegun := time.Time{}
		var group sync.WaitGroup
		for range calls {
			time.Sleep(every)
			group.Go(func() {
				called := time.Now()
				reads.do(t.Context(), func() {
					count.Add(1)
					mu.Lock()
					lastBegun = time.Now()
					mu.Unlock()
					time.Sleep(takes)
				})
				mu.Lock()
				defer mu.Unlock()
				if lastBegun.Before(called) {
					t.Errorf("a call at %v returned, and the last read had begun at %v", called, lastBegun)
				}
			})
		}
		group.Wait()
		if have, want := count.Load(), int64(calls*every/takes)+2; have > want {
			t.Errorf("%d calls made %d reads, want at most %d", calls, have, want)
		}
	})
}
