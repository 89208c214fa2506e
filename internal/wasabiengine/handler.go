package wasabiengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

const maxBodyBytes = 32 << 20

// responseFormat holds the differences between the responses of the two completion
// endpoints.
type responseFormat struct {
	object, chunkObject string
	chat                bool
}

var (
	chatFormat = responseFormat{object: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
	textFormat = responseFormat{object: "text_completion", chunkObject: "text_completion"}
)

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) { e.complete(w, r, chatFormat) }
func (e *Engine) handleText(w http.ResponseWriter, r *http.Request) { e.complete(w, r, textFormat) }

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, modelList{
		Object: "list",
		Data:   []modelEntry{{ID: string(e.opts.Model), Object: "model", OwnedBy: "wasabiridge"}},
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message, kind string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Message: message, Type: kind}})
}

// refuse writes an error response with a disposition header that says that the
// request did not run, and with the identifier of the request.
func refuse(w http.ResponseWriter, r *http.Request, status int, reason string) {
	if id := r.Header.Get(wasabiridge.HeaderRequest); id != "" {
		w.Header().Set(wasabiridge.HeaderRequest, id)
	}
	w.Header().Set(wasabiridge.HeaderDisposition, wasabiridge.NotRun.String())
	writeError(w, status, reason, "not_run")
}

// acceptsVersion reports whether the header name of a request is absent or equal
// to the current version. It sets that header of the response to the current
// version.
func acceptsVersion(w http.ResponseWriter, r *http.Request, name string, current uint64) bool {
	text := strconv.FormatUint(current, 10)
	w.Header().Set(name, text)
	want := r.Header.Get(name)
	return want == "" || want == text
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, f responseFormat) {
	var body completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "broken body", "invalid_request_error")
		return
	}
	incarnation, weights := e.runner.versions()
	sameWeights := acceptsVersion(w, r, wasabiridge.HeaderWeights, uint64(weights))
	sameIncarnation := acceptsVersion(w, r, wasabiridge.HeaderIncarnation, uint64(incarnation))
	if !sameWeights || !sameIncarnation {
		refuse(w, r, http.StatusConflict, "another weights version or incarnation")
		return
	}
	chain := body.chain(e.opts.Spec.BlockTokens)
	pending, ok := e.runner.submit(wasabifake.Job{
		Priority:     wasabiridge.Priority(-body.Priority),
		Chain:        chain,
		OutputTokens: body.outputTokens(),
		ResumeFrom:   body.ResumeFrom,
	}, body.blockNames(chain))
	if !ok {
		w.Header().Set("Retry-After", "1")
		refuse(w, r, http.StatusServiceUnavailable, "queue full or loading weights")
		return
	}
	defer e.runner.release(pending)
	if e.opts.CrashOn != "" && strings.Contains(body.text(), e.opts.CrashOn) {
		e.requestCrashes.Add(1)
		go e.Crash()
		<-r.Context().Done()
		return
	}
	if body.ResumeFrom > 0 {
		w.Header().Set(wasabiridge.HeaderResumedFrom, strconv.Itoa(body.ResumeFrom))
	}
	s := &response{
		engine: e, w: w, r: r, format: f, body: body, fault: e.Next(), pending: pending,
		generator: newTokenGenerator(body.text(), weights),
		id:        fmt.Sprintf("cmpl-%d", e.served.Add(1)),
	}
	if s.fault.OccursAt(wasabiserver.BeforeHeaders, 0) {
		s.fault.Execute(w, r)
		return
	}
	if body.Stream {
		s.writeStream()
		return
	}
	s.writeComplete()
}
