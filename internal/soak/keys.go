package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// applyTime is config_apply_ms, after which a version is in force everywhere.
const applyTime = 3 * time.Second

// Organisations of the soak. Each has the keys of two generations: its callers use the older
// one, which is removed with the next change of the keys.
const organisationCount = 3

// organisationOf returns the organisation that hands a job in.
func organisationOf(id string) int { return int(id[len(id)-1]) % organisationCount }

func keyOf(organisation, generation int) string {
	return fmt.Sprintf("key-%d-%d", organisation, generation)
}

// isPublic reports whether the callers of a queue need no key.
func isPublic(path string) bool { return path == queuePath(1) }

func queuePath(queue int) string { return fmt.Sprintf("/q%d/", queue) }

// keyChange is a version of the configuration with the generations of keys from first to first+1.
type keyChange struct {
	at    time.Time // when the store had acknowledged it
	first int
}

// probe is a call that is to be refused: its key may have been removed, is none, or belongs to
// another organisation than the job.
type probe struct {
	call
	foreign bool
}

// generations returns the first and the last generation of the versions that may be in force
// between two moments.
func (o observations) generations(from, to time.Time) (first, last int) {
	first, last = -1, -1
	for i, c := range o.keys {
		superseded := i+1 < len(o.keys) && !o.keys[i+1].at.After(from)
		if superseded || c.at.After(to) {
			continue
		}
		if first < 0 {
			first = c.first
		}
		last = c.first
	}
	return first, last
}

// checkKeys checks the answers to calls with keys.
func (o observations) checkKeys() []failure {
	var all []failure
	for _, j := range o.jobs {
		for _, c := range j.calls {
			if c.key != "" && !isPublic(j.path) {
				all = append(all, o.checkKey(c, j.id, false)...)
			}
		}
	}
	for _, p := range o.probes {
		all = append(all, o.checkKey(p.call, "", p.foreign)...)
	}
	return all
}

func (o observations) checkKey(c call, id string, foreign bool) []failure {
	if c.answered.IsZero() || len(o.keys) == 0 {
		return nil
	}
	fail := func(rule, text string) []failure {
		return []failure{{rule: rule, job: id, at: c.answered, text: fmt.Sprintf("%s at %s with %s: %d, %s", c.method, c.node, c.key, c.status, text)}}
	}
	organisation, generation := -1, -1
	if _, err := fmt.Sscanf(c.key, "key-%d-%d", &organisation, &generation); err != nil && strings.HasPrefix(c.key, "key-") {
		return fail("ROUTE", "the check can't read the key")
	}
	first, last := o.generations(c.sent.Add(-applyTime), c.answered)
	ever := slices.ContainsFunc(o.keys, func(k keyChange) bool { return generation == k.first || generation == k.first+1 })
	inTouch := o.inTouch(c.node, c.sent)
	switch {
	case c.succeeded() && !ever:
		return fail("ROUTE", "no configuration ever held the key")
	case c.succeeded() && foreign:
		return fail("ROUTE", "the job belongs to another organisation")
	case c.succeeded() && generation < first && inTouch:
		return fail("CONFIG", "the key had been removed")
	case c.status == 401 && generation >= last && generation <= first+1 && inTouch:
		return fail("CONFIG", "the key is in force")
	case c.status == 403 && !foreign:
		return fail("CONFIG", "the job belongs to the key's organisation")
	}
	return nil
}
