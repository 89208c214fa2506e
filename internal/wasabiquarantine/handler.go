package wasabiquarantine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
)

// entryJSON is a suspect or blocked request or part of prompts, as operators see it.
type entryJSON struct {
	Fingerprint string   `json:"fingerprint"`
	Part        bool     `json:"prompt_part"`
	Account     string   `json:"account"`
	Model       string   `json:"model,omitempty"`
	Barred      bool     `json:"barred"`
	LeftMillis  int64    `json:"left_ms"`
	Ended       []string `json:"ended"`
	AgesMillis  []int64  `json:"ages_ms"`
}

// Handler lets operators list suspect and blocked requests (GET /) and release one of them
// (DELETE /FINGERPRINT).
func (k *Controller) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/", k.serveList)
	router.Delete("/{fingerprint}", k.serveRelease)
	return router
}

func (k *Controller) serveList(w http.ResponseWriter, _ *http.Request) {
	entries, _ := k.Snapshot()
	out := make([]entryJSON, 0, len(entries))
	for _, e := range entries {
		s := entryJSON{
			Fingerprint: e.Fingerprint.String(), Part: e.Part, Account: string(e.Account), Model: string(e.Model), Barred: e.Blocked, LeftMillis: int64(e.Left),
		}
		for _, end := range e.Crashes {
			s.Ended = append(s.Ended, string(end.Backend))
			s.AgesMillis = append(s.AgesMillis, int64(end.Age))
		}
		out = append(out, s)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (k *Controller) serveRelease(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(chi.URLParam(r, "fingerprint"), 16, 64)
	if err != nil {
		http.Error(w, "a fingerprint has 16 hexadecimal digits", http.StatusBadRequest)
		return
	}
	if err = k.Release(wasabiridge.Fingerprint(id)); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
