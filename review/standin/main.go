// Command standin runs one case of the review: it acts as the users' platform, with workers,
// starts the project's daemons as separate processes, sends submissions as a consumer,
// disturbs one thing, and checks one rule.
//
// # Usage
//
//	standin --case NAME --dir DIR
//
// It writes DIR/record.txt. The exit code is 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 in the environment nothing is disturbed.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration is how long a case may take.
const maxDuration = 115 * time.Second

// errNotRun is the error of a case that could not run.
var errNotRun = errors.New("the case could not run")

// cases holds the cases by name.
var cases = map[string]func(*trial) error{}

func main() {
	// The daemons are killed when the thread ends that has started them.
	runtime.LockOSThread()
	name := flag.String("case", "", "which case to run")
	dir := flag.String("dir", "", "folder for record.txt")
	flag.Parse()
	os.Exit(run(*name, *dir))
}

func run(name, dir string) int {
	play := cases[name]
	if play == nil || dir == "" {
		fmt.Fprintln(os.Stderr, "usage: standin --case NAME --dir DIR")
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	t := &trial{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	record.printf("case %s, trouble %v", name, t.trouble)
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-interrupts:
			record.printf("not run: %v", s)
		case <-time.After(maxDuration):
			record.printf("not run: it takes longer than %v", maxDuration)
		}
		os.Exit(exitNotRun) // the daemons end with this process
	}()
	err = play(t)
	t.close()
	switch {
	case err != nil:
		record.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(t.broken) > 0:
		for _, b := range t.broken {
			record.printf("broken: %s", b)
		}
		record.printf("result: broken, %d times", len(t.broken))
		fmt.Printf("broken, %d times; the first: %s\n", len(t.broken), t.broken[0])
		return exitBroken
	}
	record.printf("result: held")
	fmt.Println("held")
	return exitHeld
}

// trial is one run of a case.
type trial struct {
	record   *record
	trouble  bool
	platform *fakePlatform
	daemons  []*daemonProcess
	dir      string // temporary folder
	broken   []string
}

func (t *trial) close() {
	for _, d := range t.daemons {
		d.kill()
	}
	if t.platform != nil {
		t.platform.close()
	}
	if t.dir != "" {
		_ = os.RemoveAll(t.dir) // a leftover does no harm
	}
}

func (t *trial) breakRule(format string, args ...any) {
	t.broken = append(t.broken, fmt.Sprintf(format, args...))
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// runs writes all runs of work items.
func (r *record) runs(runs []itemRun) {
	at := func(when time.Time) string {
		if when.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", when.Sub(r.began).Seconds())
	}
	for _, run := range runs {
		r.printf("run %s %d on %s: started %s, ended %s %s, taken note of %s", run.Item, run.Run, run.Worker, at(run.Started), at(run.Ended), run.How, at(run.Noted))
	}
}

func (r *record) close() { _ = r.file.Close() } // each line was written whole
