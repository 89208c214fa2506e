// Package wasabioperator answers operators over HTTP: configuration, rules,
// accounts, backend servers, the time line, outcomes, rollouts and draining.
//
// Requests and answers are JSON. Every request carries an operator's key as
// "Authorization: Bearer KEY"; only SHA-256 hashes of keys are known here and
// they are compared in constant time. An error answers with a body of type
// ErrorBody, whose code is one of the Code constants. A part that an instance
// was built without answers 501.
//
// # Usage
//
//	handler := wasabioperator.New(wasabioperator.Options{
//		Clock:     clock,
//		KeyHashes: func() []string { return hashes },
//		Config:    keeper,
//	})
//	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
//
// A configuration is replaced with its base version as an entity tag:
//
//	PUT /v1/config
//	If-Match: "7"
package wasabioperator

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
)

// maxConfigBytes bounds an uploaded configuration. 40,000 client accounts take
// about a quarter of it.
const maxConfigBytes = 32 << 20

// MetricsWriter writes all metrics as one JSON object. Implementations are
// safe for concurrent use.
type MetricsWriter interface {
	WriteMetrics(w io.Writer) error
}

// Options are the parts that the handlers drive. Clock and KeyHashes must be
// set; any other part may be nil.
type Options struct {
	Clock wasabiridge.Clock
	// KeyHashes returns the hexadecimal SHA-256 hashes of operators' keys that
	// are valid now.
	KeyHashes func() []string
	Config    wasabiridge.ConfigKeeper
	Rollouts  wasabiridge.RolloutKeeper
	Timeline  wasabiridge.TimelineReader
	Outcomes  wasabiridge.OutcomeReader
	Status    wasabiridge.StatusReader
	Drainer   wasabiridge.Drainer
	Metrics   MetricsWriter
	// Quarantine lists requests under which servers ended, and lets them go again.
	Quarantine http.Handler
	Quotas     wasabiridge.QuotaReader
	Log        zerolog.Logger
}

type server struct{ Options }

// New returns the handler of the operators' listener. It is safe for
// concurrent use when its parts are.
func New(o Options) http.Handler {
	s := &server{Options: o}
	r := chi.NewRouter()
	r.Use(s.authenticate)
	r.Get("/v1/config", s.answer("config", o.Config != nil, s.getConfig))
	r.Put("/v1/config", s.answer("config", o.Config != nil, s.putConfig))
	r.Get("/v1/config/history", s.answer("config", o.Config != nil, s.configHistory))
	r.Get("/v1/config/status", s.answer("config", o.Config != nil, s.configStatus))
	r.Post("/v1/rules/explain", s.answer("config", o.Config != nil, s.explainRules))
	r.Get("/v1/accounts", s.answer("config", o.Config != nil, s.accounts))
	r.Get("/v1/timeline", s.answer("timeline", o.Timeline != nil, s.timeline))
	r.Get("/v1/outcomes", s.answer("outcomes", o.Outcomes != nil, s.outcomes))
	r.Get("/v1/quotas", s.answer("quotas", o.Quotas != nil, s.quotas))
	r.Get("/v1/backends", s.answer("status", o.Status != nil, s.backends))
	r.Get("/v1/status", s.answer("status", o.Status != nil, s.status))
	r.Post("/v1/drain", s.answer("drain", o.Drainer != nil, s.drain))
	r.Get("/v1/rollouts", s.answer("rollouts", o.Rollouts != nil, s.listRollouts))
	r.Post("/v1/rollouts", s.answer("rollouts", o.Rollouts != nil, s.startRollout))
	r.Post("/v1/rollouts/{id}/{action}", s.answer("rollouts", o.Rollouts != nil, s.steerRollout))
	r.Get("/metrics", s.metrics)
	if o.Quarantine != nil {
		r.Mount("/v1/quarantine", o.Quarantine)
	}
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, ErrorBody{Code: CodeNotFound, Message: "operator: no such path"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, ErrorBody{Code: CodeInvalid, Message: "operator: method not allowed"})
	})
	return r
}

// operation carries out one request and returns the body of its answer.
type operation func(w http.ResponseWriter, r *http.Request) (any, error)

// answer makes a handler of an operation. A missing part answers 501.
func (s *server) answer(part string, present bool, do operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !present {
			writeMissing(w, part)
			return
		}
		var (
			body any
			err  error
		)
		if body, err = do(w, r); err != nil {
			s.fail(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	}
}

func (s *server) fail(w http.ResponseWriter, r *http.Request, err error) {
	status, body := describeError(err)
	if errorx.IsOfType(err, wasabiridge.ErrConflict) && s.Config != nil {
		body.Theirs = s.newestDocument(r)
	}
	s.Log.Info().Str("path", r.URL.Path).Str("code", string(body.Code)).Msg("Operator request failed.")
	writeError(w, status, body)
}

// newestDocument returns what an operator lost a race against. It is nil when
// it cannot be read.
func (s *server) newestDocument(r *http.Request) *DocumentBody {
	if documents, err := s.Config.History(r.Context(), 1); err == nil && len(documents) > 0 {
		return documentBody(documents[0])
	}
	if document, _ := s.Config.Current(); document.Version != 0 {
		return documentBody(document)
	}
	return nil
}

func (s *server) metrics(w http.ResponseWriter, r *http.Request) {
	if s.Metrics == nil {
		writeMissing(w, "metrics")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := s.Metrics.WriteMetrics(w); err != nil {
		s.Log.Info().Err(err).Msg("Metrics could not be written.")
	}
}

func writeMissing(w http.ResponseWriter, part string) {
	writeError(w, http.StatusNotImplemented, ErrorBody{
		Code:    CodeNotImplemented,
		Message: "operator: this instance was built without its part " + part,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An operator who closed the connection needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, body ErrorBody) {
	writeJSON(w, status, ErrorAnswer{Error: body})
}
