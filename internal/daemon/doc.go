// Package daemon runs one process of the system on the users' platform. The process
// answers callers, tracks the other processes and owns its share of the pools.
//
// # Usage
//
//	settings, err := platform.LoadSettings(path)
//	d := daemon.New(settings, logger)
//	err = d.Run(ctx) // returns after ctx ends and the pools are handed over
//
// All processes are alike. The platform's store records which process owns a pool.
// When the owner of a pool fails, the reachable process that owns the fewest pools
// claims it.
package daemon
