package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/papayarudder/papayarudder/internal/admin"
)

// orgCommand groups the commands about organisations.
type orgCommand struct {
	List *orgList `arg:"subcommand:list" help:"list organisations with what they use in all pools"`
	Show *orgShow `arg:"subcommand:show" help:"show what an organisation uses in each pool"`
}

// orgList prints all organisations.
type orgList struct{ remote }

func (c *orgList) run(ctx context.Context, out io.Writer) error {
	all, err := c.client().Organisations(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, all)
	}
	rows := [][]string{{"organisation", "weight", "quota", "claimed", "running", "waiting", "refused"}}
	for _, o := range all {
		rows = append(rows, orgRow(o))
	}
	return printTable(out, rows)
}

// orgShow prints one organisation.
type orgShow struct {
	remote
	Name string `arg:"positional,required" help:"the organisation's name"`
}

func (c *orgShow) run(ctx context.Context, out io.Writer) error {
	o, err := c.client().Organisation(ctx, c.Name)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, o)
	}
	if !o.Configured {
		fmt.Fprintf(out, "%s is not in the configuration; it has jobs left\n", o.Name)
	}
	fmt.Fprintf(out, "weight %d, quota %s\n", o.Weight, formatQuota(o.Quota))
	rows := [][]string{{"pool", "jobs", "running", "claimed", "allotment", "waiting", "wants", "refused"}}
	for _, p := range o.Pools {
		row := []string{p.Pool, "?", "?", "?", "?", "?", "?", "?"}
		if p.Known {
			row = []string{
				p.Pool, strconv.Itoa(p.Jobs), strconv.Itoa(p.Running), formatResources(p.Claimed), formatResources(p.Allotment),
				strconv.Itoa(p.WaitingTasks), formatResources(p.Waiting), formatCauses(p.Refused),
			}
		}
		rows = append(rows, row)
	}
	return printTable(out, rows)
}

// orgRow returns the sums over all pools. One that a pool's owner did not tell of is marked.
func orgRow(o admin.OrganisationWire) []string {
	var claimed admin.ResourcesWire
	running, waiting, mark := 0, 0, ""
	refused := map[string]int{}
	for _, p := range o.Pools {
		if !p.Known {
			mark = "+?"
		}
		claimed.Millicores += p.Claimed.Millicores
		claimed.MemoryMB += p.Claimed.MemoryMB
		claimed.Accelerators += p.Claimed.Accelerators
		running += p.Running
		waiting += p.WaitingTasks
		for cause, n := range p.Refused {
			refused[cause] += n
		}
	}
	weight := strconv.Itoa(o.Weight)
	if !o.Configured {
		weight = "removed"
	}
	return []string{
		o.Name, weight, formatQuota(o.Quota), formatResources(claimed) + mark,
		strconv.Itoa(running) + mark, strconv.Itoa(waiting) + mark, formatCauses(refused),
	}
}

// formatResources returns millicores, MB and accelerators, with - for one without a limit.
func formatResources(r admin.ResourcesWire) string {
	var fields []string
	for _, n := range []int{r.Millicores, r.MemoryMB, r.Accelerators} {
		field := strconv.Itoa(n)
		if n == admin.NoLimit {
			field = "-"
		}
		fields = append(fields, field)
	}
	return strings.Join(fields, "/")
}

// formatQuota is formatResources for a quota, in which 0 means that there is no limit.
func formatQuota(r admin.ResourcesWire) string {
	for _, n := range []*int{&r.Millicores, &r.MemoryMB, &r.Accelerators} {
		if *n == 0 {
			*n = admin.NoLimit
		}
	}
	return formatResources(r)
}

func formatCauses(counts map[string]int) string {
	var causes []string
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		causes = append(causes, fmt.Sprintf("%s:%d", cause, counts[cause]))
	}
	return strings.Join(causes, " ")
}
