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

// refuse answers that the request did not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(wasabiridge.HeaderDisposition, wasabiridge.NotRun.String())
	writeError(w, status, reason, "not_run")
}

// asked reports whether a request accepts the version that serves, and names
// that version on the answer.
func asked(w http.ResponseWriter, r *http.Request, name string, own uint64) bool {
	text := strconv.FormatUint(own, 10)
	w.Header().Set(name, text)
	want := r.Header.Get(name)
	return want == "" || want == text
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, f form) {
	var body completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "broken body", "invalid_request_error")
		return
	}
	life, weights := e.core.versions()
	sameWeights := asked(w, r, wasabiridge.HeaderWeights, uint64(weights))
	sameLife := asked(w, r, wasabiridge.HeaderIncarnation, uint64(life))
	if !sameWeights || !sameLife {
		refuse(w, http.StatusConflict, "another weights version or incarnation")
		return
	}
	chain := body.chain(e.opts.Spec.BlockTokens)
	waiter, ok := e.core.submit(wasabifake.Job{
		Priority:     wasabiridge.Priority(-body.Priority),
		Chain:        chain,
		OutputTokens: body.outputTokens(),
		ResumeFrom:   body.ResumeFrom,
	}, body.names(chain))
	if !ok {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "queue full or loading weights")
		return
	}
	defer e.core.release(waiter)
	if e.opts.CrashOn != "" && strings.Contains(body.text(), e.opts.CrashOn) {
		e.ends.Add(1)
		go e.Crash()
		<-r.Context().Done()
		return
	}
	if body.ResumeFrom > 0 {
		w.Header().Set(wasabiridge.HeaderResumedFrom, strconv.Itoa(body.ResumeFrom))
	}
	s := &stream{
		engine: e, w: w, r: r, form: f, body: body, fault: e.Take(), waiter: waiter,
		answer: newAnswer(body.text(), weights),
		id:     fmt.Sprintf("cmpl-%d", e.served.Add(1)),
	}
	if s.fault.Strikes(wasabiserver.BeforeHeaders, 0) {
		s.fault.Perform(w, r)
		return
	}
	if body.Stream {
		s.run()
		return
	}
	s.whole()
}
