package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/pkg/caller"
)

// requestCommand sends one request as a caller would and prints the answer's
// body. A refusal goes to standard error and makes the exit code 1.
type requestCommand struct {
	Entry       netip.AddrPort `arg:"--entry,required,env:PAPAYARUDDER_ENTRY" placeholder:"ADDRESS" help:"callers' address of an entry or balancer"`
	Service     string         `arg:"positional,required" placeholder:"SERVICE"`
	Body        string         `arg:"--body" help:"body of the request"`
	BodyFile    string         `arg:"--body-file" help:"file with the body, - for standard input"`
	ContentType string         `arg:"--content-type" default:"text/plain"`
	Key         string         `arg:"--key" help:"idempotency key (UUIDv7), or new for a new one"`
	Team        string         `arg:"--team"`
	Urgency     string         `arg:"--urgency" help:"low, normal or urgent"`
	Timeout     time.Duration  `arg:"--timeout" help:"longest time that the request may take"`
	ID          string         `arg:"--id" help:"request id"`
	JSON        bool           `arg:"--json" help:"print the outcome as JSON"`
}

func (c *requestCommand) run(ctx context.Context, out io.Writer) error {
	body := []byte(c.Body)
	if c.BodyFile != "" && c.Body != "" {
		return errors.Wrap(errUsage, "--body and --body-file exclude each other")
	}
	if c.BodyFile != "" {
		data, err := readFile(c.BodyFile)
		if err != nil {
			return err
		}
		body = data
	}
	if c.Key == "new" {
		c.Key = caller.NewKey()
	}
	client := caller.NewClient(c.Entry)
	defer client.Close()
	answer, err := client.Do(ctx, caller.Request{
		Service:     c.Service,
		ID:          c.ID,
		Key:         c.Key,
		Team:        c.Team,
		Urgency:     c.Urgency,
		Timeout:     c.Timeout,
		ContentType: c.ContentType,
		Body:        body,
	})
	var refusal *caller.Refusal
	if c.JSON && errors.As(err, &refusal) {
		_, _ = out.Write(caller.EncodeRefusal(refusal))
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, answerWire{"answered", answer.RequestID, answer.Status, answer.Body})
	}
	_, err = fmt.Fprintf(out, "%s", answer.Body)
	return errors.Wrap(err, "print answer")
}

// answerWire is the JSON form of an answer; the body is in base64.
type answerWire struct {
	Outcome   string `json:"outcome"`
	RequestID string `json:"request-id"`
	Status    int    `json:"status"`
	Body      []byte `json:"body"`
}
