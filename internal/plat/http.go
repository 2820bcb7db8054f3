package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Paths of the platform's HTTP interface.
const (
	PathRead    = "/table/read"
	PathScan    = "/table/scan"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathHosts   = "/hosts" // with ?state=leaving only the hosts that are leaving
	PathReboot  = "/hosts/reboot"
)

const maxResponseBytes = 64 << 20

// RowWire is the JSON form of a [Row].
type RowWire struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// ReadWire is the JSON form of a request for rows by key.
type ReadWire struct {
	Keys []string `json:"keys"`
}

// ScanWire is the JSON form of a request for rows by key prefix.
type ScanWire struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// RowsWire is the JSON form of the reply to a read or a scan.
type RowsWire struct {
	Rows []RowWire `json:"rows"`
}

// TxnWire is the JSON form of a [Txn].
type TxnWire struct {
	Checks  []RowWire `json:"checks,omitempty"`
	Puts    []RowWire `json:"puts,omitempty"`
	Deletes []string  `json:"deletes,omitempty"`
}

// HostWire is the JSON form of an entry in the list of hosts.
type HostWire struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// RebootWire is the JSON form of a request to reboot a host.
type RebootWire struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// client calls the platform over HTTP. Each call has its own timeout. A call that
// gets no response also closes all idle connections: if a server or a device on the
// path has silently dropped one connection, it may have dropped them all, and each
// later call on one of them would wait for its timeout.
type client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// Dial returns a client of the platform at addr. It connects at the first call.
// The timeout applies to each call.
func Dial(addr netip.AddrPort, timeout time.Duration) Platform {
	dialer := net.Dialer{Timeout: timeout}
	c := &client{
		base:    "http://" + addr.String(),
		timeout: timeout,
		http:    &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8}},
	}
	return Platform{
		Table:   Table{Read: c.read, Scan: c.scan, Commit: c.commit},
		Objects: Objects{Put: c.putObject, Get: c.getObject},
		Hosts:   Hosts{Leaving: c.leavingHosts, Reboot: c.reboot},
	}
}

func (c *client) read(ctx context.Context, keys []string) ([]Row, error) {
	return c.rows(ctx, PathRead, ReadWire{Keys: keys})
}

func (c *client) scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	return c.rows(ctx, PathScan, ScanWire{Prefix: prefix, After: after, Limit: limit})
}

func (c *client) rows(ctx context.Context, path string, body any) ([]Row, error) {
	_, data, err := c.post(ctx, path, body)
	if err != nil {
		return nil, err
	}
	var w RowsWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s: %v", path, err)
	}
	rows := make([]Row, 0, len(w.Rows))
	for _, r := range w.Rows {
		rows = append(rows, Row(r))
	}
	return rows, nil
}

func (c *client) commit(ctx context.Context, txn Txn) error {
	w := TxnWire{Deletes: txn.Deletes}
	for _, check := range txn.Checks {
		w.Checks = append(w.Checks, RowWire{Key: check.Key, Version: check.Version})
	}
	for _, put := range txn.Puts {
		w.Puts = append(w.Puts, RowWire{Key: put.Key, Value: put.Value})
	}
	status, _, err := c.post(ctx, PathCommit, w)
	if status == http.StatusConflict {
		return errors.WithStack(ErrConflict)
	}
	if err != nil {
		return errors.Wrap(ErrUncertain, err.Error())
	}
	return nil
}

func (c *client) putObject(ctx context.Context, name string, data []byte) error {
	_, _, err := c.do(ctx, http.MethodPut, PathObjects+url.PathEscape(name), data)
	return err
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	status, data, err := c.do(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil)
	if status == http.StatusNotFound {
		return nil, errors.Wrap(ErrNotFound, name)
	}
	return data, err
}

func (c *client) leavingHosts(ctx context.Context) ([]string, error) {
	_, data, err := c.do(ctx, http.MethodGet, PathHosts+"?state=leaving", nil)
	if err != nil {
		return nil, err
	}
	var w []HostWire
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s: %v", PathHosts, err)
	}
	var names []string
	for _, h := range w {
		if h.Leaving {
			names = append(names, h.Name)
		}
	}
	return names, nil
}

func (c *client) reboot(ctx context.Context, host string, addr netip.AddrPort) error {
	_, _, err := c.post(ctx, PathReboot, RebootWire{Name: host, Address: addr.String()})
	return err
}

func (c *client) post(ctx context.Context, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, errors.Wrap(err, path)
	}
	return c.do(ctx, http.MethodPost, path, data)
}

func (c *client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.http.CloseIdleConnections()
		return 0, nil, errors.Wrapf(ErrUnavailable, "%s: %v", path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, errors.Wrapf(ErrUnavailable, "%s: %v", path, err)
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, data, errors.Wrapf(ErrUnavailable, "%s: %s", path, response.Status)
	}
	return response.StatusCode, data, nil
}
