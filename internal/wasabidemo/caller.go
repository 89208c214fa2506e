package wasabidemo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
)

const (
	answerTokens = 24
	// longAnswerTokens is the length of an answer during which an engine crashes,
	// and crashAtToken the token after which it does.
	longAnswerTokens = 80
	crashAtToken     = 10
	// maxConcurrent is the number of prompts in flight at once.
	maxConcurrent = 3
	// bookingPollInterval is the pause before a booking that is still running
	// is sent again.
	bookingPollInterval = wasabiridge.Second / 5
	// endMarker is the payload of the last event of a complete stream.
	endMarker = "[DONE]"
)

// locateInterval is the pause between two queries for addresses.
const locateInterval = 50 * time.Millisecond

// caller sends requests to routers as a client program does. Its zone is the
// first of zones.
type caller struct {
	clock     wasabiridge.Clock
	client    *http.Client
	key       string
	addresses []wasabiaddress.Address
}

func newCaller(clock wasabiridge.Clock, key string) *caller {
	return &caller{clock: clock, client: &http.Client{}, key: key}
}

// answer is the result of a complete stream.
type answer struct {
	prompt     string
	firstToken wasabiridge.Millis
	usage      usage
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	Model         string        `json:"model"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	MaxTokens     int           `json:"max_tokens"`
	Messages      []chatMessage `json:"messages"`
}

type usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// waitForAddresses queries a router until its address list has that many
// instances: routers need some time to adopt the configuration and to join the
// membership. The error is ErrUnavailable if the context ends first.
func (c *caller) waitForAddresses(ctx context.Context, router string, instances int) error {
	for {
		if err := c.fetchAddresses(ctx, router); err == nil && len(c.addresses) >= instances {
			return nil
		}
		select {
		case <-time.After(locateInterval):
		case <-ctx.Done():
			return wasabiridge.ErrUnavailable.New("demo: address list has %d of %d routers", len(c.addresses), instances)
		}
	}
}

// fetchAddresses queries a router for the addresses that callers should use.
func (c *caller) fetchAddresses(ctx context.Context, router string) error {
	var resp *http.Response
	var err error
	if resp, err = c.do(ctx, http.MethodGet, router+"/v1/addresses?zone="+url.QueryEscape(string(zones[0])), nil, ""); err != nil {
		return err
	}
	defer resp.Body.Close()
	var list wasabiaddress.Response
	if err = json.NewDecoder(resp.Body).Decode(&list); err != nil || len(list.Addresses) == 0 {
		return wasabiridge.ErrUnavailable.New("demo: no addresses in the answer (status %d)", resp.StatusCode)
	}
	c.addresses = list.Addresses
	return nil
}

func (c *caller) do(ctx context.Context, method, address string, body []byte, key string) (*http.Response, error) {
	var req *http.Request
	var err error
	if req, err = http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body)); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "demo: create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(wasabigateway.IdempotencyKeyHeader, key)
	}
	var resp *http.Response
	if resp, err = c.client.Do(req); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "demo: request to %s failed", address)
	}
	return resp, nil
}

// complete streams the answer to one prompt from the first address and calls
// onText with the text of each token. The error is ErrUnavailable if the stream
// ends without endMarker.
func (c *caller) complete(ctx context.Context, prompt string, tokens int, onText func(string)) (answer, error) {
	a := answer{prompt: prompt}
	var body []byte
	var err error
	if body, err = json.Marshal(chatRequest{
		Model: "stairlift", Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
		MaxTokens: tokens, Messages: []chatMessage{{Role: "user", Content: prompt}},
	}); err != nil {
		return a, wasabiridge.ErrInvalid.Wrap(err, "demo: encode prompt")
	}
	began := c.clock.Now()
	var resp *http.Response
	if resp, err = c.do(ctx, http.MethodPost, c.addresses[0].URL+"/v1/chat/completions", body, ""); err != nil {
		return a, err
	}
	defer resp.Body.Close()
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return a, wasabiridge.ErrUnavailable.Wrap(err, "demo: read stream")
		}
		if event.Data == endMarker {
			return a, nil
		}
		if a.firstToken == 0 {
			a.firstToken = max(1, c.clock.Now()-began)
		}
		if err = a.addEvent(event.Data, onText); err != nil {
			return a, err
		}
	}
	return a, wasabiridge.ErrUnavailable.New("demo: answer truncated (status %d)", resp.StatusCode)
}

func (a *answer) addEvent(payload string, onText func(string)) error {
	var chunk chatChunk
	if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "demo: decode event of the stream")
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		onText(choice.Delta.Content)
	}
	return nil
}

// completeAll sends prompts, at most maxConcurrent at once, and returns their
// answers in the same order.
func (c *caller) completeAll(ctx context.Context, prompts []string) ([]answer, error) {
	answers := make([]answer, len(prompts))
	errs := make([]error, len(prompts))
	slots := make(chan struct{}, maxConcurrent)
	var running sync.WaitGroup
	for i, prompt := range prompts {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			answers[i], errs[i] = c.complete(ctx, prompt, answerTokens, func(string) {})
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return answers, nil
}

// bookingResult is the response to a booking.
type bookingResult struct {
	status   int
	body     string
	replayed bool
}

// bookUntilDone books a visit. While the response is 409 Conflict, because an
// earlier request with the same idempotency key is still running, it retries
// after bookingPollInterval.
func (c *caller) bookUntilDone(ctx context.Context, router, key string) (bookingResult, error) {
	for {
		r, err := c.book(ctx, router, key)
		if err != nil || r.status != http.StatusConflict {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, wasabiridge.ErrUnavailable.New("demo: outcome of the booking still unknown: %s", r.body)
		case <-time.After(bookingPollInterval.Duration()):
		}
	}
}

// book sends one booking with an idempotency key.
func (c *caller) book(ctx context.Context, router, key string) (bookingResult, error) {
	var resp *http.Response
	var err error
	if resp, err = c.do(ctx, http.MethodPost, router+"/bookings", []byte(`{"house":"12 Frederick St"}`), key); err != nil {
		return bookingResult{}, err
	}
	defer resp.Body.Close()
	var body []byte
	if body, err = io.ReadAll(resp.Body); err != nil {
		return bookingResult{}, wasabiridge.ErrUnavailable.Wrap(err, "demo: read response to booking")
	}
	return bookingResult{
		status:   resp.StatusCode,
		body:     strings.TrimSpace(string(body)) + " ",
		replayed: resp.Header.Get(wasabigateway.ReplayedHeader) == "true",
	}, nil
}
