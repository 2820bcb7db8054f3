//go:build !race

package daemon_test

const slowdown = 1 // see race_test.go
