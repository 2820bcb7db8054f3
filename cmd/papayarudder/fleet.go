package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// poolCommand groups the commands about pools.
type poolCommand struct {
	List *poolList `arg:"subcommand:list" help:"list pools with their budgets"`
}

// poolList prints all pools.
type poolList struct {
	remote
}

func (c *poolList) run(ctx context.Context, out io.Writer) error {
	pools, err := c.client().Pools(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, pools)
	}
	rows := [][]string{{"pool", "hosts", "away", "budget", "ticket", "services"}}
	for _, p := range pools {
		rows = append(rows, []string{
			p.Name,
			strconv.Itoa(p.Hosts),
			strconv.Itoa(p.Away),
			strconv.Itoa(p.Budget),
			strconv.FormatUint(p.Ticket, 10),
			strings.Join(p.Services, " "),
		})
	}
	return printTable(out, rows)
}

// hostCommand groups the commands about hosts.
type hostCommand struct {
	List *hostList `arg:"subcommand:list" help:"list hosts with their states"`
}

// hostList prints all hosts.
type hostList struct {
	remote
	Pool string `arg:"--pool" help:"only the hosts of this pool"`
}

func (c *hostList) run(ctx context.Context, out io.Writer) error {
	all, err := c.client().Hosts(ctx)
	if err != nil {
		return err
	}
	hosts := all[:0]
	for _, h := range all {
		if c.Pool == "" || h.Pool == c.Pool {
			hosts = append(hosts, h)
		}
	}
	if c.JSON {
		return printJSON(out, hosts)
	}
	rows := [][]string{{"host", "pool", "target", "state", "zone", "rack", "address", "slots"}}
	for _, h := range hosts {
		rows = append(rows, []string{h.Name, h.Pool, h.Target, h.State, h.Zone, h.Rack, h.Address, strconv.Itoa(h.Slots)})
	}
	return printTable(out, rows)
}

// memberCommand groups the commands about the system's own processes.
type memberCommand struct {
	List *memberList `arg:"subcommand:list" help:"list the processes of the system"`
}

// memberList prints the live processes according to the one that is asked.
type memberList struct {
	remote
}

func (c *memberList) run(ctx context.Context, out io.Writer) error {
	members, err := c.client().Members(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, members)
	}
	rows := [][]string{{"member", "zone", "state", "version", "answers", "operators"}}
	for _, m := range members {
		rows = append(rows, []string{
			m.Name,
			m.Zone,
			m.State,
			strconv.FormatUint(m.Version, 10),
			fmt.Sprint(!m.Suspect),
			m.Admin,
		})
	}
	return printTable(out, rows)
}
