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

// A long answer streams while engines die under it, at any token, cleanly or
// not, some before they were sent anything. The caller must read every token
// once and in order and then the end marker, or a prefix of the answer and a
// visible cut.
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
		checkPrefix(t, got, wholeStream(total))
		for _, a := range r.runner.seen() {
			if a.ResumeFrom > 0 && a.Weights != 3 {
				t.Fatalf("resumed under weights %d, begun under 3", a.Weights)
			}
		}
	})
}

// An engine dies after the last token, before or after it said why the answer
// ends. The engine that takes over sends the role again and the reason; the
// caller once read a second role, and must read the reason exactly once.
func TestResumeAfterTheLastTokenAddsOnlyWhatIsMissing(t *testing.T) {
	RegisterTestingT(t)
	const reason = `{"choices":[{"finish_reason":"stop"}]}`
	for name, reasonSent := range map[string]bool{"before the reason": false, "after the reason": true} {
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
			want := wholeStream(3)
			want = slices.Insert(want, len(want)-1, reason)
			Expect(got.cut).NotTo(HaveOccurred())
			Expect(events(got.text)).To(Equal(want))
		})
	}
}

// checkPrefix fails unless the caller got all of want, or the beginning of it
// and knows that it is cut.
func checkPrefix(t *rapid.T, got reply, want []string) {
	if got.status != http.StatusOK {
		if got.header.Get("Content-Type") != "application/json" || strings.Contains(got.text, "token") {
			t.Fatalf("a refusal holds a part of an answer: %s", got.text)
		}
		return
	}
	text, _, hasError := strings.Cut(got.text, "event: error")
	seen := events(text)
	if got.cut == nil && !hasError {
		if !slices.Equal(seen, want) {
			t.Fatalf("a clean answer is not whole: %v", seen)
		}
		return
	}
	if got.cut == nil || !hasError {
		t.Fatalf("cut is only half visible: %v, %v", got.cut, hasError)
	}
	if len(seen) >= len(want) || !slices.Equal(seen, want[:len(seen)]) {
		t.Fatalf("a cut answer is no beginning of the whole: %v", seen)
	}
}
