package wasabibackend_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
)

const (
	doneEvent  = "data: [DONE]\n\n"
	usageEvent = `data: {"id":"a","choices":[],"usage":{"prompt_tokens":9,"completion_tokens":8}}` + "\n\n"
)

// tokenEvents returns the events of the tokens from first up to last.
func tokenEvents(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, `data: {"id":"a","choices":[{"index":0,"delta":{"content":"w"},"token_ids":[%d],"finish_reason":null}]}`+"\n\n", i)
	}
	return b.String()
}

// runAgainst runs an attempt at an engine that answers with a stream.
func runAgainst(stream string, change func(*wasabiridge.Attempt)) (wasabiridge.AttemptEnded, *sink) {
	ended, s, _ := observeAgainst(stream, change)
	return ended, s
}

// observeAgainst is runAgainst that also returns the reports of malformed responses.
func observeAgainst(stream string, change func(*wasabiridge.Attempt)) (wasabiridge.AttemptEnded, *sink, []wasabiridge.ResponseMalformed) {
	url := serve(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set(wasabiridge.HeaderWeights, "7")
		if r.Header.Get(wasabiridge.HeaderWeights) != "" {
			w.Header().Set(wasabiridge.HeaderResumedFrom, "4")
		}
		_, _ = io.WriteString(w, stream)
	})
	a := streamOf(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url})
	if change != nil {
		change(&a)
	}
	var reports []wasabiridge.ResponseMalformed
	ended, s := run(newRunner(wasabibackend.Options{
		MaxEventBytes: 32 << 10,
		Observe:       func(e wasabiridge.ResponseMalformed) { reports = append(reports, e) },
	}), a)
	return ended, s, reports
}

// Guards against bytes of a faulty engine that are passed on as a part of an answer, or that are
// skipped in an answer which then counts as complete.
var _ = Describe("A stream with bytes between two events", func() {
	cases := map[string]string{
		"a line of text":          "garbage\n",
		"lines of text":           "garbage\n\nmore garbage\n\n",
		"text and an empty line":  "\x00\xff\x13 7\n\n",
		"a response":              "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
		"a field without a colon": "datum\n\n",
		"text before data":        "Data: x\n" + `data: {"id":"a","choices":[{"delta":{"content":"x"}}]}` + "\n\n",
		"a byte order mark":       "\xef\xbb\xbf" + tokenEvents(5, 5),
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is broken: "+name, func() {
			ended, s := runAgainst(tokenEvents(1, 4)+cases[name]+tokenEvents(5, 8)+usageEvent+doneEvent, nil)
			Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
			Expect(ended.Delivered).To(Equal(4))
			Expect(s.ids).To(Equal([]int64{1, 2, 3, 4}))
			Expect(s.chunks).To(Equal(4))
		})
	}
})

