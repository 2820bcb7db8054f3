package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// Paths of the operators' interface of the daemons that run jobs.
const (
	PathJobs     = "/jobs"
	PathJobPools = "/job-pools"
	PathWaves    = "/waves"

	PathOrganisations = "/organisations"
)

// JobWire is the JSON form of a job's state.
type JobWire struct {
	ID        string `json:"id"`
	Queue     string `json:"queue"`
	Pool      string `json:"pool"`
	State     string `json:"state"`
	Tasks     int    `json:"tasks"`
	Done      int    `json:"done"`
	Running   int    `json:"running"`
	Submitted string `json:"submitted"`
}

// JobPoolWire is the JSON form of a pool that runs jobs.
type JobPoolWire struct {
	Name              string `json:"name"`
	Owner             string `json:"owner"`
	Token             uint64 `json:"token"`
	Standby           bool   `json:"standby,omitempty"`
	Hosts             int    `json:"hosts"`
	Tasks             int    `json:"tasks"`
	UsedMillicores    int    `json:"used-millicores"`
	WaitingMillicores int    `json:"wanted-millicores"`
	OwnerAnswered     bool   `json:"known"` // whether the owner answered with the load
}

// WaveWire is the JSON form of a maintenance wave.
type WaveWire struct {
	Number       int      `json:"number"`
	State        string   `json:"state"`
	Hosts        int      `json:"hosts"`
	StartedHosts []string `json:"begun,omitempty"`
	MaxAway      int      `json:"at-once"`
}

// NoLimit is the value of an allotment's field that has no limit.
const NoLimit = -1

// ResourcesWire is the JSON form of what tasks claim or may claim.
type ResourcesWire struct {
	Millicores   int `json:"millicores"`
	MemoryMB     int `json:"memory-mb"`
	Accelerators int `json:"accelerators"`
}

// OrganisationPoolWire is the JSON form of what an organisation has in a pool.
type OrganisationPoolWire struct {
	Pool         string         `json:"pool"`
	Known        bool           `json:"known"` // whether the pool's owner answered
	Jobs         int            `json:"jobs"`
	Running      int            `json:"running"`
	Claimed      ResourcesWire  `json:"claimed"`
	WaitingTasks int            `json:"waiting-tasks"`
	Waiting      ResourcesWire  `json:"waiting"`
	Allotment    ResourcesWire  `json:"allotment"` // NoLimit where there is none
	Refused      map[string]int `json:"refused,omitempty"`
}

// OrganisationWire is the JSON form of an organisation. It has no keys.
type OrganisationWire struct {
	Name       string                 `json:"name"`
	Configured bool                   `json:"configured"` // false if only jobs of it are left
	Weight     int                    `json:"weight"`
	Quota      ResourcesWire          `json:"quota"` // 0 where there is no limit
	Pools      []OrganisationPoolWire `json:"pools"`
}

// Organisations returns all organisations.
func (c *Client) Organisations(ctx context.Context) ([]OrganisationWire, error) {
	var w []OrganisationWire
	return w, c.get(ctx, PathOrganisations, &w)
}

// Organisation returns one organisation.
func (c *Client) Organisation(ctx context.Context, name string) (OrganisationWire, error) {
	var w OrganisationWire
	return w, c.get(ctx, PathOrganisations+"/"+url.PathEscape(name), &w)
}

// Jobs returns the jobs of a pool.
func (c *Client) Jobs(ctx context.Context, pool string) ([]JobWire, error) {
	var w []JobWire
	return w, c.get(ctx, PathJobs+"?pool="+url.QueryEscape(pool), &w)
}

// JobPools returns the pools that run jobs.
func (c *Client) JobPools(ctx context.Context) ([]JobPoolWire, error) {
	var w []JobPoolWire
	return w, c.get(ctx, PathJobPools, &w)
}

// Waves returns the maintenance waves.
func (c *Client) Waves(ctx context.Context) ([]WaveWire, error) {
	var w []WaveWire
	return w, c.get(ctx, PathWaves, &w)
}

// SubmitJob submits a job to a queue. The job is JSON in papayarudder's own format.
func (c *Client) SubmitJob(ctx context.Context, queue string, job []byte) (JobWire, error) {
	return c.doJob(ctx, http.MethodPost, PathJobs+"?queue="+url.QueryEscape(queue), job)
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id string) (JobWire, error) {
	return c.doJob(ctx, http.MethodGet, PathJobs+"/"+url.PathEscape(id), nil)
}

// CancelJob cancels a job and returns it.
func (c *Client) CancelJob(ctx context.Context, id string) (JobWire, error) {
	return c.doJob(ctx, http.MethodDelete, PathJobs+"/"+url.PathEscape(id), nil)
}

func (c *Client) doJob(ctx context.Context, method, path string, data []byte) (JobWire, error) {
	var w JobWire
	status, body, err := c.do(ctx, method, path, data)
	if err != nil {
		return w, err
	}
	if status != http.StatusOK {
		return w, refusalError(body)
	}
	return w, errors.Wrap(json.Unmarshal(body, &w), "read job")
}
