// Package daemon is one process of the system on the users' platform: it answers
// callers, knows the other processes, and owns its share of the pools.
//
// # Usage
//
//	settings, err := platform.LoadSettings(path)
//	d := daemon.New(settings, logger)
//	err = d.Run(ctx) // until ctx ends; hands its pools over before it returns
//
// Every process runs the same parts. Which process owns a pool is agreed in the
// platform's store; a process that finds an owner gone claims the pool if it is
// the one with the fewest pools among those that it can reach.
package daemon