// Guards against the loss of sound answers.
var _ = Describe("A sound stream", func() {
	whole := tokenEvents(1, 8) + usageEvent + doneEvent
	lines := func(end string) string { return strings.ReplaceAll(whole, "\n", end) }
	cases := map[string]string{
		"as engines send it":          whole,
		"with lines that end in CRLF": lines("\r\n"),
		"with lines that end in CR":   lines("\r"),
		"with a byte order mark":      "\xef\xbb\xbf" + whole,
		"with comments":               ": a\n\n" + tokenEvents(1, 4) + ": HTTP/1.1 200 OK\n: b\n\n:\n" + tokenEvents(5, 8) + usageEvent + doneEvent,
		"with other fields":           strings.ReplaceAll(whole, "data: ", "event: chunk\nid: 4\nretry: 100\nx-trace: 1\ndata: "),
		"with events without data":    "event: ping\n\nid\n\ndata\n\ndata:\n\nretry: 5\n\n" + whole,
		"with several lines of data":  strings.ReplaceAll(whole, `,"`, ",\ndata: \""),
		"without spaces":              strings.ReplaceAll(whole, "data: ", "data:"),
		"without usage":               tokenEvents(1, 8) + doneEvent,
		"without an id":               strings.ReplaceAll(whole, `"id":"a",`, ""),
		"with an id on some chunks":   strings.Replace(whole, `"id":"a",`, `"id":null,`, 2),
		"with an empty id at first":   `data: {"id":"","choices":[],"prompt_filter_results":[]}` + "\n\n" + whole,
		"with usage in each chunk":    strings.ReplaceAll(whole, `"choices":[{`, `"usage":{"prompt_tokens":9,"completion_tokens":1},"choices":[{`),
		"with null fields":            strings.ReplaceAll(whole, `"choices":[{`, `"usage":null,"error":null,"choices":[{"text":null,"logprobs":null,`),
		"with a chunk behind usage":   tokenEvents(1, 8) + usageEvent + `data: {"id":"a","choices":[],"content_filter":{}}` + "\n\n" + doneEvent,
		"with comments at the end":    whole + ": end\n\n",
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is complete: "+name, func() {
			ended, s, reports := observeAgainst(cases[name], nil)
			Expect(reports).To(BeEmpty())
			Expect(ended.Malformed).To(BeZero())
			Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
			Expect(ended.Delivered).To(Equal(8))
			Expect(s.ids).To(Equal([]int64{1, 2, 3, 4, 5, 6, 7, 8}))
			if strings.Contains(cases[name], `"completion_tokens":8`) {
				Expect(ended.Usage.OutputTokens).To(Equal(8))
			}
		})
	}

	It("goes on in a response with another id", func() {
		ended, s := runAgainst(strings.ReplaceAll(tokenEvents(5, 10)+doneEvent, `"id":"a"`, `"id":"b"`), func(a *wasabiridge.Attempt) {
			a.ResumeFrom, a.Weights = 4, 7
		})
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		Expect(ended.Delivered).To(Equal(10))
		Expect(s.ids).To(Equal([]int64{5, 6, 7, 8, 9, 10}))
	})
})

// chunkEvent returns an event with a payload.
func chunkEvent(payload string) string { return "data: " + payload + "\n\n" }

// Guards against an object of a faulty engine that is passed on as a part of an answer, although it
// is no chunk of a completion.
var _ = Describe("A stream with an object that is no chunk", func() {
	cases := map[string]string{
		"an empty object":         `{}`,
		"another object":          `{"foo":1}`,
		"an error of older forms": `{"object":"error","message":"x","code":500}`,
		"choices are an object":   `{"id":"a","choices":{}}`,
		"choices are null":        `{"id":"a","choices":null}`,
		"choices are text":        `{"id":"a","choices":"x"}`,
		"usage without choices":   `{"id":"a","usage":{"prompt_tokens":1,"completion_tokens":1}}`,
		"a choice is a number":    `{"id":"a","choices":[1]}`,
		"a choice is null":        `{"id":"a","choices":[null]}`,
		"a delta is text":         `{"id":"a","choices":[{"delta":"x"}]}`,
		"a text is an object":     `{"id":"a","choices":[{"text":{}}]}`,
		"a finish reason is true": `{"id":"a","choices":[{"delta":{},"finish_reason":true}]}`,
		"an error":                `{"error":{"message":"x"}}`,
		"an error and a choice":   `{"id":"a","error":"x","choices":[{"delta":{"content":"x"}}]}`,
		"an array":                `[{"id":"a","choices":[]}]`,
		"no JSON":                 `{"id":"a","choices":[`,
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is broken: "+name, func() {
			ended, s := runAgainst(tokenEvents(1, 4)+chunkEvent(cases[name])+tokenEvents(5, 8)+usageEvent+doneEvent, nil)
			Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
			Expect(ended.Delivered).To(Equal(4))
			Expect(s.chunks).To(Equal(4))
		})
	}
})

