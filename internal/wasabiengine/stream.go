package wasabiengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

// stream writes one answer.
type stream struct {
	engine *Engine
	w      http.ResponseWriter
	r      *http.Request
	form   form
	body   completionRequest
	fault  *wasabiserver.Fault
	waiter *waiter
	answer answer
	id     string
}

// awaitFirst waits until the prompt is computed. It reports false when the
// caller is gone.
func (s *stream) awaitFirst() bool {
	select {
	case <-s.waiter.first:
		return true
	case <-s.r.Context().Done():
		s.engine.cancelled.Add(1)
		return false
	}
}

// await waits until more tokens than written are there and returns how many.
// It reports false when the caller is gone.
func (s *stream) await(written, end int) (int, bool) {
	for {
		if s.r.Context().Err() != nil {
			s.engine.cancelled.Add(1)
			return 0, false
		}
		if n := s.engine.core.available(s.waiter, end); n > written {
			return n, true
		}
		sleep(s.r, max(1, s.engine.opts.Spec.Decode))
	}
}

func (s *stream) usage() *usage {
	output := s.body.outputTokens()
	u := s.waiter.usage
	return &usage{
		PromptTokens:        u.PromptTokens,
		CompletionTokens:    output,
		TotalTokens:         u.PromptTokens + output,
		PromptTokensDetails: promptDetails{CachedTokens: u.CachedTokens},
	}
}

func (s *stream) envelope(object string) completion {
	return completion{
		ID: s.id, Object: object, Created: int64(s.engine.opts.Clock.Now() / wasabiridge.Second),
		Model: s.body.Model, Choices: []choice{},
	}
}

func (s *stream) whole() {
	end := s.body.outputTokens()
	if !s.awaitFirst() {
		return
	}
	for n := 0; n < end; {
		var ok bool
		if n, ok = s.await(n, end); !ok {
			return
		}
	}
	var text strings.Builder
	var ids []int
	for i := s.body.ResumeFrom; i < end; i++ {
		t := s.answer.token(i)
		text.WriteString(t.text)
		if s.body.ReturnTokenIDs {
			ids = append(ids, t.id)
		}
	}
	c := s.envelope(s.form.object)
	c.Usage = s.usage()
	c.Choices = []choice{s.choice(text.String(), ids, true)}
	writeJSON(s.w, http.StatusOK, c)
}

func (s *stream) choice(text string, ids []int, last bool) choice {
	c := choice{TokenIDs: ids}
	if last {
		reason := "length"
		c.FinishReason = &reason
	}
	switch {
	case !s.form.chat:
		c.Text = &text
	case s.body.Stream:
		c.Delta = &delta{Content: text}
	default:
		c.Message = &delta{Role: "assistant", Content: text}
	}
	return c
}

func (s *stream) run() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	s.flush()
	if s.fault.Strikes(wasabiserver.AfterHeaders, 0) {
		s.fault.Perform(s.w, s.r)
		return
	}
	if !s.awaitFirst() || !s.writeTokens() {
		return
	}
	if s.fault.Strikes(wasabiserver.BeforeEndMarker, 0) {
		s.fault.Perform(s.w, s.r)
		return
	}
	if s.body.StreamOptions.IncludeUsage {
		c := s.envelope(s.form.chunkObject)
		c.Usage = s.usage()
		s.writeEvent(c)
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	s.flush()
}

// writeTokens writes all tokens. It reports false when the answer ended early.
func (s *stream) writeTokens() bool {
	end := s.body.outputTokens()
	for i := s.body.ResumeFrom; i < end; {
		ready, ok := s.await(i, end)
		if !ok {
			return false
		}
		for ; i < ready; i++ {
			if s.fault.Strikes(wasabiserver.AtToken, i) {
				s.fault.Perform(s.w, s.r)
				return false
			}
			if s.r.Context().Err() != nil {
				s.engine.cancelled.Add(1)
				return false
			}
			s.writeToken(i, i == end-1)
		}
	}
	return true
}

func (s *stream) writeToken(i int, last bool) {
	t := s.answer.token(i)
	var ids []int
	if s.body.ReturnTokenIDs {
		ids = []int{t.id}
	}
	c := s.envelope(s.form.chunkObject)
	c.Choices = []choice{s.choice(t.text, ids, last)}
	s.writeEvent(c)
	s.engine.written.Add(1)
}

func (s *stream) writeEvent(c completion) {
	var data []byte
	var err error
	if data, err = json.Marshal(c); err != nil {
		return
	}
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", data)
	s.flush()
}

func (s *stream) flush() {
	_ = http.NewResponseController(s.w).Flush()
}
