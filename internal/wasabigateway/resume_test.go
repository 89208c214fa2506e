package wasabigateway_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
)

// Engines fail at any token of a long stream, with a clean end or without, and
// some before the request was sent to them. The caller must receive every token
// once and in order, followed by the end marker, or else a prefix of the answer
// and a visible truncation.
func TestResumeGivesEveryTokenOnce(t *testing.T) {
	RegisterTestingT(t)
	r := newRig(t, nil)
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "tokens")
		breaks := rapid.SliceOfN(rapid.IntRange(0, total), 0, 10).Draw(t, "breaks")
		results := rapid.SliceOfN(rapid.SampledFrom([]wasabiridge.AttemptResult{
			wasabiridge.AttemptBroken, wasabiridge.AttemptNotRun, wasabiridge.AttemptCancelled,
		}), len(breaks), len(breaks)).Draw(t, "results")
		r.runner.set(func(_ context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
			if n > len(breaks) {
				_ = stream(a, sink, total)
				return end(wasabiridge.AttemptCompleted)
			}
			if results[n-1] != wasabiridge.AttemptNotRun {
				_ = stream(a, sink, breaks[n-1])
			}
			return end(results[n-1])
		})
		got := r.do(call{body: chatStream})
		checkCompleteOrTruncated(t, got, completeStream(total))
		for _, a := range r.runner.seen() {
			if a.ResumeFrom > 0 && a.Weights != 3 {
				t.Fatalf("resumed with weights %d, started with 3", a.Weights)
			}
		}
	})
}

// An engine fails after the last token, before or after it sent the finish
// reason. The engine that resumes the stream sends the role and the finish
// reason again. The role was once passed on a second time; the caller must
// receive the role and the finish reason exactly once.
func TestResumeAfterTheLastTokenAddsOnlyWhatIsMissing(t *testing.T) {
	RegisterTestingT(t)
	const reason = `{"choices":[{"finish_reason":"stop"}]}`
	for name, reasonSent := range map[string]bool{"before the finish reason": false, "after the finish reason": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, nil)
			read := make(chan struct{})
			r.runner.set(func(_ context.Context, n int, a wasabiridge.Attempt, sink wasabiridge.AttemptSink) wasabiridge.AttemptEnded {
				_ = stream(a, sink, 3)
				if n > 1 || reasonSent {
					_ = sink.Chunk(0, []byte(reason))
				}
				if n > 1 {
					return end(wasabiridge.AttemptCompleted)
				}
				<-read
				return end(wasabiridge.AttemptBroken)
			})
			got := r.doThen(call{body: chatStream}, func() { close(read) })
			want := completeStream(3)
			want = slices.Insert(want, len(want)-1, reason)
			Expect(got.readErr).NotTo(HaveOccurred())
			Expect(events(got.text)).To(Equal(want))
		})
	}
}

// checkCompleteOrTruncated fails unless the caller received all of want, or a
// proper prefix of it together with an error event and an aborted connection.
func checkCompleteOrTruncated(t *rapid.T, got reply, want []string) {
	if got.status != http.StatusOK {
		if got.header.Get("Content-Type") != "application/json" || strings.Contains(got.text, "token") {
			t.Fatalf("refusal contains part of an answer: %s", got.text)
		}
		return
	}
	text, _, hasError := strings.Cut(got.text, "event: error")
	seen := events(text)
	if got.readErr == nil && !hasError {
		if !slices.Equal(seen, want) {
			t.Fatalf("answer without an error is incomplete: %v", seen)
		}
		return
	}
	if got.readErr == nil || !hasError {
		t.Fatalf("truncation without both an aborted connection and an error event: %v, %v", got.readErr, hasError)
	}
	if len(seen) >= len(want) || !slices.Equal(seen, want[:len(seen)]) {
		t.Fatalf("truncated answer is not a proper prefix of the complete one: %v", seen)
	}
}