// Guards against an event of another completion that is passed on as a part of the answer.
var _ = Describe("A stream with a chunk of another completion", func() {
	cases := map[string]string{
		"another id":         strings.ReplaceAll(tokenEvents(5, 5), `"id":"a"`, `"id":"b"`),
		"an id of a number":  strings.ReplaceAll(tokenEvents(5, 5), `"id":"a"`, `"id":7`),
		"an id of an object": strings.ReplaceAll(tokenEvents(5, 5), `"id":"a"`, `"id":{}`),
		"usage of another":   strings.ReplaceAll(usageEvent, `"id":"a"`, `"id":"b"`),
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is broken: "+name, func() {
			ended, s := runAgainst(tokenEvents(1, 4)+cases[name]+tokenEvents(5, 8)+usageEvent+doneEvent, nil)
			Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
			Expect(ended.Delivered).To(Equal(4))
			Expect(ended.Usage.OutputTokens).To(BeZero())
			Expect(s.chunks).To(Equal(4))
		})
	}
})

// Guards against a stream that is resumed at the wrong token, because the engine has counted
// tokens that it did not send.
var _ = Describe("A stream with a wrong number of token ids", func() {
	ids := func(text string) string {
		return chunkEvent(`{"id":"a","choices":[{"index":0,"delta":{"content":"x"},"token_ids":` + text + `}]}`)
	}
	cases := map[string]string{
		"ids are text":               ids(`["a","b"]`),
		"ids are negative":           ids(`[-1]`),
		"ids are fractions":          ids(`[1.5]`),
		"ids are objects":            ids(`[{},{}]`),
		"ids are an object":          ids(`{"0":1}`),
		"more than may be generated": ids(`[1,2,3,4,5,6,7]`),
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is broken: "+name, func() {
			ended, s := runAgainst(tokenEvents(1, 4)+cases[name]+tokenEvents(5, 8)+doneEvent, nil)
			Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
			Expect(ended.Delivered).To(Equal(4))
			Expect(s.chunks).To(Equal(4))
		})
	}

	limits := map[string]struct {
		body string
		want wasabiridge.AttemptResult
	}{
		"as many as max_tokens":                  {body: `{"max_tokens":8}`, want: wasabiridge.AttemptCompleted},
		"as many as max_completion_tokens":       {body: `{"max_tokens":1,"max_completion_tokens":8}`, want: wasabiridge.AttemptCompleted},
		"as many as max_tokens of two choices":   {body: `{"n":2,"max_tokens":4}`, want: wasabiridge.AttemptCompleted},
		"no limit":                               {body: `{"max_tokens":null}`, want: wasabiridge.AttemptCompleted},
		"no limit, as the prompt is sent, too":   {body: `{"max_tokens":1,"echo":true}`, want: wasabiridge.AttemptCompleted},
		"more than max_tokens":                   {body: `{"max_tokens":7}`, want: wasabiridge.AttemptBroken},
		"as many as the larger limit":            {body: `{"max_tokens":8,"max_completion_tokens":1}`, want: wasabiridge.AttemptCompleted},
		"more than max_completion_tokens":        {body: `{"max_tokens":6,"max_completion_tokens":7}`, want: wasabiridge.AttemptBroken},
		"more than max_tokens of two choices":    {body: `{"n":2,"max_tokens":3}`, want: wasabiridge.AttemptBroken},
		"more than max_tokens, as it is resumed": {body: `{"max_tokens":11,"resume":4}`, want: wasabiridge.AttemptBroken},
	}
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		It("is broken by the limit of the request only: "+name, func() {
			c := limits[name]
			ended, _ := runAgainst(tokenEvents(1, 8)+doneEvent, func(a *wasabiridge.Attempt) {
				if a.Body = []byte(c.body); strings.Contains(c.body, "resume") {
					a.ResumeFrom, a.Weights = 4, 7
				}
			})
			Expect(ended.Result).To(Equal(c.want))
		})
	}
})

