package wasabiengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const maxBodyBytes = 32 << 20

// form tells the two completion calls apart.
type form struct {
	object, chunkObject string
	chat                bool
}

var (
	chatForm = form{object: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
	textForm = form{object: "text_completion", chunkObject: "text_completion"}
)

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) { e.complete(w, r, chatForm) }
func (e *Engine) handleText(w http.ResponseWriter, r *http.Request) { e.complete(w, r, textForm) }

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]any{
		"object": "list",
		"data":   []map[string]any{{"id": e.opts.Model, "object": "model", "owned_by": "wasabiridge"}},
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(wasabiridge.HeaderDisposition, wasabiridge.NotRun.String())
	writeJSON(w, status, errorBody{Error: errorDetail{Message: reason, Type: "not_run"}})
}

// matches checks the versions that a request asks for and names its own.
func (e *Engine) matches(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	own := map[string]uint64{
		wasabiridge.HeaderWeights:     uint64(e.weights),
		wasabiridge.HeaderIncarnation: uint64(e.incarnation),
	}
	e.mu.Unlock()
	same := true
	for name, version := range own {
		text := strconv.FormatUint(version, 10)
		w.Header().Set(name, text)
		if want := r.Header.Get(name); want != "" && want != text {
			same = false
		}
	}
	return same
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, f form) {
	var body completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: errorDetail{Message: "broken body", Type: "invalid_request_error"}})
		return
	}
	if !e.matches(w, r) {
		refuse(w, http.StatusConflict, "another weights version or incarnation")
		return
	}
	fault := e.takeFault()
	if fault.strikes(BeforeHeaders, 0) {
		fault.perform(w, r)
		return
	}
	e.countServed()
	if body.ResumeFrom > 0 {
		w.Header().Set(wasabiridge.HeaderResumedFrom, strconv.Itoa(body.ResumeFrom))
	}
	e.mu.Lock()
	weights := e.weights
	e.mu.Unlock()
	s := &stream{
		engine: e, w: w, r: r, form: f, body: body, fault: fault,
		answer: newAnswer(body.text(), weights),
		id:     fmt.Sprintf("cmpl-%d", e.Served()),
	}
	if body.Stream {
		s.run()
		return
	}
	s.whole()
}

// stream writes one answer.
type stream struct {
	engine *Engine
	w      http.ResponseWriter
	r      *http.Request
	form   form
	body   completionRequest
	fault  *Fault
	answer answer
	id     string
}

func (s *stream) usage() *usage {
	prompt := (len(s.body.text()) + 3) / 4
	output := s.body.outputTokens()
	return &usage{PromptTokens: prompt, CompletionTokens: output, TotalTokens: prompt + output}
}

func (s *stream) envelope(object string) completion {
	return completion{
		ID: s.id, Object: object, Created: int64(s.engine.opts.Clock.Now() / wasabiridge.Second),
		Model: s.body.Model, Choices: []choice{},
	}
}

func (s *stream) whole() {
	var text strings.Builder
	var ids []int
	for i := s.body.ResumeFrom; i < s.body.outputTokens(); i++ {
		if !s.pause() {
			return
		}
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

// pause waits for the next token. It reports false when the caller is gone.
func (s *stream) pause() bool {
	if s.engine.opts.Decode > 0 {
		timer := time.NewTimer(s.engine.opts.Decode.Duration())
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.r.Context().Done():
		}
	}
	if s.r.Context().Err() != nil {
		s.engine.countCancelled()
		return false
	}
	return true
}

func (s *stream) run() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
	s.flush()
	if s.fault.strikes(AfterHeaders, 0) {
		s.fault.perform(s.w, s.r)
		return
	}
	end := s.body.outputTokens()
	for i := s.body.ResumeFrom; i < end; i++ {
		if s.fault.strikes(AtToken, i) {
			s.fault.perform(s.w, s.r)
			return
		}
		if !s.pause() {
			return
		}
		s.writeToken(i, i == end-1)
	}
	if s.fault.strikes(BeforeEndMarker, 0) {
		s.fault.perform(s.w, s.r)
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

func (s *stream) writeToken(i int, last bool) {
	t := s.answer.token(i)
	var ids []int
	if s.body.ReturnTokenIDs {
		ids = []int{t.id}
	}
	c := s.envelope(s.form.chunkObject)
	c.Choices = []choice{s.choice(t.text, ids, last)}
	s.writeEvent(c)
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
