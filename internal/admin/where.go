package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// PathWhere tells where a job would go, without submitting it.
const PathWhere = "/where"

// WhereWire is the JSON form of where a job would go now.
type WhereWire struct {
	Job   string          `json:"job,omitempty"` // empty if it is not submitted
	Queue string          `json:"queue"`
	Pool  string          `json:"pool"`
	Steps []WhereStepWire `json:"steps"` // that are not done
}

// WhereStepWire is the JSON form of where the tasks of a step would go.
type WhereStepWire struct {
	Step            int               `json:"step"`
	Tasks           int               `json:"tasks"`
	Millicores      int               `json:"millicores"`
	MemoryMB        int               `json:"memory-mb"`
	Class           string            `json:"class"`
	Blocked         string            `json:"blocked,omitempty"`
	Worker          string            `json:"worker,omitempty"`
	StepsAhead      int               `json:"steps-ahead"`
	MillicoresAhead int               `json:"millicores-ahead"`
	StartInMS       *int64            `json:"start-in-ms"` // null if no start is expected
	ErrorMS         int64             `json:"error-ms"`    // 0 if not known
	Workers         []WhereWorkerWire `json:"workers"`
}

// WhereWorkerWire is the JSON form of what rules out a worker, or does not.
type WhereWorkerWire struct {
	ID             string `json:"id"`
	FreeMillicores int    `json:"free-millicores"`
	FreeMemoryMB   int    `json:"free-memory-mb"`
	Obstacle       string `json:"obstacle,omitempty"`
	StartInMS      *int64 `json:"start-in-ms"`
}

// Where tells where a job would go if it were submitted to a queue.
func (c *Client) Where(ctx context.Context, queue string, job []byte) (WhereWire, error) {
	return c.doWhere(ctx, http.MethodPost, PathWhere+"?queue="+url.QueryEscape(queue), job)
}

// WhereJob tells where the tasks of a known job would go.
func (c *Client) WhereJob(ctx context.Context, id string) (WhereWire, error) {
	return c.doWhere(ctx, http.MethodGet, PathJobs+"/"+url.PathEscape(id)+"/where", nil)
}

func (c *Client) doWhere(ctx context.Context, method, path string, data []byte) (WhereWire, error) {
	var w WhereWire
	status, body, err := c.do(ctx, method, path, data)
	if err != nil {
		return w, err
	}
	if status != http.StatusOK {
		return w, refusalError(body)
	}
	return w, errors.Wrap(json.Unmarshal(body, &w), "read placement")
}
