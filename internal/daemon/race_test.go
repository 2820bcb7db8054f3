//go:build race

package daemon_test

// slowdown is by how much more processor time the race detector lets a process use, at
// least: 5 to 10 times by its documentation.
const slowdown = 5
