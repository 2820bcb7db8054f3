// Command standin is a small stand-in of the platform for the demo and for manual
// tests: a table service, an object store, a list of hosts, and the workers that a
// ticket declares.
//
// # Usage
//
//	standin --listen 127.0.0.1:7000 --ticket examples/caltanissetta/ticket-1.json
//
// While it runs, faults are switched on and off over HTTP:
//
//	curl -d '{"table":{"down":true}}' 127.0.0.1:7000/switches
//	curl -d '{"workers":{"nissa-01":{"mode":"silent"}}}' 127.0.0.1:7000/switches
package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/internal/ticket"
)

type arguments struct {
	Listen  netip.AddrPort `arg:"--listen,required" help:"address of the platform's services"`
	Tickets []string       `arg:"--ticket,separate" placeholder:"FILE" help:"start a worker for each host of this ticket"`
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
	workers := map[string]*stand.Worker{}
	for _, path := range args.Tickets {
		if err := startWorkers(path, workers); err != nil {
			return err
		}
	}
	server := &http.Server{
		Addr:              args.Listen.String(),
		Handler:           stand.NewServer(stand.NewTable(), workers).Handler(),
		ReadHeaderTimeout: time.Second,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the platform")
	}
	return nil
}

func startWorkers(path string, workers map[string]*stand.Worker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read ticket")
	}
	t, faults := ticket.Parse(data)
	if len(faults) > 0 {
		return errors.Newf("%s: %s", path, faults[0])
	}
	for _, h := range t.Hosts {
		worker := stand.NewWorker(stand.WorkerConfig{Name: h.Name, Addr: h.Addr, Slots: h.Slots})
		if _, err := worker.Listen(); err != nil {
			return err
		}
		workers[h.Name] = worker
	}
	return nil
}
