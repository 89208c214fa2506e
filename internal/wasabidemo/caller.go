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
	// longTokens is the length of an answer that takes long enough for an
	// engine to die in its middle, and diesAt the token at which it does.
	longTokens = 80
	diesAt     = 10
	// askers is how many prompts are sent at once.
	askers = 3
	// askAgain is the pause between two questions for a booking that runs.
	askAgain = wasabiridge.Second / 5
	// endMarker is the payload of the last event of a whole stream.
	endMarker = "[DONE]"
)

// locateEvery is the pause between two questions for addresses.
const locateEvery = 50 * time.Millisecond

// caller sends requests to routers as a client program does.
type caller struct {
	clock     wasabiridge.Clock
	client    *http.Client
	key       string
	addresses []wasabiaddress.Address
}

func newCaller(clock wasabiridge.Clock, key string) *caller {
	return &caller{clock: clock, client: &http.Client{}, key: key}
}

// answer is a whole streamed answer.
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

// locateAll asks a router for addresses until it names as many instances: the
// routers need a moment to take the configuration and to hear of each other.
func (c *caller) locateAll(ctx context.Context, router string, instances int) error {
	for {
		if err := c.locate(ctx, router); err == nil && len(c.addresses) >= instances {
			return nil
		}
		select {
		case <-time.After(locateEvery):
		case <-ctx.Done():
			return wasabiridge.ErrUnavailable.New("demo: %d of %d routers know each other", len(c.addresses), instances)
		}
	}
}

// locate asks a router which addresses to use.
func (c *caller) locate(ctx context.Context, router string) error {
	var resp *http.Response
	var err error
	if resp, err = c.do(ctx, http.MethodGet, router+"/v1/addresses?zone="+url.QueryEscape(string(zones[0])), nil, ""); err != nil {
		return err
	}
	defer resp.Body.Close()
	var list wasabiaddress.Answer
	if err = json.NewDecoder(resp.Body).Decode(&list); err != nil || len(list.Addresses) == 0 {
		return wasabiridge.ErrUnavailable.New("demo: no addresses (%d)", resp.StatusCode)
	}
	c.addresses = list.Addresses
	return nil
}

func (c *caller) do(ctx context.Context, method, address string, body []byte, key string) (*http.Response, error) {
	var req *http.Request
	var err error
	if req, err = http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body)); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "demo: request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(wasabigateway.IdempotencyKeyHeader, key)
	}
	var resp *http.Response
	if resp, err = c.client.Do(req); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "demo: %s", address)
	}
	return resp, nil
}

// ask streams the answer to one prompt from the first address.
func (c *caller) ask(ctx context.Context, prompt string, tokens int, onText func(string)) (answer, error) {
	a := answer{prompt: prompt}
	var body []byte
	var err error
	if body, err = json.Marshal(chatRequest{
		Model: "stairlift", Stream: true, StreamOptions: streamOptions{IncludeUsage: true},
		MaxTokens: tokens, Messages: []chatMessage{{Role: "user", Content: prompt}},
	}); err != nil {
		return a, wasabiridge.ErrInvalid.Wrap(err, "demo: prompt")
	}
	began := c.clock.Now()
	var resp *http.Response
	if resp, err = c.do(ctx, http.MethodPost, c.addresses[0].URL+"/v1/chat/completions", body, ""); err != nil {
		return a, err
	}
	defer resp.Body.Close()
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return a, wasabiridge.ErrUnavailable.Wrap(err, "demo: stream")
		}
		if event.Data == endMarker {
			return a, nil
		}
		if a.firstToken == 0 {
			a.firstToken = max(1, c.clock.Now()-began)
		}
		if err = a.take(event.Data, onText); err != nil {
			return a, err
		}
	}
	return a, wasabiridge.ErrUnavailable.New("demo: answer cut (status %d)", resp.StatusCode)
}

func (a *answer) take(payload string, onText func(string)) error {
	var chunk chatChunk
	if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "demo: event of the stream")
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		onText(choice.Delta.Content)
	}
	return nil
}

// askAll sends prompts, a few at once, and returns their answers.
func (c *caller) askAll(ctx context.Context, prompts []string) ([]answer, error) {
	answers := make([]answer, len(prompts))
	errs := make([]error, len(prompts))
	slots := make(chan struct{}, askers)
	var running sync.WaitGroup
	for i, prompt := range prompts {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			answers[i], errs[i] = c.ask(ctx, prompt, answerTokens, func(string) {})
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

// booked is what came back of a booking.
type booked struct {
	status   int
	body     string
	repeated bool
}

// bookUntilKnown books a visit. While the answer says that the first request
// with the key still runs, it comes back a little later, as the answer asks.
func (c *caller) bookUntilKnown(ctx context.Context, router, key string) (booked, error) {
	for {
		r, err := c.book(ctx, router, key)
		if err != nil || r.status != http.StatusConflict {
			return r, err
		}
		select {
		case <-ctx.Done():
			return r, wasabiridge.ErrUnavailable.New("demo: the booking stays unknown: %s", r.body)
		case <-time.After(askAgain.Duration()):
		}
	}
}

// book books a visit.
func (c *caller) book(ctx context.Context, router, key string) (booked, error) {
	var resp *http.Response
	var err error
	if resp, err = c.do(ctx, http.MethodPost, router+"/bookings", []byte(`{"house":"12 Frederick St"}`), key); err != nil {
		return booked{}, err
	}
	defer resp.Body.Close()
	var body []byte
	if body, err = io.ReadAll(resp.Body); err != nil {
		return booked{}, wasabiridge.ErrUnavailable.Wrap(err, "demo: booking")
	}
	return booked{
		status:   resp.StatusCode,
		body:     strings.TrimSpace(string(body)) + " ",
		repeated: resp.Header.Get(wasabigateway.ReplayedHeader) == "true",
	}, nil
}
