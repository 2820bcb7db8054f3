package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/event"
	"github.com/papayarudder/papayarudder/internal/store"
)

// ErrRefused is returned if the process answers with an error.
var ErrRefused = errors.New("refused")

// Client is a client for the operators' interface of one process.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the process at addr. Each call ends after timeout at
// the latest.
func NewClient(addr netip.AddrPort, timeout time.Duration) *Client {
	return &Client{base: "http://" + addr.String(), http: &http.Client{Timeout: timeout}}
}

// Submit submits a ticket. Rejection of the ticket is a decision, not an error.
func (c *Client) Submit(ctx context.Context, data []byte) (DecisionWire, error) {
	return c.postTicket(ctx, PathTickets, data)
}

// Plan returns the decision on a ticket and its effects, without applying it.
func (c *Client) Plan(ctx context.Context, data []byte) (DecisionWire, error) {
	return c.postTicket(ctx, PathTickets+"?plan=true", data)
}

func (c *Client) postTicket(ctx context.Context, path string, data []byte) (DecisionWire, error) {
	var w DecisionWire
	status, body, err := c.do(ctx, http.MethodPost, path, data)
	if err != nil {
		return w, err
	}
	if status == http.StatusServiceUnavailable || status == http.StatusRequestEntityTooLarge {
		return w, refusalError(body)
	}
	return w, errors.Wrap(json.Unmarshal(body, &w), "read decision")
}

// Ticket returns an accepted ticket.
func (c *Client) Ticket(ctx context.Context, number uint64) (store.TicketWire, error) {
	var w store.TicketWire
	return w, c.get(ctx, fmt.Sprintf("%s/%d", PathTickets, number), &w)
}

// Tickets returns all accepted tickets, without their content.
func (c *Client) Tickets(ctx context.Context) ([]store.TicketWire, error) {
	var w []store.TicketWire
	return w, c.get(ctx, PathTickets, &w)
}

// Pools returns all pools.
func (c *Client) Pools(ctx context.Context) ([]PoolWire, error) {
	var w []PoolWire
	return w, c.get(ctx, PathPools, &w)
}

// Hosts returns all hosts.
func (c *Client) Hosts(ctx context.Context) ([]HostWire, error) {
	var w []HostWire
	return w, c.get(ctx, PathHosts, &w)
}

// Members returns all processes of the system.
func (c *Client) Members(ctx context.Context) ([]MemberWire, error) {
	var w []MemberWire
	return w, c.get(ctx, PathMembers, &w)
}

// Timeline returns the events of the process after sequence number since.
func (c *Client) Timeline(ctx context.Context, since uint64) ([]event.Event, error) {
	status, body, err := c.do(ctx, http.MethodGet, fmt.Sprintf("%s?since=%d", PathTimeline, since), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, refusalError(body)
	}
	return event.Read(bytes.NewReader(body))
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	status, body, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return refusalError(body)
	}
	return errors.Wrapf(json.Unmarshal(body, result), "read %s", path)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, path)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, errors.Wrap(err, path)
}

func refusalError(body []byte) error {
	var w ErrorWire
	if err := json.Unmarshal(body, &w); err != nil || w.Error == "" {
		return errors.Wrap(ErrRefused, string(body))
	}
	return errors.Wrap(ErrRefused, w.Error)
}
