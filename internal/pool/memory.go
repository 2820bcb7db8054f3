package pool

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/logs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// What a job that has not ended takes in memory, in bytes. TestJobsTakeWhatIsCounted compares it
// with the heap.
const (
	jobBytes     = 4 << 10 // its indexes
	stepBytes    = 768     // a step with its indexes, and a step of an occurrence whose tasks wait
	specFactor   = 2       // its text, and its stored form while that is written
	taskBits     = 3       // a task: whether it is done, waits and was started
	slotBytes    = 8       // a step of an occurrence that does not wait
	attemptBytes = 1 << 10 // an attempt, in the indexes and in the lists of its worker
)

const (
	memoryRetry = 2 * time.Second // after which the caller of a job that finds no room should retry

	// memoryRefresh is how long an owner's sum is used. Jobs that are accepted meanwhile are added to it.
	memoryRefresh = 250 * time.Millisecond

	// Shares of a process's memory, as divisors.
	jobsShare     = 4  // for the unfinished jobs of all its pools
	poolShare     = 8  // for those of one pool, which another process may have to take over
	attemptsShare = 16 // for the attempts of one pool
)

var metricRefusedForMemory = metrics.NewCounter(`papayarudder_jobs_refused_total{cause="memory"}`)

// JobMemory bounds the memory that jobs which have not ended take in a process, in each pool that it
// owns and in all of them. Jobs of earlier owners count, but are taken over in any case.
type JobMemory struct {
	limit     int64 // bytes, of all pools
	poolLimit int64
	attempts  int // of batch tasks in a pool, beyond which a job has one at most

	mu   sync.Mutex
	held map[*Owner]int64
	sum  int64
}

// NewJobMemory returns a JobMemory for a process with this many bytes of memory.
func NewJobMemory(memory int64) *JobMemory {
	return &JobMemory{
		limit: memory / jobsShare, poolLimit: memory / poolShare, attempts: int(memory / attemptsShare / attemptBytes),
		held: map[*Owner]int64{},
	}
}

// Publish makes what jobs take available as a metric of the process.
func (m *JobMemory) Publish() {
	metrics.GetOrCreateGauge("papayarudder_unfinished_job_bytes", func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return float64(m.sum)
	})
}

// set records what the jobs of an owner take, 0 once the ownership has ended.
func (m *JobMemory) set(o *Owner, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum += n - m.held[o]
	if m.held[o] = n; n == 0 {
		delete(m.held, o)
	}
}

// reserve adds n bytes for a job of an owner and reports whether there is room for it. A job is always
// accepted if its pool has no other.
func (m *JobMemory) reserve(o *Owner, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held[o] > 0 && (m.held[o]+n > m.poolLimit || m.sum+n > m.limit) {
		return false
	}
	m.sum += n
	m.held[o] += n
	return true
}

// memoryOf returns what a job takes at most until it ends, but for attempts of batch tasks, which
// have a limit of their own.
func memoryOf(j *jobs.Job) int64 {
	tasks, lasting := int64(0), int64(0)
	for i := range j.Steps {
		tasks += int64(j.Steps[i].Count)
		if j.Steps[i].LongRunning {
			lasting += int64(j.Steps[i].Count)
		}
	}
	occurrences := int64(j.Occurrences())
	steps, slots := int64(len(j.Steps)), int64(len(j.Steps))*occurrences
	return jobBytes + specFactor*int64(len(j.Spec)) +
		stepBytes*max(steps, min(slots, place.MaxWaitingSteps)) + slotBytes*slots +
		taskBits*tasks*occurrences/8 + attemptBytes*lasting*occurrences
}

// refreshMemory computes anew what the owner's jobs take.
func (o *Owner) refreshMemory(now time.Time) {
	if now.Sub(o.memoryAt) < memoryRefresh {
		return
	}
	o.memoryAt = now
	sum := int64(0)
	for j := range o.board.UnfinishedJobs() {
		sum += memoryOf(j)
	}
	for _, s := range o.pending {
		sum += memoryOf(&s.job)
	}
	o.jobMemory.set(o, sum)
}

// hasMemoryFor reports whether a submitted job may be accepted, and counts it if so.
func (o *Owner) hasMemoryFor(j *jobs.Job, now time.Time) bool {
	o.refreshMemory(now)
	n := memoryOf(j)
	if o.jobMemory.reserve(o, n) {
		return true
	}
	metricRefusedForMemory.Inc()
	o.taskLog.Info("job refused: the jobs that have not ended take too much memory", logs.Text("job", string(j.ID)), logs.Number("bytes", n))
	return false
}
