package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
)

// remote holds the options of the commands that call the operators' interface of
// a process.
type remote struct {
	Admin   netip.AddrPort `arg:"--admin,required,env:PAPAYARUDDER_ADMIN" placeholder:"ADDRESS" help:"operators' address of any process"`
	Timeout time.Duration  `arg:"--timeout" default:"10s" help:"longest wait for an answer"`
	JSON    bool           `arg:"--json" help:"print JSON for scripts"`
}

func (r remote) client() *admin.Client {
	return admin.NewClient(r.Admin, r.Timeout)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print JSON")
}

// printTable prints rows in aligned columns; the first row is the heading.
func printTable(out io.Writer, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for i, row := range rows {
		line := strings.Join(row, "\t")
		if i == 0 {
			line = strings.ToUpper(line)
		}
		fmt.Fprintln(w, line)
	}
	return errors.Wrap(w.Flush(), "print table")
}