// Guards against usage that is believed and passed on although the answer goes on behind it, so
// that the caller does not get the usage of the whole answer.
var _ = Describe("A stream with usage before its last token", func() {
	for _, wanted := range []bool{false, true} {
		It(fmt.Sprintf("is broken, usage wanted by the caller: %t", wanted), func() {
			early := strings.ReplaceAll(usageEvent, `"completion_tokens":8`, `"completion_tokens":999`)
			ended, s := runAgainst(tokenEvents(1, 4)+early+tokenEvents(5, 8)+usageEvent+doneEvent, func(a *wasabiridge.Attempt) {
				if wanted {
					a.Body = []byte(`{"stream_options":{"include_usage":true}}`)
				}
			})
			Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
			Expect(ended.Delivered).To(Equal(4))
			Expect(ended.Usage.OutputTokens).To(BeZero())
			Expect(s.chunks).To(Equal(4))
		})
	}

	It("is sound if it ends then", func() {
		ended, s := runAgainst(tokenEvents(1, 8)+usageEvent+doneEvent, func(a *wasabiridge.Attempt) {
			a.Body = []byte(`{"stream_options":{"include_usage":true}}`)
		})
		Expect(ended.Result).To(Equal(wasabiridge.AttemptCompleted))
		Expect(s.chunks).To(Equal(9))
		Expect(s.data.String()).To(HaveSuffix(`"completion_tokens":8}}`))
	})
})

// Guards against a part of an answer that counts as complete, because a faulty engine sent an end
// marker within it.
var _ = Describe("A stream with bytes behind an end marker", func() {
	cases := map[string]struct {
		behind string
		want   wasabiridge.AttemptResult
	}{
		"the answer goes on":         {behind: tokenEvents(5, 8) + usageEvent + doneEvent, want: wasabiridge.AttemptBroken},
		"the answer goes on later":   {behind: ": a\n\ngarbage\n\n" + tokenEvents(5, 8), want: wasabiridge.AttemptBroken},
		"usage":                      {behind: usageEvent + doneEvent, want: wasabiridge.AttemptCompleted},
		"more tokens than requested": {behind: strings.Replace(tokenEvents(5, 5), "[5]", "[5,6,7,8,9,10,11]", 1), want: wasabiridge.AttemptCompleted},
		"bytes that are no field":    {behind: "garbage\n\n", want: wasabiridge.AttemptCompleted},
		"text without a line end":    {behind: "garbage", want: wasabiridge.AttemptCompleted},
		"another end marker":         {behind: doneEvent, want: wasabiridge.AttemptCompleted},
		"an object":                  {behind: chunkEvent(`{"foo":1}`), want: wasabiridge.AttemptCompleted},
		"another completion":         {behind: strings.ReplaceAll(tokenEvents(5, 6), `"id":"a"`, `"id":"b"`), want: wasabiridge.AttemptCompleted},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("is complete unless it goes on: "+name, func() {
			ended, s := runAgainst(tokenEvents(1, 4)+doneEvent+cases[name].behind, nil)
			Expect(ended.Result).To(Equal(cases[name].want))
			Expect(ended.Delivered).To(Equal(4))
			Expect(s.chunks).To(Equal(4))
		})
	}
})

// Guards against a whole answer of a faulty engine that is passed on, although it is none of the
// request.
var _ = Describe("An answer that is no stream", func() {
	completion := `{"id":"a","choices":[{"index":0,"message":{"content":"x"},"finish_reason":"stop"}],"usage":{"completion_tokens":3}}`
	cases := map[string]struct {
		status            int
		contentType, body string
		stream            bool
		path              string
		want              wasabiridge.AttemptResult
	}{
		"a completion":                  {body: completion, want: wasabiridge.AttemptCompleted},
		"a completion, path with query": {path: "/v1/completions?x=1", body: completion, want: wasabiridge.AttemptCompleted},
		"an object, of other paths":     {path: "/v1/models", body: `{"object":"list","data":[]}`, want: wasabiridge.AttemptCompleted},
		"an error of the request":       {status: 400, body: `{"error":{"message":"x"}}`, want: wasabiridge.AttemptCompleted},
		"another object":                {body: `{"foo":1}`, want: wasabiridge.AttemptBroken},
		"no choices":                    {body: `{"id":"a","choices":[]}`, want: wasabiridge.AttemptBroken},
		"choices are an object":         {body: `{"choices":{}}`, want: wasabiridge.AttemptBroken},
		"a choice is text":              {body: `{"choices":["x"]}`, want: wasabiridge.AttemptBroken},
		"a stream":                      {contentType: "text/event-stream", body: tokenEvents(1, 2) + doneEvent, want: wasabiridge.AttemptBroken},
		"a stream with an error status": {status: 400, contentType: "text/event-stream", body: tokenEvents(1, 2) + doneEvent, stream: true, want: wasabiridge.AttemptBroken},
		"a status of 299":               {status: 299, body: completion, want: wasabiridge.AttemptBroken},
		"a redirection":                 {status: 302, body: "{}", want: wasabiridge.AttemptBroken},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		It(fmt.Sprintf("is %v: %s", c.want, name), func() {
			url := serve(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if c.contentType != "" {
					w.Header().Set("Content-Type", c.contentType)
				}
				if c.status != 0 {
					w.WriteHeader(c.status)
				}
				_, _ = io.WriteString(w, c.body)
			})
			a := streamOf(wasabiridge.BackendServer{ID: "e", Kind: wasabiridge.BackendEngine, URL: url})
			if a.Stream = c.stream; c.path != "" {
				a.Path = c.path
			}
			ended, s := run(newRunner(wasabibackend.Options{}), a)
			Expect(ended.Result).To(Equal(c.want))
			Expect(s.chunks > 0).To(Equal(c.want == wasabiridge.AttemptCompleted))
		})
	}
})

