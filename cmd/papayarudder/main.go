// Command papayarudder is a fleet capacity and maintenance manager: the process
// that runs on every entry host, and the operators' command line.
//
// # Usage
//
//	papayarudder serve --settings entry-1.ini
//	papayarudder ticket submit --admin 10.0.0.1:8201 ticket-1.json
//	papayarudder --help
//
// The exit code is 0 on success, 1 if a request was refused or failed, with the
// reason on standard error, and 2 for invalid arguments.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage is returned for arguments that are missing, invalid or in conflict.
var errUsage = errors.New("wrong use")

// commandLine holds the parsed arguments of go-arg.
type commandLine struct {
	Serve         *serveCommand      `arg:"subcommand:serve" help:"run one process of the system"`
	Daemon        *daemonCommand     `arg:"subcommand:daemon" help:"run one process of the system on the users' platform"`
	CheckSettings *settingsCommand   `arg:"subcommand:check-settings" help:"check settings files whole"`
	Job           *jobCommand        `arg:"subcommand:job" help:"submit, show, watch, cancel and list jobs"`
	Where         *whereCommand      `arg:"subcommand:where" help:"tell where a job would go now and why, without submitting it"`
	Wave          *waveCommand       `arg:"subcommand:wave" help:"list maintenance waves"`
	Org           *orgCommand        `arg:"subcommand:org" help:"list and show organisations"`
	Explain       *explainCommand    `arg:"subcommand:explain" help:"tell the story of a job from logs"`
	Ticket        *ticketCommand     `arg:"subcommand:ticket" help:"submit, show and list change tickets"`
	Pool          *poolCommand       `arg:"subcommand:pool" help:"list pools"`
	Host          *hostCommand       `arg:"subcommand:host" help:"list hosts"`
	Member        *memberCommand     `arg:"subcommand:member" help:"list the processes of the system"`
	Timeline      *timelineCommand   `arg:"subcommand:timeline" help:"merge the time lines of all processes"`
	Replay        *replayCommand     `arg:"subcommand:replay" help:"replay recorded dispatch steps"`
	Experiment    *experimentCommand `arg:"subcommand:experiment" help:"play scenarios in virtual time and compare policies"`
	Request       *requestCommand    `arg:"subcommand:request" help:"send one request as a caller would"`
	Version       *versionCommand    `arg:"subcommand:version" help:"print the version"`
}

// Description is part of the help text.
func (commandLine) Description() string {
	return "papayarudder keeps a fleet of hosts in service while it is refreshed a little at a time."
}

// command is a subcommand that can be run.
type command interface {
	run(ctx context.Context, out io.Writer) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var line commandLine
	parser, err := arg.NewParser(arg.Config{Program: "papayarudder", Out: errOut}, &line)
	if err != nil {
		panic(err)
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		fmt.Fprintln(errOut, "error:", err)
		return exitUsage
	}
	selected := asCommand(parser.Subcommand())
	if selected == nil {
		_ = parser.WriteHelpForSubcommand(errOut, parser.SubcommandNames()...)
		return exitUsage
	}
	return reportError(selected.run(ctx, out), errOut)
}

// asCommand returns the subcommand if it can be run; nil if none was named, or
// only a group of subcommands.
func asCommand(subcommand any) command {
	runnable, isCommand := subcommand.(command)
	if !isCommand {
		return nil
	}
	return runnable
}

// reportError prints the error, if any, and returns the exit code.
func reportError(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "error:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}
