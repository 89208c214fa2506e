package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/tmaxmax/go-sse"

	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabigateway"
)

// Codes of failures that are not error responses of a router.
const (
	// codeNoResponse means that there was no response header.
	codeNoResponse = "no_answer"
	// codeIncomplete means that the response was incomplete.
	codeIncomplete = "cut"
)

// reply is the outcome of a call. An empty code means success.
type reply struct {
	Code   string
	NotRun bool
	Text   string
	Cached int
}

// caller is a client program with its own connections.
type caller struct {
	rig    *rig
	turn   int
	client *http.Client
}

// caller returns a client program. turn selects the router that it queries first for
// addresses.
func (r *rig) caller(turn int) *caller {
	c := &caller{rig: r, turn: turn, client: &http.Client{Transport: &http.Transport{}}}
	DeferCleanup(c.client.CloseIdleConnections)
	return c
}

func (c *caller) do(method, url, body, idempotencyKey string) (*http.Response, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set(wasabigateway.IdempotencyKeyHeader, idempotencyKey)
	}
	return c.client.Do(req)
}

// locate queries a router for addresses. It reports false if there are none.
func (c *caller) locate(url string) (wasabiaddress.Response, bool) {
	var answer wasabiaddress.Response
	resp, err := c.do(http.MethodGet, url+"/v1/addresses", "", "")
	if err != nil {
		return answer, false
	}
	defer resp.Body.Close()
	return answer, json.NewDecoder(resp.Body).Decode(&answer) == nil && len(answer.Addresses) > 0
}

// addresses returns the routers to try, in order: those in the first successful address
// response, then all that the client program is configured with.
func (c *caller) addresses() []string {
	known := c.rig.urls()
	known = slices.Concat(known[c.turn%len(known):], known[:c.turn%len(known)])
	for _, url := range known {
		answer, ok := c.locate(url)
		if !ok {
			continue
		}
		var urls []string
		for _, a := range answer.Addresses {
			urls = append(urls, a.URL)
		}
		return append(urls, known...)
	}
	return known
}

// completion has the fields of a response, or of an event of a stream, that the tests
// check.
type completion struct {
	Choices []struct {
		Delta, Message struct {
			Content string `json:"content"`
		}
	} `json:"choices"`
	Usage struct {
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// question returns the body of a chat completion request.
func question(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"stand-in","stream":%t,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
}

// stream sends a request to a router and reads the stream to its end.
func (c *caller) stream(url, prompt string, tokens int) reply {
	return c.streamFrom(url, prompt, tokens, func() {})
}

// streamFrom does the same as stream and calls started after the response header.
func (c *caller) streamFrom(url, prompt string, tokens int, started func()) reply {
	resp, err := c.do(http.MethodPost, url+"/v1/chat/completions", question(prompt, tokens, true), "")
	if err != nil {
		return reply{Code: codeNoResponse}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return failureOf(resp)
	}
	started()
	got := reply{Code: codeIncomplete}
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return got
		}
		if event.Data == "[DONE]" {
			got.Code = ""
			return got
		}
		var c completion
		if err = json.Unmarshal([]byte(event.Data), &c); err != nil {
			return got
		}
		for _, choice := range c.Choices {
			got.Text += choice.Delta.Content
		}
		got.Cached = max(got.Cached, c.Usage.PromptTokensDetails.CachedTokens)
	}
	return got
}

