package main

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/platform/mimic"
)

// Figures of the case of two holders.
const (
	slowAnswer      = 240 * time.Millisecond // 60 times 4 ms, platform_slow
	slowTransaction = 480 * time.Millisecond // 60 times transaction_ms
	maxSlow         = 4500 * time.Millisecond
	maintenanceTime = 2 * time.Second // maintenance_s
	activeHosts     = 13              // of each of two pools
	waveHosts       = 24              // of 50, a share of 0.48
	waveAtOnce      = 2               // max_count
	waveTime        = 26 * time.Second
	rounds          = 5
	firstRestart    = 500 * time.Millisecond // after the store has turned slow, in the first round
	restartStep     = 100 * time.Millisecond // later in each further round
)

// slowStore is a proxy of the platform's store whose answers take long while it is slow.
type slowStore struct {
	proxy *httputil.ReverseProxy
	slow  atomic.Bool
	claim func() // called when a process claims the fleet
}

func newSlowStore(store netip.AddrPort) (*slowStore, *http.Server, netip.AddrPort, error) {
	p := &slowStore{proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.String()})}
	p.proxy.ErrorLog = log.New(io.Discard, "", 0) // calls that the processes gave up
	server, addr, err := serveLoopback(p)
	return p, server, addr, err
}

// ServeHTTP forwards a call. The answer to one that came while the store was slow is slow.
func (p *slowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	transaction := r.URL.Path == "/api/rows-tx"
	if _, writes, found := strings.Cut(string(body), `"write":`); transaction && found && strings.Contains(writes, `"table":"own","part":"@fleet"`) {
		p.claim()
	}
	answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	slow := p.slow.Load()
	p.proxy.ServeHTTP(answer, r)
	switch {
	case slow && transaction:
		time.Sleep(slowTransaction)
	case slow:
		time.Sleep(slowAnswer)
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes()) // the caller may have closed the connection
}

// heldAnswer keeps an answer until it is due.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldAnswer) Header() http.Header         { return h.header }
func (h *heldAnswer) WriteHeader(status int)      { h.status = status }
func (h *heldAnswer) Write(b []byte) (int, error) { return h.body.Write(b) }

// twoHolders plays the case of the fleet that moves to another process during a maintenance wave.
// The process that gives it away goes on, on what it was authorized to before.
func twoHolders(s *session) error {
	held := 0
	for round := range rounds {
		s.note("round %d", round+1)
		err := s.twoHoldersRound(firstRestart + time.Duration(round)*restartStep)
		if errors.Is(err, errBroken) {
			return err
		}
		if err == nil {
			held++
		} else {
			s.note("this round could not run: %v", err)
		}
		s.stopAll()
	}
	if held == 0 {
		return errors.New("no round could run")
	}
	return nil
}

func (s *session) twoHoldersRound(restartAfter time.Duration) error {
	var store, machines netip.AddrPort
	p, err := mimic.New(mimic.Options{
		Pools:      []mimic.Pool{{Name: "banco-nord", Hosts: activeHosts}, {Name: "banco-sud", Hosts: activeHosts}, {Name: "assistenza", Hosts: waveHosts, Standby: true}},
		Millicores: workerMillicores, MemoryMB: workerMemory, Transaction: 8 * time.Millisecond, Migration: 1500 * time.Millisecond, Maintenance: maintenanceTime,
		Via: func(server netip.AddrPort) netip.AddrPort {
			switch { // the first server is the store, the second one the machine API
			case !store.IsValid():
				store = server
			case !machines.IsValid():
				machines = server
			}
			return server
		},
	})
	if err != nil {
		return err
	}
	defer p.Close()
	proxy, server, addr, err := newSlowStore(store)
	if err != nil {
		return err
	}
	defer server.Close()
	proxy.claim = func() {}
	p.Configure(mimic.Config(1, queues("banco-nord", "cartellini"), []mimic.Pool{{Name: "banco-nord"}, {Name: "banco-sud"}, {Name: "assistenza", Standby: true}}))
	if err := s.start(processes, addr, machines); err != nil {
		return err
	}
	if s.trouble {
		for _, d := range s.daemons[1:] {
			_ = d.command.Process.Kill()
			_ = d.command.Wait()
			d.command = nil
		}
		s.note("all processes but one are killed")
	}
	time.Sleep(3 * time.Second) // until the remaining one holds the fleet and the pools

	var hosts []string
	for i := range waveHosts {
		hosts = append(hosts, fmt.Sprintf("m-%d", 2*activeHosts+i))
	}
	p.Wave(1, hosts, waveTime, waveAtOnce)
	s.note("operator: a wave of %d of %d machines, which are off, %d at once", waveHosts, 2*activeHosts+waveHosts, waveAtOnce)
	time.Sleep(2 * time.Second)
	proxy.claim = func() {
		if proxy.slow.CompareAndSwap(true, false) {
			s.note("the store is not slow any more; another process claims the fleet")
		}
	}
	if s.trouble {
		proxy.slow.Store(true)
		s.note("the store is slow: 60 times")
		time.AfterFunc(maxSlow, func() {
			if proxy.slow.CompareAndSwap(true, false) {
				s.note("the store is not slow any more")
			}
		})
	}
	time.Sleep(restartAfter) // the next machines are due 2.5 s after the first ones
	if s.trouble {
		for _, d := range s.daemons[1:] {
			if err := s.launch(d); err != nil {
				return err
			}
		}
		s.note("the other processes are started again")
	}
	time.Sleep(9 * time.Second)

	type span struct{ from, to time.Time }
	var down []span
	holders, begun := map[string]string{}, map[string]bool{}
	broken := 0
	var last string
	for _, o := range p.Orders() {
		if o.Kind != "maintain" {
			continue
		}
		if begun[o.Host] {
			s.note("upkeep of %s once more, by %s: not counted, as the platform answers 200 and does nothing", o.Host, o.Holder)
			continue
		}
		begun[o.Host] = true
		beside := 0
		for _, d := range down {
			if !o.At.Before(d.from) && o.At.Before(d.to) {
				beside++
			}
		}
		down = append(down, span{o.At, o.At.Add(maintenanceTime)})
		s.note("upkeep of %s at %.3f by %s, token %s, beside %d others", o.Host, o.At.Sub(s.began).Seconds(), o.Holder, o.Token, beside)
		if holders[o.Token] != "" && o.Token != last {
			s.note("a holder with token %s acts after one with token %s", o.Token, last)
		}
		holders[o.Token], last = o.Holder, o.Token
		if beside >= waveAtOnce {
			broken++
		}
	}
	if len(holders) == 0 {
		return errors.New("no upkeep was ordered")
	}
	if broken > 0 {
		return errors.Wrapf(errBroken, "LIMIT: %d upkeeps began while %d machines of their wave were down for theirs; the holders were %v", broken, waveAtOnce, holders)
	}
	return nil
}
