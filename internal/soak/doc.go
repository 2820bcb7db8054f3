// Package soak runs whole deployments of the program, as processes of the operating system,
// against the stand-in of the users' platform in platform/mimic, under disruptions that
// follow each other within seconds. It checks from what callers, workers and the store saw
// that no task ran twice or unasked, that no job was lost and that no process ended by itself.
// Every second queue has advice; one of these goes, returns, moves to another pool and changes.
// Processes are restarted in turn, some before the last ones are back. Callers have the keys of
// organisations, which change; also from outside it is checked that no call gets in with a
// removed, unknown or foreign key. Links and checks are here; what starts processes is in the tests.
//
// # Usage
//
//	go test ./internal/soak                                   // two short runs of each test
//	go test ./internal/soak -run TestSoak -v -first 1 -seeds 50 -for 30s -binary ./papayarudder -out dir
//
// The schedule of a run follows from its seed. -binary names another build of the program;
// without it the code under test runs. -only and -without choose kinds of faults, -processes,
// -workers and -pools the size. -frozen adds cases with a frozen process to TestPartition,
// -hand-overs chooses the series of TestHandOvers, -backlogs plays all cases of TestBacklogs. The
// record of a run that broke a rule is printed, or written to the directory that -out names.
package soak
