package wasabiorder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
)

const (
	weightsPath = "/weights"
	// maxStateBytes limits the size of the response of an engine.
	maxStateBytes = 64 << 10
)

// Client sends orders over HTTP: POST /weights sends an order, GET /weights reads the
// state of the engine. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

var _ wasabiridge.EngineOperator = (*Client)(nil)

// NewClient returns a client that uses the transport. Nil means http.DefaultTransport.
func NewClient(transport http.RoundTripper) *Client {
	// A redirection would pass an order on to another engine.
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{Transport: wasabihead.Transport(transport), CheckRedirect: refuse}}
}

// orderBody is the JSON body of an order.
type orderBody struct {
	Fencing wasabiridge.FencingNumber  `json:"fencing_number"`
	Model   wasabiridge.ModelID        `json:"model,omitempty"`
	Adapter wasabiridge.AdapterID      `json:"adapter,omitempty"`
	Weights wasabiridge.WeightsVersion `json:"weights,omitempty"`
	Role    wasabiridge.EngineRole     `json:"role,omitempty"`
}

// stateBody is the JSON body of the state of an engine.
type stateBody struct {
	Weights *wasabiridge.WeightsVersion `json:"weights"`
	Fencing wasabiridge.FencingNumber   `json:"fencing_number"`
	Loading bool                        `json:"loading"`
	Role    wasabiridge.EngineRole      `json:"role"`
}

// SendOrder sends an order to an engine.
func (c *Client) SendOrder(ctx context.Context, b wasabiridge.BackendServer, o wasabiridge.EngineOrder) error {
	body, err := json.Marshal(orderBody{Fencing: o.Fencing, Model: o.Model, Adapter: o.Adapter, Weights: o.Weights, Role: o.Role})
	if err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "order: sending to %s", b.ID)
	}
	var resp *http.Response
	if resp, err = c.do(ctx, http.MethodPost, b, body); err != nil {
		return wasabiridge.ErrOutcomeUnknown.Wrap(err, "order: sending to %s", b.ID)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		return wasabiridge.ErrFenced.New("order: %s has seen a newer fencing number than %d", b.ID, o.Fencing)
	default:
		return wasabiridge.ErrOutcomeUnknown.New("order: %s responded with status %d", b.ID, resp.StatusCode)
	}
}

// ReadState reads the present state of the engine.
func (c *Client) ReadState(ctx context.Context, b wasabiridge.BackendServer) (wasabiridge.EngineState, error) {
	resp, err := c.do(ctx, http.MethodGet, b, nil)
	if err != nil {
		return wasabiridge.EngineState{}, wasabiridge.ErrUnavailable.Wrap(err, "order: reading the state of %s", b.ID)
	}
	defer resp.Body.Close()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(resp.Body, maxStateBytes)); err != nil {
		return wasabiridge.EngineState{}, wasabiridge.ErrUnavailable.Wrap(err, "order: reading the state of %s", b.ID)
	}
	if resp.StatusCode != http.StatusOK {
		return wasabiridge.EngineState{}, wasabiridge.ErrUnavailable.New("order: %s responded with status %d", b.ID, resp.StatusCode)
	}
	return decodeState(data)
}

// decodeState decodes the state of an engine. A response without a weights version is
// invalid; if it counted as version zero, the engine would be ordered to load again.
func decodeState(data []byte) (wasabiridge.EngineState, error) {
	var s stateBody
	if err := json.Unmarshal(data, &s); err != nil || s.Weights == nil {
		return wasabiridge.EngineState{}, wasabiridge.ErrInvalid.New("order: response is not a valid state of an engine")
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
