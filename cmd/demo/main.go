// Command demo sends a mixed load to a small running system, as its callers and
// their balancer do, and then compares, request by request, the outcome that each
// caller received with the endpoints' records.
//
// # Usage
//
// scripts/demo.sh starts the processes and then runs:
//
//	demo --entry 127.0.0.1:18101 --entry 127.0.0.1:18102 \
//	     --admin 127.0.0.1:18301 --admin 127.0.0.1:18302 \
//	     --platform 127.0.0.1:17000 --duration 10s
//
// The exit code is 1 if the system broke one of its promises to callers or
// exceeded a limit.
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
	client := admin.NewClient(args.Admins[0], time.Second)
	pools, err := client.Pools(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, %s, %d services\n", args.Seed, args.Duration, len(pools))
	balancer := newBalancer(args.Entries, args.Admins)
	monitor := newMonitor(args.Admins)
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { balancer.run(monitorCtx) })
	background.Go(func() { monitor.run(monitorCtx) })
	results := sendAll(ctx, balancer, pools, args)
	stopMonitor()
	background.Wait()
	return check(args.Platform, results, monitor)
}

// sendAll sends every service's load and returns the outcome of each request.
func sendAll(ctx context.Context, b *balancer, pools []admin.PoolWire, args arguments) []result {
	collector := &collector{}
	var services sync.WaitGroup
	for i, pool := range pools {
		for _, service := range pool.Services {
			random := rand.New(rand.NewPCG(args.Seed, uint64(i)))
			load := load{service: service, turn: i, turns: len(pools), rate: args.Rate, length: args.Duration, random: random}
			services.Go(func() { load.run(ctx, b, collector) })
		}
	}
	services.Wait()
	return collector.all()
}
