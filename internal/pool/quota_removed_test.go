package pool

import (
	"testing"
	"time"

	"github.com/papayarudder/papayarudder/internal/quota"
	"github.com/papayarudder/papayarudder/platform"
)

// Guards against an answer about a quota that comes after its limit was removed and puts the former
// allotment in force again, with nobody left who would change it.
func TestLateAnswersAboutARemovedLimitChangeNothing(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(o *Owner, p *quotaPart, a *quotaAccount)
	}{
		{"read", func(o *Owner, p *quotaPart, a *quotaAccount) {
			o.quotasRead(p, []*quotaAccount{a}, map[string]platform.Row{}, nil)
		}},
		{"write", func(o *Owner, p *quotaPart, a *quotaAccount) {
			o.quotasWritten(p, []*quotaAccount{a}, 0, nil, platform.ErrNotDone)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newQuotaRig(t, 1000)
			r.submit("p1", "a", "1m", 6, 500) // the quota has room for 2
			r.reaches(2, 2*time.Second)
			o := r.owners["p1"]
			underWay := make(chan func())
			o.post(func() {
				a := o.quotas.accounts["a"]
				p := o.quotas.parts[quota.PartOf("a")]
				underWay <- func() { test.answer(o, p, a) }
			})
			answer := <-underWay
			r.setLimit(0)
			o.post(answer)
			r.submit("p1", "a", "1m", 2, 500)
			r.reaches(8, 2*time.Second)
		})
	}
}
