package wasabibackend_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibackend"
)

const maxCount = 1 << 30

func inRange(counts ...int) bool {
	for _, c := range counts {
		if c < 0 || c > maxCount {
			return false
		}
	}
	return true
}

func FuzzChunk(f *testing.F) {
	for _, seed := range []string{
		`{"choices":[{"delta":{"content":"a"},"token_ids":[1,2]}]}`,
		`{"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":1e300,"prompt_tokens_details":{"cached_tokens":-4}}}`,
		`{"error":{"message":"x"}}`, `{"choices":{"token_ids":"x"}}`, `[1]`, `{"usage":null}`, `{`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, payload string) {
		tokens, usage, ok := wasabibackend.DecodeChunk(payload)
		if ok != (json.Valid([]byte(payload)) && strings.HasPrefix(strings.TrimLeft(payload, " \t\r\n"), "{")) {
			t.Fatalf("payload accepted as a JSON object: %v", ok)
		}
		if tokens < 0 || tokens > len(payload) {
			t.Fatalf("%d tokens in %d bytes", tokens, len(payload))
		}
		if !inRange(usage.PromptTokens, usage.CachedTokens, usage.OutputTokens) || usage.CachedTokens > usage.PromptTokens {
			t.Fatalf("usage out of range: %+v", usage)
		}
	})
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"incarnation":3,"age_ms":20,"running":1,"waiting":2,"waiting_tokens":3,"weights":4,"leaving":true}`))
	f.Add([]byte(`{"age_ms":1e300,"running":-1,"waiting":1e19}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		const now = wasabiridge.Hour
		r, ok := wasabibackend.DecodeLoad(now, "e", data)
		if !ok {
			return
		}
		if !inRange(r.Running, r.Waiting, r.WaitingTokens) || r.MeasuredAt > now || r.MeasuredAt < now-wasabiridge.Minute {
			t.Fatalf("report out of range: %+v", r)
		}
	})
}

func FuzzBatch(f *testing.F) {
	f.Add(`{"incarnation":1,"sequence":7,"events":[{"kind":"stored","block":"00ff"},{"kind":"cleared"}]}`)
	f.Add(`{"sequence":18446744073709551615,"events":[{"kind":"evicted","block":"1"},{"kind":"evicted","block":"2"}]}`)
	f.Fuzz(func(t *testing.T, payload string) {
		events, ok := wasabibackend.DecodeBatch("e", payload)
		if !ok && events != nil {
			t.Fatal("events returned for a rejected message")
		}
		for i, e := range events {
			if e.Sequence != events[0].Sequence+uint64(i) || e.Sequence < events[0].Sequence || e.Backend != "e" {
				t.Fatalf("event %d: %+v", i, e)
			}
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"choices\":[{\"token_ids\":[1]}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\r\ndata: }\r\n\r\n: comment\n\nid: 1\nevent: x\ndata: {}\n\ndata: [DONE]"))
	f.Add(append([]byte("data: "), bytes.Repeat([]byte("x"), 2000)...))
	f.Fuzz(func(t *testing.T, stream []byte) {
		s := &sink{}
		s.check = func(data []byte) {
			if bytes.ContainsAny(data, "\r\n") || !json.Valid(data) {
				t.Errorf("payload would break the framing of the event: %q", data)
			}
		}
		ended := wasabibackend.RelayEvents(stream, s)
		if ended.Result == wasabiridge.AttemptCompleted && !bytes.Contains(stream, []byte("[DONE]")) {
			t.Fatal("completed without an end marker")
		}
		if ended.Delivered < 0 || ended.Delivered > len(stream) {
			t.Fatalf("%d tokens in %d bytes", ended.Delivered, len(stream))
		}
	})
}

func FuzzExtendBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","cache_salt":"another account's","Cache_Salt":"x","priority":-9,"resume_from":3}`))
	f.Add([]byte(`{"cache\u005fsalt":"x","stream_options":{"include_usage":true}}`))
	f.Add([]byte(`{"a":1,"a":2,}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		data, ok := wasabibackend.ExtendBody(wasabiridge.Attempt{
			Backend: wasabiridge.BackendServer{Kind: wasabiridge.BackendEngine},
			Body:    body, CacheSalt: "own", Priority: 2,
		})
		if !ok || len(body) == 0 {
			return
		}
		var got struct {
			CacheSalt  string `json:"cache_salt"`
			Priority   int    `json:"priority"`
			ResumeFrom int    `json:"resume_from"`
		}
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatalf("%q became %q: %v", body, data, err)
		}
		if got.CacheSalt != "own" || got.Priority != -2 || got.ResumeFrom != 0 {
			t.Fatalf("the caller overrode a field of the router: %q", data)
		}
	})
}