// book sends a booking to a router.
func (c *caller) book(url, idempotencyKey string) reply {
	resp, err := c.do(http.MethodPost, url+"/bookings", `{"lift":7}`, idempotencyKey)
	if err != nil {
		return reply{Code: codeNoResponse}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusCreated {
		return failureOf(resp)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{Code: codeIncomplete}
	}
	return reply{Text: string(text)}
}

// failureOf returns the error response of a router.
func failureOf(resp *http.Response) reply {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || body.Error.Code == "" {
		return reply{Code: codeIncomplete}
	}
	return reply{Code: body.Error.Code, NotRun: resp.Header.Get(wasabigateway.DispositionHeader) == "not_run"}
}

// want returns the answer that every engine must give to a prompt.
func (r *rig) want(prompt string, tokens int) string {
	GinkgoHelper()
	return answerOf(r.oracle, prompt, tokens)
}

// answerOf returns the answer of an engine, queried without a router.
func answerOf(e *wasabiengine.Engine, prompt string, tokens int) string {
	GinkgoHelper()
	resp, err := http.Post(e.URL()+"/v1/chat/completions", "application/json", strings.NewReader(question(prompt, tokens, false)))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var c completion
	Expect(json.NewDecoder(resp.Body).Decode(&c)).To(Succeed())
	Expect(c.Choices).To(HaveLen(1))
	return c.Choices[0].Message.Content
}

// load is a set of callers that stream and book continuously.
type load struct {
	rig     *rig
	stopped chan struct{}
	callers sync.WaitGroup

	mu sync.Mutex
	// completed is the number of complete streams.
	completed int
	// answered is the number of bookings with a successful response.
	answered int
	// faults are violations of what routers guarantee to callers.
	faults []string
	// codes is the number of unsuccessful calls by code.
	codes    map[string]int
	bookings map[string]*booking
}

// booking is what a caller received for a booking.
type booking struct {
	answers map[string]bool
	// refused is set as long as every response said that the booking did not run.
	refused bool
}

const (
	streamTokens = 40
	// rounds is the number of times that a caller tries its addresses, with a pause after
	// each round, before it gives up.
	rounds = 400
	pause  = 50 * time.Millisecond
)

// startLoad starts callers that stream and callers that book.
func (r *rig) startLoad(streams, bookers int) *load {
	GinkgoHelper()
	l := &load{rig: r, stopped: make(chan struct{}), codes: map[string]int{}, bookings: map[string]*booking{}}
	for i := range streams {
		prompt := fmt.Sprintf("%s Question %d.", strings.Repeat("The manual. ", 100), i)
		want := r.want(prompt, streamTokens)
		c := r.caller(i)
		l.run(func(int) { l.ask(c, prompt, want) })
	}
	for i := range bookers {
		c := r.caller(i)
		l.run(func(n int) { l.book(c, fmt.Sprintf("visit-%d-%d", i, n)) })
	}
	DeferCleanup(l.stop)
	return l
}

func (l *load) run(step func(n int)) {
	l.callers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-l.stopped:
				return
			default:
				step(n)
			}
		}
	})
}

// stop waits until every caller has finished its current call and stopped.
func (l *load) stop() {
	l.mu.Lock()
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
	l.mu.Unlock()
	l.callers.Wait()
}

// fault records a violation. The caller must hold the mutex, or have stopped the load.
func (l *load) fault(format string, args ...any) {
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// ask tries the addresses until it gets a complete stream.
func (l *load) ask(c *caller, prompt, want string) {
	for range rounds {
		for _, url := range c.addresses() {
			got := c.stream(url, prompt, streamTokens)
			if l.recordStream(got, want) {
				return
			}
		}
		time.Sleep(pause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault("no router sent a complete stream")
}

func (l *load) recordStream(got reply, want string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if got.Code != "" {
		l.codes[got.Code]++
		return false
	}
	l.completed++
	if got.Text != want {
		l.fault("complete stream with %q instead of %q", got.Text, want)
	}
	return true
}

// book sends a booking with its idempotency key to every router in turn.
func (l *load) book(c *caller, idempotencyKey string) {
	b := &booking{answers: map[string]bool{}, refused: true}
	l.mu.Lock()
	l.bookings[idempotencyKey] = b
	l.mu.Unlock()
	for _, url := range c.addresses() {
		l.recordBooking(b, c.book(url, idempotencyKey))
	}
	time.Sleep(pause)
}

func (l *load) recordBooking(b *booking, got reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if got.Code != "" {
		l.codes[got.Code]++
		b.refused = b.refused && got.NotRun
		return
	}
	b.refused = false
	if len(b.answers) == 0 {
		l.answered++
	}
	b.answers[got.Text] = true
}

// progress waits until the given numbers of further streams and bookings are complete.
func (l *load) progress(completed, answered int) {
	GinkgoHelper()
	count := func() (int, int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.completed, l.answered
	}
	w, a := count()
	Eventually(func(g Gomega) {
		nowCompleted, nowAnswered := count()
		g.Expect(nowCompleted).To(BeNumerically(">=", w+completed), "complete streams")
		g.Expect(nowAnswered).To(BeNumerically(">=", a+answered), "answered bookings")
	}, waitTimeout).Should(Succeed())
}

// verify stops the callers and compares the responses that they received with the
// bookings that the service executed.
func (l *load) verify() {
	GinkgoHelper()
	l.stop()
	GinkgoWriter.Printf("%d complete streams, %d of %d bookings answered, unsuccessful calls %v\n", l.completed, l.answered, len(l.bookings), l.codes)
	for k, b := range l.bookings {
		runs := l.rig.service.Executions(k)
		switch {
		case runs > 1:
			l.fault("booking %s ran %d times", k, runs)
		case len(b.answers) > 1:
			l.fault("booking %s has %d different answers", k, len(b.answers))
		case len(b.answers) == 1 && runs != 1, b.refused && runs != 0:
			l.fault("booking %s: answers %v, reported as not run %t, but ran %d times", k, b.answers, b.refused, runs)
		}
	}
	Expect(l.faults).To(BeEmpty())
}
