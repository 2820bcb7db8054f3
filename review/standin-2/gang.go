package main

import (
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// wideGang plays the case of a gang whose work items are small, so that one worker has room for
// all of them. The owner's queue of starts for a worker holds 128; those beyond are given back,
// while the others are sent and wait for them in vain.
func wideGang(s *session) error {
	p, store, err := newPlatform()
	if err != nil {
		return err
	}
	defer p.Close()
	f, err := newFleet(s, p, "banco-nord", 9, workerMillicores)
	if err != nil {
		return err
	}
	defer f.close()
	p.Configure(mimic.Config(1, queues("banco-nord", "cartellini"), []mimic.Pool{{Name: "banco-nord", Hosts: 9}}))
	if err := s.start(processes, store, f.machines()); err != nil {
		return err
	}
	const small, wide = 60, 200
	count := small
	if s.trouble {
		count = wide
	}
	s.note("a gang of %d work items of 0.1 cores", count)
	gang := submission{Spec: "500ms", Steps: []step{{Count: count, CPU: 100, MemoryMB: 100, EstimateMS: 500, Gang: true}}}
	id, status := f.submit(s.daemons[0], "cartellini", gang)
	if status != http.StatusOK {
		return errors.Newf("the submission was answered %d", status)
	}
	state := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		_, state = s.get(s.daemons[1], portCallers, "/cartellini/"+id)
		s.note("GET: %s; ends so far: %d done, %d alone", state, f.ends(id, "done"), f.ends(id, "alone"))
		if strings.Contains(state, "complete") {
			break
		}
	}
	if alone := f.ends(id, "alone"); alone > 0 {
		return errors.Wrapf(errBroken, "GANG: %d runs ended alone, with no disturbance; the state is %s", alone, state)
	}
	if !strings.Contains(state, "complete") {
		return errors.Newf("the gang is not complete: %s", state)
	}
	return nil
}
