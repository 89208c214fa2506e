package wasabiorder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/wasabiridge/wasabiridge"
)

const (
	weightsPath = "/weights"
	// maxStateBytes bounds the answer of an engine.
	maxStateBytes = 64 << 10
)

// Client gives orders over HTTP: POST /weights with an order, GET /weights for
// the state. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

var _ wasabiridge.EngineOperator = (*Client)(nil)

// NewClient returns a client over the transport. Nil means that of net/http.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// orderBody is the body of an order.
type orderBody struct {
	Fencing wasabiridge.FencingNumber  `json:"fencing_number"`
	Model   wasabiridge.ModelID        `json:"model,omitempty"`
	Adapter wasabiridge.AdapterID      `json:"adapter,omitempty"`
	Weights wasabiridge.WeightsVersion `json:"weights,omitempty"`
	Role    wasabiridge.EngineRole     `json:"role,omitempty"`
}

// stateBody is what an engine says of itself.
type stateBody struct {
	Weights *wasabiridge.WeightsVersion `json:"weights"`
	Fencing wasabiridge.FencingNumber   `json:"fencing_number"`
	Loading bool                        `json:"loading"`
	Role    wasabiridge.EngineRole      `json:"role"`
}

// SendOrder gives an order.
func (c *Client) SendOrder(ctx context.Context, b wasabiridge.BackendServer, o wasabiridge.EngineOrder) error {
	body, err := json.Marshal(orderBody{Fencing: o.Fencing, Model: o.Model, Adapter: o.Adapter, Weights: o.Weights, Role: o.Role})
	if err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "order: to %s", b.ID)
	}
	var resp *http.Response
	if resp, err = c.do(ctx, http.MethodPost, b, body); err != nil {
		return wasabiridge.ErrOutcomeUnknown.Wrap(err, "order: to %s", b.ID)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		return wasabiridge.ErrFenced.New("order: %s knows a newer fencing number than %d", b.ID, o.Fencing)
	default:
		return wasabiridge.ErrOutcomeUnknown.New("order: %s answered %d", b.ID, resp.StatusCode)
	}
}

// ReadState reads what the engine is now.
func (c *Client) ReadState(ctx context.Context, b wasabiridge.BackendServer) (wasabiridge.EngineState, error) {
	resp, err := c.do(ctx, http.MethodGet, b, nil)
	if err != nil {
		return wasabiridge.EngineState{}, wasabiridge.ErrUnavailable.Wrap(err, "order: state of %s", b.ID)
	}
	defer resp.Body.Close()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(resp.Body, maxStateBytes)); err != nil {
		return wasabiridge.EngineState{}, wasabiridge.ErrUnavailable.Wrap(err, "order: state of %s", b.ID)
	}
	if resp.StatusCode != http.StatusOK {
		return wasabiridge.EngineState{}, wasabiridge.ErrUnavailable.New("order: %s answered %d", b.ID, resp.StatusCode)
	}
	return decodeState(data)
}

// decodeState reads the state of an engine. An answer that names no weights
// is invalid; taking it for version zero would have the engine load again.
func decodeState(data []byte) (wasabiridge.EngineState, error) {
	var s stateBody
	if err := json.Unmarshal(data, &s); err != nil || s.Weights == nil {
		return wasabiridge.EngineState{}, wasabiridge.ErrInvalid.New("order: answer is not the state of an engine")
	}
	return wasabiridge.EngineState{Weights: *s.Weights, Loading: s.Loading, Role: s.Role, Fencing: s.Fencing}, nil
}

func (c *Client) do(ctx context.Context, method string, b wasabiridge.BackendServer, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, b.URL+weightsPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return c.http.Do(req)
}
