// Command standin-2 plays the cases of the second review that are scripts. It acts as the
// platform, its workers, its operator and the callers, on loopback addresses, and starts the
// processes of the system with the command of the deploy file.
//
// # Usage
//
//	TROUBLE=1 target/standin-2 CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD. The exit code is 1 if the rule
// was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it does the same
// without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// errBroken is returned by a case if the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripts, by the name that run.sh gives.
var cases = map[string]func(s *session) error{
	"silent-channels": silentChannels,
	"wide-gang":       wideGang,
	"wide-lasting":    wideLasting,
	"schedules":       schedules,
	"failed-workers":  failedWorkers,
	"advised-crash":   advisedCrash,
	"two-holders":     twoHolders,
	"two-crashes":     twoCrashes,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	s, err := newSession(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseTimeout):
			s.note("the case takes too long")
		}
		s.close()
		os.Exit(2)
	}()
	err = cases[os.Args[1]](s)
	switch {
	case err == nil:
		s.note("result: the rule held")
	case errors.Is(err, errBroken):
		s.note("result: %v", err)
	default:
		s.note("result: the case could not run: %v", err)
	}
	s.close()
	switch {
	case err == nil:
		os.Exit(0)
	case errors.Is(err, errBroken):
		os.Exit(1)
	}
	os.Exit(2)
}
