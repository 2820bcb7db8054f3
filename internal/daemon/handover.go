package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayarudder/papayarudder/internal/pool"
)

// handOver gives all pools of this process to others.
func (d *Daemon) handOver() {
	d.stopping.Store(true)
	d.mu.Lock()
	owners := make([]*pool.Owner, 0, len(d.owners))
	for _, o := range d.owners {
		owners = append(owners, o)
	}
	keeper := d.keeper
	d.mu.Unlock()
	var handed sync.WaitGroup
	if keeper != nil {
		handed.Go(func() {
			keeper.Stop()
			d.giveAway(fleetName)
		})
	}
	for _, o := range owners {
		handed.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), takeTime)
			defer cancel()
			o.Flush(ctx)
			d.giveAway(o.Name())
			o.Close()
		})
	}
	handed.Wait()
}

// giveAway asks the best candidates in turn to take a pool and reports whether
// one did.
func (d *Daemon) giveAway(name string) bool {
	now := time.Now()
	d.mu.Lock()
	var candidates []candidate
	peers := map[string]*peer{}
	for _, p := range d.peers {
		if !p.alive(now) || !p.ready {
			continue
		}
		c := candidate{p.node, 0}
		for _, own := range d.owned {
			if own.Owner.Node == p.node {
				c.owned++
			}
		}
		candidates = append(candidates, c)
		peers[p.node] = p
	}
	d.mu.Unlock()
	tries := 0
	for _, i := range order(name, candidates) {
		ctx, cancel := context.WithTimeout(context.Background(), takeTime)
		var taken bool
		err := peers[candidates[i].node].link.Call(ctx, "Peer.Take", name, &taken)
		cancel()
		if err == nil && taken {
			d.log.WithFields(logrus.Fields{"pool": name, "to": candidates[i].node}).Info("pool handed over")
			return true
		}
		if tries++; tries == maxTries {
			break
		}
	}
	d.log.WithField("pool", name).Warn("nobody took the pool")
	return false
}

// maxTries is how many processes are asked in turn to take a pool; where none
// of so many reaches the store, none does.
const maxTries = 3
