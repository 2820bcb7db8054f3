package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
)

// ticketCommand groups the commands about change tickets.
type ticketCommand struct {
	Plan   *ticketPlan   `arg:"subcommand:plan" help:"tell what a ticket would do, without submitting it"`
	Submit *ticketSubmit `arg:"subcommand:submit" help:"submit a ticket"`
	Show   *ticketShow   `arg:"subcommand:show" help:"show an accepted ticket with its content"`
	List   *ticketList   `arg:"subcommand:list" help:"list accepted tickets"`
}

// errNotInForce is returned if a ticket is neither accepted nor in force already.
var errNotInForce = errors.New("the ticket is not in force")

// ticketSubmit submits a ticket. Submitting an accepted ticket again succeeds.
type ticketSubmit struct {
	remote
	File string `arg:"positional,required" placeholder:"FILE" help:"ticket in JSON, - for standard input"`
}

func (c *ticketSubmit) run(ctx context.Context, out io.Writer) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	decision, err := c.client().Submit(ctx, data)
	if err != nil {
		return err
	}
	return c.report(out, decision)
}

// ticketPlan prints what a ticket would change, without submitting it.
type ticketPlan struct {
	remote
	File string `arg:"positional,required" placeholder:"FILE" help:"ticket in JSON, - for standard input"`
}

func (c *ticketPlan) run(ctx context.Context, out io.Writer) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	decision, err := c.client().Plan(ctx, data)
	if err != nil {
		return err
	}
	return c.report(out, decision)
}

// report prints a decision and returns an error unless the ticket is in force.
func (r remote) report(out io.Writer, decision admin.DecisionWire) error {
	if r.JSON {
		if err := printJSON(out, decision); err != nil {
			return err
		}
	} else {
		printDecision(out, decision)
	}
	if decision.Verdict != "accepted" && decision.Verdict != "repeated" {
		return errors.Wrap(errNotInForce, decision.Verdict)
	}
	return nil
}

func printDecision(out io.Writer, d admin.DecisionWire) {
	fmt.Fprintf(out, "%s: %s\n", d.Verdict, d.Reason)
	for _, f := range d.Faults {
		fmt.Fprintf(out, "  %s: %q is not allowed: %s\n", f.Field, f.Value, f.Allowed)
	}
	for _, effect := range d.Effects {
		fmt.Fprintf(out, "  would: %s\n", effect)
	}
	if d.Version > 0 {
		fmt.Fprintf(out, "in force from version %d\n", d.Version)
	}
}

// ticketShow prints one accepted ticket.
type ticketShow struct {
	remote
	Number uint64 `arg:"positional,required" placeholder:"NUMBER"`
}

func (c *ticketShow) run(ctx context.Context, out io.Writer) error {
	t, err := c.client().Ticket(ctx, c.Number)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, t)
	}
	fmt.Fprintf(out, "ticket %d by %s: %s\n", t.Number, t.Author, t.Reason)
	fmt.Fprintf(out, "in force from version %d, %s\n", t.Version, t.At.UTC().Format(time.RFC3339))
	var content bytes.Buffer
	if err := json.Indent(&content, t.Content, "", "  "); err != nil {
		return errors.Wrap(err, "read the ticket's content")
	}
	fmt.Fprintln(out, content.String())
	return nil
}

// ticketList prints all accepted tickets.
type ticketList struct {
	remote
}

func (c *ticketList) run(ctx context.Context, out io.Writer) error {
	tickets, err := c.client().Tickets(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, tickets)
	}
	rows := [][]string{{"number", "version", "author", "reason"}}
	for _, t := range tickets {
		rows = append(rows, []string{
			strconv.FormatUint(t.Number, 10),
			strconv.FormatUint(t.Version, 10),
			t.Author,
			t.Reason,
		})
	}
	return printTable(out, rows)
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, errors.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(path)
	return data, errors.Wrap(err, "read ticket")
}
