package wasabiclient

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
)

// get sends a GET request and decodes the answer into a pointer.
func (c *Client) get(ctx context.Context, path string, values url.Values, into any) error {
	if len(values) > 0 {
		path += "?" + values.Encode()
	}
	return c.do(ctx, request{method: http.MethodGet, path: path}, into)
}

// post sends a POST request with a JSON body, or without a body when it is nil, and
// decodes the answer into a pointer.
func (c *Client) post(ctx context.Context, path string, body, into any) error {
	r := request{method: http.MethodPost, path: path, header: http.Header{}}
	if body != nil {
		var err error
		if r.body, err = json.Marshal(body); err != nil {
			return wasabiridge.ErrInvalid.Wrap(err, "client: cannot encode the request body")
		}
		r.header.Set("Content-Type", "application/json")
	}
	return c.do(ctx, r, into)
}

// Config returns the configuration in force at the router.
func (c *Client) Config(ctx context.Context) (wasabioperator.DocumentBody, error) {
	var d wasabioperator.DocumentBody
	err := c.get(ctx, "/v1/config", nil, &d)
	return d, err
}

// PutConfig replaces the configuration with version base and returns the version
// of the new one. It returns ErrConflict, with the current configuration for
// ConflictingConfig, when base is not the current version.
func (c *Client) PutConfig(ctx context.Context, base wasabiridge.ConfigVersion, text []byte) (wasabiridge.ConfigVersion, error) {
	r := request{method: http.MethodPut, path: "/v1/config", body: text, header: http.Header{}}
	r.header.Set("If-Match", wasabioperator.FormatTag(base))
	var v wasabioperator.VersionBody
	err := c.do(ctx, r, &v)
	return v.Version, err
}

// History returns up to limit accepted configurations, newest first.
func (c *Client) History(ctx context.Context, limit int) (wasabioperator.HistoryBody, error) {
	var h wasabioperator.HistoryBody
	err := c.get(ctx, "/v1/config/history", url.Values{"limit": {strconv.Itoa(limit)}}, &h)
	return h, err
}

// ConfigStatus returns which configuration is in force at which instance.
func (c *Client) ConfigStatus(ctx context.Context) (wasabioperator.ConfigStatusBody, error) {
	var s wasabioperator.ConfigStatusBody
	err := c.get(ctx, "/v1/config/status", nil, &s)
	return s, err
}

// Explain returns which rule applies to a request.
func (c *Client) Explain(ctx context.Context, q wasabioperator.ExplainRequest) (wasabioperator.ExplainResponse, error) {
	var e wasabioperator.ExplainResponse
	err := c.post(ctx, "/v1/rules/explain", q, &e)
	return e, err
}

// Accounts returns the client accounts.
func (c *Client) Accounts(ctx context.Context) (wasabioperator.AccountsBody, error) {
	var a wasabioperator.AccountsBody
	err := c.get(ctx, "/v1/accounts", nil, &a)
	return a, err
}

// Quotas returns the usage of client accounts in relation to their limits.
func (c *Client) Quotas(ctx context.Context) (wasabiridge.QuotaReport, error) {
	var q wasabiridge.QuotaReport
	err := c.get(ctx, "/v1/quotas", nil, &q)
	return q, err
}

// Shares returns how the router shares pools that are short of capacity.
func (c *Client) Shares(ctx context.Context) (wasabiridge.ShareReport, error) {
	var s wasabiridge.ShareReport
	err := c.get(ctx, "/v1/shares", nil, &s)
	return s, err
}

// Backends returns the backend servers in the state that the router last received.
func (c *Client) Backends(ctx context.Context) (wasabioperator.BackendsBody, error) {
	var b wasabioperator.BackendsBody
	err := c.get(ctx, "/v1/backends", nil, &b)
	return b, err
}

// Status returns the status of the router and its membership view.
func (c *Client) Status(ctx context.Context) (wasabiridge.InstanceStatus, error) {
	var s wasabiridge.InstanceStatus
	err := c.get(ctx, "/v1/status", nil, &s)
	return s, err
}

// Drain starts to drain the router. It does not wait for the end of the drain.
func (c *Client) Drain(ctx context.Context) error {
	var d wasabioperator.DrainBody
	return c.post(ctx, "/v1/drain", nil, &d)
}

// Timeline returns the events of all instances that match a query, merged into one
// time line. The times since and until are in a format that
// wasabioperator.ParseTime accepts, or empty.
func (c *Client) Timeline(ctx context.Context, q wasabiridge.TimelineQuery, since, until string) (wasabiridge.TimelineReport, error) {
	values := url.Values{}
	set(values, "request", string(q.Request))
	set(values, "account", string(q.Account))
	set(values, "backend", string(q.Backend))
	set(values, "since", since)
	set(values, "until", until)
	if q.Limit > 0 {
		values.Set("limit", strconv.Itoa(q.Limit))
	}
	var t wasabiridge.TimelineReport
	err := c.get(ctx, "/v1/timeline", values, &t)
	return t, err
}

// set sets a query parameter unless the value is empty.
func set(values url.Values, name, value string) {
	if value != "" {
		values.Set(name, value)
	}
}

// Outcomes returns the outcome report of a quarter.
func (c *Client) Outcomes(ctx context.Context, q wasabiridge.OutcomeQuery) (wasabiridge.OutcomeReport, error) {
	values := url.Values{}
	set(values, "quarter", q.Quarter)
	set(values, "account", string(q.Account))
	var o wasabiridge.OutcomeReport
	err := c.get(ctx, "/v1/outcomes", values, &o)
	return o, err
}

// Rollouts returns the rollouts.
func (c *Client) Rollouts(ctx context.Context) (wasabioperator.RolloutsBody, error) {
	var r wasabioperator.RolloutsBody
	err := c.get(ctx, "/v1/rollouts", nil, &r)
	return r, err
}

// StartRollout starts a rollout and returns it as the router stored it.
func (c *Client) StartRollout(ctx context.Context, r wasabiridge.Rollout) (wasabiridge.Rollout, error) {
	var started wasabiridge.Rollout
	err := c.post(ctx, "/v1/rollouts", r, &started)
	return started, err
}

// ApplyRolloutAction applies an action to a rollout: it pauses, resumes or rolls it
// back. It returns the changed rollout.
func (c *Client) ApplyRolloutAction(ctx context.Context, id, action string) (wasabiridge.Rollout, error) {
	var changed wasabiridge.Rollout
	err := c.post(ctx, "/v1/rollouts/"+url.PathEscape(id)+"/"+action, nil, &changed)
	return changed, err
}

// Metrics returns all metrics of the router as JSON.
func (c *Client) Metrics(ctx context.Context) ([]byte, error) {
	var buffer bytes.Buffer
	err := c.get(ctx, "/metrics", nil, &buffer)
	return buffer.Bytes(), err
}
