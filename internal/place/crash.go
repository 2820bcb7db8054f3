package place

import (
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
)

// Suspect is an attempt that may have crashed its worker.
type Suspect struct {
	Task    jobs.Task
	Attempt int
	Crashes int // recorded under the task, with this one
}

// GivenUp is a job that was given up because one of its tasks crashes its workers.
type GivenUp struct {
	Task    jobs.Task
	Crashes []jobs.Crash
}

// CrashReport tells what the crash of a worker led to.
type CrashReport struct {
	Suspects []Suspect
	GivenUp  []GivenUp
}

// SuspectCrash records that a worker may have crashed, and under which attempts: its
// connections are refused, or its leases have expired.
func (b *Board) SuspectCrash(key string, now time.Time) {}

// WorkerCrashed records that a worker's lifetime has ended although it was not ordered
// away. The caller then removes the worker, or expires its leases.
func (b *Board) WorkerCrashed(key string, now time.Time) CrashReport { return CrashReport{} }

// WorkerLeft records that a worker's lifetime has ended by an order for its host, or at the
// end of its draining, so that its attempts are not under suspicion.
func (b *Board) WorkerLeft(key string) {}
