// Command demo sends a mixed load over a small running system as its callers
// and their balancer would, and compares afterwards what each caller was told
// with what the endpoints recorded, request by request.
//
// # Usage
//
// scripts/demo.sh starts the processes; then:
//
//	demo --entry 127.0.0.1:18101 --entry 127.0.0.1:18102 \
//	     --admin 127.0.0.1:18301 --admin 127.0.0.1:18302 \
//	     --platform 127.0.0.1:17000 --duration 10s
//
// It exits with 1 if a promise was broken.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/papayarudder/papayarudder/internal/admin"
)

type arguments struct {
	Entries  []netip.AddrPort `arg:"--entry,separate,required" help:"callers' address of an entry, in the order of --admin"`
	Admins   []netip.AddrPort `arg:"--admin,separate,required" help:"operators' address of an entry"`
	Platform netip.AddrPort   `arg:"--platform,required" help:"the stand-in's address"`
	Duration time.Duration    `arg:"--duration" default:"10s"`
	Rate     float64          `arg:"--rate" default:"120" help:"mean requests a second of each service"`
	Seed     uint64           `arg:"--seed" default:"1"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	ctx := context.Background()
	asker := admin.NewClient(args.Admins[0], time.Second)
	pools, err := asker.Pools(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, %s, %d services\n", args.Seed, args.Duration, len(pools))
	balancer := newBalancer(args.Entries, args.Admins)
	watch := newWatch(args.Admins)
	watched, stopWatch := context.WithCancel(ctx)
	var helpers sync.WaitGroup
	helpers.Go(func() { balancer.run(watched) })
	helpers.Go(func() { watch.run(watched) })
	results := sendAll(ctx, balancer, pools, args)
	stopWatch()
	helpers.Wait()
	return check(args.Platform, results, watch)
}

// sendAll sends every service's load and returns what each caller was told.
func sendAll(ctx context.Context, b *balancer, pools []admin.PoolWire, args arguments) []result {
	collector := &collector{}
	var services sync.WaitGroup
	for i, pool := range pools {
		for _, service := range pool.Services {
			random := rand.New(rand.NewPCG(args.Seed, uint64(i)))
			load := load{service: service, place: i, of: len(pools), rate: args.Rate, length: args.Duration, random: random}
			services.Go(func() { load.run(ctx, b, collector) })
		}
	}
	services.Wait()
	return collector.all()
}
