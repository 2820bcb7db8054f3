package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/rpc"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/papayarudder/papayarudder/internal/member"
	"github.com/papayarudder/papayarudder/internal/once"
	"github.com/papayarudder/papayarudder/internal/plat"
	"github.com/papayarudder/papayarudder/internal/stand"
	"github.com/papayarudder/papayarudder/internal/store"
	"github.com/papayarudder/papayarudder/internal/wire"
)

func memberInfo(i int) member.Info {
	return member.Info{
		Name:        fmt.Sprintf("entry-%03d", i),
		Incarnation: uuid.NewString()[:13],
		Zone:        "zone-a",
		Peer:        netip.MustParseAddrPort("10.11.12.13:8303"),
		Admin:       netip.MustParseAddrPort("10.11.12.13:8203"),
		State:       member.Ready,
	}
}

// callCost is the cost of one call at both ends together.
type callCost struct {
	wire float64 // bytes in both directions
	cpu  float64 // nanoseconds
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept is part of [net.Listener].
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read is part of [net.Conn].
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write is part of [net.Conn].
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func listen(bytes *atomic.Int64) (net.Listener, netip.AddrPort) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return countingListener{listener, bytes}, listener.Addr().(*net.TCPAddr).AddrPort()
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCost returns the mean cost of a call, after a few warm-up calls.
func measureCost(bytes *atomic.Int64, call func()) callCost {
	const calls = 400
	for range 20 {
		call()
	}
	runtime.GC()
	bytes.Store(0)
	start := processorTime()
	for range calls {
		call()
	}
	return callCost{float64(bytes.Load()) / calls, float64((processorTime() - start).Nanoseconds()) / calls}
}

// platformCallCost measures a call over HTTP to a stand-in for the platform, whose
// table holds one lease row per member.
func platformCallCost(members int, call func(table plat.Table)) callCost {
	var bytes atomic.Int64
	table := stand.NewTable()
	ctx := context.Background()
	for i := range members {
		lease := member.NewLease(memberInfo(i), member.DefaultTiming())
		if err := lease.Renew(ctx, table.Adapter(), 1, epoch); err != nil {
			panic(err)
		}
	}
	listener, addr := listen(&bytes)
	server := &http.Server{Handler: stand.NewServer(table, nil).Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	remote := plat.Dial(addr, time.Second).Table
	return measureCost(&bytes, func() { call(remote) })
}

func leaseReadCost(members int) callCost {
	var reader *member.Reader
	return platformCallCost(members, func(table plat.Table) {
		if reader == nil {
			reader = member.NewReader(table)
		}
		if _, err := reader.Read(context.Background()); err != nil {
			panic(err)
		}
	})
}

func headReadCost(members int) callCost {
	return platformCallCost(members, func(table plat.Table) {
		if _, err := store.New(table, plat.Objects{}).Head(context.Background()); err != nil {
			panic(err)
		}
	})
}

// shardsReadCost measures a read of the row that lists the owners of key shards.
func shardsReadCost(members int) callCost {
	var shares once.ShardOwners
	for i := range shares {
		shares[i] = once.ShardOwner{Owner: memberInfo(i % members).Incarnation, Epoch: 100}
	}
	written := false
	return platformCallCost(members, func(table plat.Table) {
		if !written {
			written = true
			txn := plat.Txn{Puts: []plat.Put{{Key: "keys", Value: once.EncodeShardOwners(shares)}}}
			if err := table.Commit(context.Background(), txn); err != nil {
				panic(err)
			}
		}
		if _, err := table.Read(context.Background(), []string{"keys"}); err != nil {
			panic(err)
		}
	})
}

// leavingReadCost measures a read of the list of leaving hosts.
func leavingReadCost(hosts int) callCost {
	var bytes atomic.Int64
	workers := map[string]*stand.Worker{}
	for i := range hosts {
		workers[newHost(i).Spec.Name] = nil
	}
	platform := stand.NewServer(stand.NewTable(), workers)
	for name := range workers {
		platform.SetLeaving(name, true)
	}
	listener, addr := listen(&bytes)
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	remote := plat.Dial(addr, time.Second).Hosts
	return measureCost(&bytes, func() {
		if _, err := remote.Leaving(context.Background()); err != nil {
			panic(err)
		}
	})
}

func renewCost(members int) callCost {
	lease := member.NewLease(memberInfo(1000), member.DefaultTiming())
	return platformCallCost(members, func(table plat.Table) {
		if err := lease.Renew(context.Background(), table, 1, epoch); err != nil {
			panic(err)
		}
	})
}

func heartbeatCost(members int) callCost {
	var bytes atomic.Int64
	listener, addr := listen(&bytes)
	server := wire.NewServer()
	go func() { _ = server.Serve(listener) }()
	defer listener.Close()
	defer server.Close()
	client, err := rpc.Dial("tcp", addr.String())
	if err != nil {
		panic(err)
	}
	defer client.Close()
	return measureCost(&bytes, func() {
		for range members {
			if err := client.Call("Heartbeat.Beat", wire.Beat{}, &wire.Beat{}); err != nil {
				panic(err)
			}
		}
	})
}
