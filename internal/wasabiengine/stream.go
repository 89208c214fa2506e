package wasabiengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

// response writes one answer, either as a stream or complete.
type response struct {
	engine    *Engine
	w         http.ResponseWriter
	r         *http.Request
	format    responseFormat
	body      completionRequest
	fault     *wasabiserver.Fault
	pending   *pendingAnswer
	generator tokenGenerator
	id        string
}

// awaitFirstToken waits until the prompt is computed. It reports false if the
// caller has disconnected.
func (s *response) awaitFirstToken() bool {
	select {
	case <-s.pending.first:
		return true
	case <-s.r.Context().Done():
		s.engine.cancelled.Add(1)
		return false
	}
}

// awaitTokens waits until more than written tokens are produced and returns their
// number, at most end. It reports false if the caller has disconnected.
func (s *response) awaitTokens(written, end int) (int, bool) {
	for {
		if s.r.Context().Err() != nil {
			s.engine.cancelled.Add(1)
			return 0, false
		}
		if n := s.engine.runner.available(s.pending, end); n > written {
			return n, true
		}
		sleep(s.r, max(1, s.engine.opts.Spec.Decode))
	}
}

func (s *response) usage() *usage {
	output := s.body.outputTokens()
	u := s.pending.usage
	return &usage{
		PromptTokens:        u.PromptTokens,
		CompletionTokens:    output,
		TotalTokens:         u.PromptTokens + output,
		PromptTokensDetails: promptDetails{CachedTokens: u.CachedTokens},
	}
}

func (s *response) newCompletion(object string) completion {
	return completion{
		ID: s.id, Object: object, Created: int64(s.engine.opts.Clock.Now() / wasabiridge.Second),
		Model: s.body.Model, Choices: []choice{},
	}
}

func (s *response) writeComplete() {
	end := s.body.outputTokens()
	if !s.awaitFirstToken() {
		return
	}
	for n := 0; n < end; {
		var ok bool
		if n, ok = s.awaitTokens(n, end); !ok {
			return
		}
	}
	var text strings.Builder
	var ids []int
	for i := s.body.ResumeFrom; i < end; i++ {
		t := s.generator.token(i)
		text.WriteString(t.text)
		if s.body.ReturnTokenIDs {
			ids = append(ids, t.id)
		}
	}
	c := s.newCompletion(s.format.object)
	c.Usage = s.usage()
	c.Choices = []choice{s.choice(text.String(), ids, true)}
	writeJSON(s.w, http.StatusOK, c)
}

func (s *response) choice(text string, ids []int, last bool) choice {
	c := choice{TokenIDs: ids}
	if last {
		reason := "length"
		c.FinishReason = &reason
	}
	switch {
	case !s.format.chat:
		c.Text = &text
	case s.body.Stream:
		c.Delta = &delta{Content: text}
	default:
		c.Message = &delta{Role: "assistant", Content: text}
	}
	return c
}

func (s *response) writeStream() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	s.flush()
	if s.fault.OccursAt(wasabiserver.AfterHeaders, 0) {
		s.fault.Execute(s.w, s.r)
		return
	}
	if !s.awaitFirstToken() || !s.writeTokens() {
		return
	}
	if s.fault.OccursAt(wasabiserver.BeforeEndMarker, 0) {
		s.fault.Execute(s.w, s.r)
		return
	}
	if s.body.StreamOptions.IncludeUsage {
		c := s.newCompletion(s.format.chunkObject)
		c.Usage = s.usage()
		s.writeEvent(c)
	}
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
	s.flush()
}

// writeTokens writes an event for each token. It reports false if the answer ended
// early, because of an injected fault or because the caller has disconnected.
func (s *response) writeTokens() bool {
	end := s.body.outputTokens()
	for i := s.body.ResumeFrom; i < end; {
		ready, ok := s.awaitTokens(i, end)
		if !ok {
			return false
		}
		for ; i < ready; i++ {
			if s.fault.OccursAt(wasabiserver.AtToken, i) {
				s.fault.Execute(s.w, s.r)
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

func (s *response) writeToken(i int, last bool) {
	t := s.generator.token(i)
	var ids []int
	if s.body.ReturnTokenIDs {
		ids = []int{t.id}
	}
	c := s.newCompletion(s.format.chunkObject)
	c.Choices = []choice{s.choice(t.text, ids, last)}
	s.writeEvent(c)
	s.engine.written.Add(1)
}

func (s *response) writeEvent(c completion) {
	var data []byte
	var err error
	if data, err = json.Marshal(c); err != nil {
		return
	}
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", data)
	s.flush()
}

func (s *response) flush() {
	_ = http.NewResponseController(s.w).Flush()
}