// Guards against a faulty engine that nobody sees, because its garbage is not reported.
var _ = Describe("Bytes that are no part of an answer", func() {
	cases := map[string]struct {
		garbage, cause string
		bytes          int
	}{
		"no field":                 {garbage: "garbage\n\n", cause: "a line is no field", bytes: 9},
		"no object":                {garbage: "data: garbage\n\n", cause: "no JSON object", bytes: 15},
		"no chunk":                 {garbage: "data: {}\n\n", cause: "no list of choices", bytes: 10},
		"another completion":       {garbage: `data: {"id":"b","choices":[]}` + "\n\n", cause: "id of another completion", bytes: 31},
		"text as token ids":        {garbage: `data: {"choices":[{"token_ids":["x"]}]}` + "\n\n", cause: "token_ids are no list of numbers", bytes: 41},
		"too many tokens":          {garbage: `data: {"choices":[{"token_ids":[1,2,3,4,5,6,7]}]}` + "\n\n", cause: "more tokens than requested", bytes: 51},
		"usage within the answer":  {garbage: usageEvent, cause: "choices behind the usage", bytes: len(tokenEvents(5, 5))},
		"an event too large":       {garbage: "data: " + strings.Repeat(" ", 32<<10) + "{}\n\n", cause: "event too large", bytes: 32778},
		"an end marker":            {garbage: doneEvent, cause: "end marker within the answer", bytes: len(tokenEvents(5, 5))},
		"a wrong type in a choice": {garbage: `data: {"choices":[{"delta":7}]}` + "\n\n", cause: "field of a choice has a wrong type", bytes: 33},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		It("are reported: "+name, func() {
			c := cases[name]
			ended, _, reports := observeAgainst(tokenEvents(1, 4)+c.garbage+tokenEvents(5, 8)+doneEvent, nil)
			event := wasabiridge.MalformedEvent{Cause: c.cause, Delivered: 4, Bytes: c.bytes}
			Expect(reports).To(Equal([]wasabiridge.ResponseMalformed{{Backend: "e", Request: "r1", Part: wasabiridge.PartEvent, Cause: c.cause, Event: event}}))
			Expect(ended.Malformed).To(Equal(event))
		})
	}

	It("are reported behind the end of a complete answer", func() {
		ended, _, reports := observeAgainst(tokenEvents(1, 4)+doneEvent+"garbage\n\n", nil)
		Expect(ended.Malformed).To(BeZero())
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Event).To(Equal(wasabiridge.MalformedEvent{Cause: "bytes behind the end marker", Delivered: 4, Bytes: 9}))
	})

	It("are not reported if the engine states an error or its stream ends early", func() {
		for _, end := range []string{chunkEvent(`{"error":{"message":"x"}}`), ": end\n\n", "data: {", "data: [DONE]"} {
			ended, _, reports := observeAgainst(tokenEvents(1, 4)+end, nil)
			Expect(ended.Result).To(Equal(wasabiridge.AttemptBroken))
			Expect(reports).To(BeEmpty(), end)
		}
	})
})
