package daemon

import (
	"context"

	"github.com/papayarudder/papayarudder/internal/pool"
)

// hintQuota tells the owner of a pool that tasks of an organisation wait in another pool for
// what it does not need of its allotment. It decides nothing: an owner that does not get it gives
// back what it has not needed for a while.
func (d *Daemon) hintQuota(name, organisation string) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	_, err := d.askOnce(ctx, name, "Peer.GiveBack", JobArgs{name, organisation}, func(o *pool.Owner) Reply {
		o.GiveBack(organisation)
		return Reply{Owner: true}
	})
	if err != nil {
		d.log.WithField("pool", name).WithField("organisation", organisation).WithError(err).Debug("hint about a quota failed")
	}
}
