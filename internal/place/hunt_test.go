package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/jobs"
	"github.com/papayarudder/papayarudder/internal/place"
)

// Guards against long-running tasks that stay down beside room for them, in random orders of vacated,
// silent and shrinking workers and failures.
func TestLongRunningTasksUseTheRoomThereIs(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 7))
		n := 4 + r.IntN(5)
		f := newTestBoard(0, n)
		state := map[string]place.Worker{}
		for i := range n {
			state[key(i)] = worker(i)
		}
		silentSince := map[string]time.Time{}
		var lr []jobs.Job
		for i := range 1 + r.IntN(3) {
			s := lasting(1+r.IntN(5), 500+r.IntN(4500))
			s.Size.Millicores = 300 + r.IntN(2000)
			if r.IntN(2) == 0 {
				s.MaxPerWorker = 1 + r.IntN(2)
			}
			if r.IntN(2) == 0 {
				s.MaxUnavailable = 1 + r.IntN(2)
			}
			j := newJob(byte(1+i), s)
			lr = append(lr, j)
		}
		f.add(lr...)
		downSince := map[jobs.Task]time.Time{}
		pendingStops := []place.StopOrder{}
		id := byte(20)
		log := []string{}
		set := func(k string, c func(w *place.Worker)) { w := state[k]; c(&w); state[k] = w; f.SetWorker(w) }
		for tick := range 1200 {
			f.now = f.now.Add(50 * time.Millisecond)
			var keys []string
			for i := range f.workers {
				if _, ok := state[key(i)]; ok {
					keys = append(keys, key(i))
				}
			}
			k := keys[r.IntN(len(keys))]
			ev := ""
			switch r.IntN(60) {
			case 0, 1:
				ev = "vacate " + k
				set(k, func(w *place.Worker) { w.Vacate = true })
			case 2, 3:
				ev = "unvacate " + k
				set(k, func(w *place.Worker) { w.Vacate = false })
			case 4:
				if !state[k].Silent {
					ev = "silent " + k
					set(k, func(w *place.Worker) { w.Silent = true })
					silentSince[k] = f.now
				}
			case 5:
				if as := f.Attempts(k); len(as) > 0 && !state[k].Silent {
					a := as[r.IntN(len(as))]
					if f.IsLongRunning(a.Task) {
						ev = "fail " + a.Task.String() + " on " + k
						f.endAttempt(place.StartOrder{Worker: k, Task: a.Task, Attempt: a.Number}, jobs.Failed)
					}
				}
			case 6:
				ev = "shrink " + k
				set(k, func(w *place.Worker) { w.Size.Millicores = 2000 + 2000*r.IntN(2) })
			case 7:
				id++
				if id < 200 {
					f.add(func() jobs.Job { j := newJob(id, batch(1+r.IntN(10), 200+r.IntN(1500))); j.Submitted = f.now; return j }())
				}
			case 8:
				if len(as(f, k)) == 0 && state[k].Vacate && len(keys) > 2 {
					ev = "ordered away " + k
					f.RemoveWorker(k, f.now)
					delete(state, k)
					w := worker(f.workers)
					f.workers++
					f.SetWorker(w)
					state[w.Key] = w
				}
			}
			for i := range f.workers {
				k := key(i)
				if at, ok := silentSince[k]; ok && state[k].Key != "" && f.now.Sub(at) > time.Duration(500+r.IntN(4000))*time.Millisecond {
					if f.now.Sub(at) > 4200*time.Millisecond {
						f.ExpireLeases(k, f.now)
					}
					set(k, func(w *place.Worker) { w.Silent = false })
					delete(silentSince, k)
				}
			}
			f.orders = f.Decide(f.now)
			for _, s := range f.orders.Starts {
				if state[s.Worker].Silent {
					continue
				}
				if r.IntN(20) == 0 {
					f.Refused(s.Worker, s.Task, s.Attempt, f.now)
				} else {
					f.Started(s.Worker, s.Task, s.Attempt, f.now)
				}
			}
			pendingStops = append(pendingStops, f.orders.Stops...)
			stopped := map[string][]place.Ended{}
			rest := pendingStops[:0:0]
			for _, s := range pendingStops {
				switch {
				case state[s.Worker].Key == "":
				case state[s.Worker].Silent:
					f.StopFailed(s.Worker, s.Task, s.Attempt)
				case r.IntN(3) == 0:
					f.StopAnswered(s.Worker, s.Task, s.Attempt, f.now)
					stopped[s.Worker] = append(stopped[s.Worker], place.Ended{Task: s.Task, Attempt: s.Attempt, Outcome: jobs.Stopped})
				default:
					rest = append(rest, s)
				}
			}
			pendingStops = rest
			for i := range f.workers {
				k := key(i)
				if state[k].Key == "" || state[k].Silent {
					continue
				}
				var run []place.Running
				ended := stopped[k]
				for _, a := range f.Attempts(k) {
					gone := false
					for _, e := range stopped[k] {
						gone = gone || e.Task == a.Task
					}
					switch {
					case gone || a.Phase == place.Starting:
					case f.IsLongRunning(a.Task):
						run = append(run, place.Running{Task: a.Task, Attempt: a.Number, Percent: 100})
					case f.now.Sub(a.ConfirmedAt) > 900*time.Millisecond:
						ended = append(ended, place.Ended{Task: a.Task, Attempt: a.Number, Outcome: jobs.Done})
					default:
						run = append(run, place.Running{Task: a.Task, Attempt: a.Number, Percent: 1 + int(f.now.Sub(a.ConfirmedAt)/(10*time.Millisecond))})
					}
				}
				f.Listed(k, run, ended, f.now, f.now)
			}
			if ev != "" {
				log = append(log, f.now.Sub(start).String()+" "+ev)
			}
			if err := f.CheckPending(); err != nil {
				t.Fatalf("seed %d tick %d: %v", seed, tick, err)
			}
			has := map[jobs.Task]bool{}
			for _, a := range f.allAttempts() {
				has[a.Task] = true
			}
			for _, j := range lr {
				s := j.Steps[0]
				for i := range s.Count {
					task := jobs.Task{Job: j.ID, Index: i}
					room := ""
					if !has[task] {
						for i := range f.workers {
							w := state[key(i)]
							if w.Key == "" || w.Silent || w.Vacate {
								continue
							}
							free, same := w.Size, 0
							for _, a := range f.Attempts(w.Key) {
								for _, x := range append(lr, lrBatch(f, a.Task)...) {
									if x.ID == a.Task.Job {
										free = free.Sub(x.Steps[0].Claim())
									}
								}
								if a.Task.Job == j.ID {
									same++
								}
							}
							if s.Claim().Fits(free) && (s.MaxPerWorker == 0 || same < s.MaxPerWorker) {
								room = w.Key
							}
						}
					}
					if room == "" {
						delete(downSince, task)
						continue
					}
					if downSince[task].IsZero() {
						downSince[task] = f.now
					}
					if f.now.Sub(downSince[task]) > 2500*time.Millisecond {
						found++
						t.Errorf("seed %d at %v: %s (claim %+v, most %d) down for %v, room on %s", seed, f.now.Sub(start), task, s.Claim(), s.MaxPerWorker, f.now.Sub(downSince[task]), room)
						if found <= 3 {
							for _, l := range log[max(0, len(log)-15):] {
								t.Log(l)
							}
							for _, l := range f.Load(f.now).Workers {
								t.Logf("%+v", l)
							}
							for _, a := range f.allAttempts() {
								t.Logf("  %s on %s phase %d", a.Task, a.Worker, a.Phase)
							}
						}
						tick = 2000
						downSince[task] = f.now.Add(time.Hour)
						break
					}
				}
			}
			if tick == 2000 {
				break
			}
		}
	}
	t.Logf("found %d", found)
}

func as(f *testBoard, k string) []*place.Attempt { return f.Attempts(k) }

func lrBatch(f *testBoard, t jobs.Task) []jobs.Job {
	j, ok := f.Job(t.Job)
	if !ok || f.IsLongRunning(t) {
		return nil
	}
	return []jobs.Job{j}
}
