package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/papayarudder/papayarudder/internal/admin"
)

// jobCommand groups the commands about jobs.
type jobCommand struct {
	Submit *jobSubmit `arg:"subcommand:submit" help:"submit a job to a queue"`
	Show   *jobShow   `arg:"subcommand:show" help:"show how a job stands"`
	Watch  *jobWatch  `arg:"subcommand:watch" help:"show a job until it ends"`
	Cancel *jobCancel `arg:"subcommand:cancel" help:"end a job"`
	List   *jobList   `arg:"subcommand:list" help:"list jobs"`
	Pools  *jobPools  `arg:"subcommand:pools" help:"list the pools that run jobs"`
}

// jobSubmit submits a job from a file.
type jobSubmit struct {
	remote
	Queue string `arg:"--queue,required" help:"name of the queue"`
	File  string `arg:"positional,required" placeholder:"FILE" help:"the job as JSON: spec and steps"`
}

func (c *jobSubmit) run(ctx context.Context, out io.Writer) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read job")
	}
	job, err := c.client().SubmitJob(ctx, c.Queue, data)
	if err != nil {
		return err
	}
	return printJobs(out, c.JSON, job)
}

// jobShow prints one job.
type jobShow struct {
	remote
	ID string `arg:"positional,required" help:"the job's id"`
}

func (c *jobShow) run(ctx context.Context, out io.Writer) error {
	job, err := c.client().Job(ctx, c.ID)
	if err != nil {
		return err
	}
	return printJobs(out, c.JSON, job)
}

// jobWatch prints a job's progress whenever it changes, until the job ends.
type jobWatch struct {
	remote
	ID    string        `arg:"positional,required" help:"the job's id"`
	Every time.Duration `arg:"--every" default:"500ms" help:"time between looks"`
}

// errJobFailed is returned for a job that failed or was cancelled.
var errJobFailed = errors.New("the job did not complete")

func (c *jobWatch) run(ctx context.Context, out io.Writer) error {
	last := ""
	for {
		job, err := c.client().Job(ctx, c.ID)
		if err != nil {
			return err
		}
		line := fmt.Sprintf("%s  %s  %d of %d tasks done, %d running", job.ID, job.State, job.Done, job.Tasks, job.Running)
		if line != last {
			fmt.Fprintln(out, line)
			last = line
		}
		switch job.State {
		case "complete":
			return nil
		case "failed", "cancelled":
			return errors.Wrapf(errJobFailed, "%s is %s", job.ID, job.State)
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "watch")
		case <-time.After(c.Every):
		}
	}
}

// jobCancel ends one job.
type jobCancel struct {
	remote
	ID string `arg:"positional,required" help:"the job's id"`
}

func (c *jobCancel) run(ctx context.Context, out io.Writer) error {
	job, err := c.client().CancelJob(ctx, c.ID)
	if err != nil {
		return err
	}
	return printJobs(out, c.JSON, job)
}

// jobList prints the jobs of all pools, or of one.
type jobList struct {
	remote
	Pool string `arg:"--pool" help:"only the jobs of this pool"`
}

func (c *jobList) run(ctx context.Context, out io.Writer) error {
	all, err := c.client().Jobs(ctx, c.Pool)
	if err != nil {
		return err
	}
	return printJobs(out, c.JSON, all...)
}

func printJobs(out io.Writer, asJSON bool, all ...admin.JobWire) error {
	if asJSON {
		return printJSON(out, all)
	}
	rows := [][]string{{"job", "queue", "pool", "state", "tasks", "done", "running", "submitted"}}
	for _, j := range all {
		rows = append(rows, []string{
			j.ID, j.Queue, j.Pool, j.State, strconv.Itoa(j.Tasks), strconv.Itoa(j.Done), strconv.Itoa(j.Running), j.Submitted,
		})
	}
	return printTable(out, rows)
}

// jobPools prints the pools that run jobs, with their owners.
type jobPools struct{ remote }

func (c *jobPools) run(ctx context.Context, out io.Writer) error {
	pools, err := c.client().JobPools(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, pools)
	}
	rows := [][]string{{"pool", "owner", "token", "hosts", "tasks", "used", "wanted"}}
	for _, p := range pools {
		load := []string{"?", "?", "?", "?"}
		if p.OwnerAnswered {
			load = []string{strconv.Itoa(p.Hosts), strconv.Itoa(p.Tasks), strconv.Itoa(p.UsedMillicores), strconv.Itoa(p.WaitingMillicores)}
		}
		rows = append(rows, append([]string{p.Name, p.Owner, strconv.FormatUint(p.Token, 10)}, load...))
	}
	return printTable(out, rows)
}

// waveCommand groups the commands about maintenance waves.
type waveCommand struct {
	List *waveList `arg:"subcommand:list" help:"list maintenance waves"`
}

// waveList prints all waves.
type waveList struct{ remote }

func (c *waveList) run(ctx context.Context, out io.Writer) error {
	waves, err := c.client().Waves(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, waves)
	}
	rows := [][]string{{"wave", "state", "begun", "at-once", "hosts"}}
	for _, w := range waves {
		rows = append(rows, []string{
			strconv.Itoa(w.Number), w.State, fmt.Sprintf("%d/%d", len(w.StartedHosts), w.Hosts), strconv.Itoa(w.MaxAway), strings.Join(w.StartedHosts, " "),
		})
	}
	return printTable(out, rows)
}
