// Package wasabioperator implements the HTTP API for operators: configuration,
// rules, accounts, backend servers, the timeline, outcomes, rollouts and draining.
//
// Requests and responses are JSON. Every request carries an operator's key as
// "Authorization: Bearer KEY". The instance holds only SHA-256 hashes of keys, and
// compares them in constant time. An error response has a body of type ErrorResponse,
// whose code is one of the Code constants. Requests for a component that the
// instance was built without are answered with status 501.
//
// # Usage
//
//	handler := wasabioperator.New(wasabioperator.Options{
//		Clock:     clock,
//		KeyHashes: func() []string { return hashes },
//		Config:    controller,
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

// maxConfigBytes bounds an uploaded configuration. One with 40,000 client accounts
// takes about a quarter of it.
const maxConfigBytes = 32 << 20

// MetricsWriter writes all metrics as one JSON object. Implementations are
// safe for concurrent use.
type MetricsWriter interface {
	WriteMetrics(w io.Writer) error
}

// Options are the components behind the handlers. Clock and KeyHashes are required;
// requests for a component that is nil are answered with status 501.
type Options struct {
	Clock wasabiridge.Clock
	// KeyHashes returns the hexadecimal SHA-256 hashes of the operators' keys that
	// are valid now. It must be safe for concurrent use.
	KeyHashes func() []string
	Config    wasabiridge.ConfigController
	Rollouts  wasabiridge.RolloutController
	Timeline  wasabiridge.TimelineReader
	Outcomes  wasabiridge.OutcomeReader
	Status    wasabiridge.StatusReader
	Drainer   wasabiridge.Drainer
	Metrics   MetricsWriter
	// Quarantine lists the requests that are suspected of crashing backend servers,
	// and lifts blocks. With nil its path does not exist.
	Quarantine http.Handler
	Quotas     wasabiridge.QuotaReader
	Shares     wasabiridge.ShareReader
	Log        zerolog.Logger
}

type server struct{ Options }

// New returns the handler of the operators' listener. It is safe for concurrent
// use if the components of the options are.
func New(o Options) http.Handler {
	s := &server{Options: o}
	r := chi.NewRouter()
	r.Use(s.authenticate)
	r.Get("/v1/config", s.handle("config", o.Config != nil, s.getConfig))
	r.Put("/v1/config", s.handle("config", o.Config != nil, s.putConfig))
	r.Get("/v1/config/history", s.handle("config", o.Config != nil, s.configHistory))
	r.Get("/v1/config/status", s.handle("config", o.Config != nil, s.configStatus))
	r.Post("/v1/rules/explain", s.handle("config", o.Config != nil, s.explainRules))
	r.Get("/v1/accounts", s.handle("config", o.Config != nil, s.accounts))
	r.Get("/v1/timeline", s.handle("timeline", o.Timeline != nil, s.timeline))
	r.Get("/v1/outcomes", s.handle("outcomes", o.Outcomes != nil, s.outcomes))
	r.Get("/v1/quotas", s.handle("quotas", o.Quotas != nil, s.quotas))
	r.Get("/v1/shares", s.handle("shares", o.Shares != nil, s.shares))
	r.Get("/v1/backends", s.handle("status", o.Status != nil, s.backends))
	r.Get("/v1/status", s.handle("status", o.Status != nil, s.status))
	r.Post("/v1/drain", s.handle("drain", o.Drainer != nil, s.drain))
	r.Get("/v1/rollouts", s.handle("rollouts", o.Rollouts != nil, s.listRollouts))
	r.Post("/v1/rollouts", s.handle("rollouts", o.Rollouts != nil, s.startRollout))
	r.Post("/v1/rollouts/{id}/{action}", s.handle("rollouts", o.Rollouts != nil, s.controlRollout))
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

// operation executes one request and returns the body of its response.
type operation func(w http.ResponseWriter, r *http.Request) (any, error)

// handle returns the handler of an operation. When the component is not present it
// responds with status 501.
func (s *server) handle(component string, present bool, execute operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !present {
			writeMissing(w, component)
			return
		}
		var (
			body any
			err  error
		)
		if body, err = execute(w, r); err != nil {
			s.writeFailure(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	}
}

func (s *server) writeFailure(w http.ResponseWriter, r *http.Request, err error) {
	status, body := describeError(err)
	if errorx.IsOfType(err, wasabiridge.ErrConflict) && s.Config != nil {
		body.ConflictingConfig = s.newestDocument(r)
	}
	s.Log.Info().Str("path", r.URL.Path).Str("code", string(body.Code)).Msg("Operator request failed.")
	writeError(w, status, body)
}

// newestDocument returns the newest configuration for an operator whose change
// conflicts with it: from the history, or the active one if the history cannot be
// read. It returns nil when there is none.
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
		s.Log.Info().Err(err).Msg("Writing metrics failed.")
	}
}

func writeMissing(w http.ResponseWriter, component string) {
	writeError(w, http.StatusNotImplemented, ErrorBody{
		Code:    CodeNotImplemented,
		Message: "operator: this instance was built without the component " + component,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only when the client closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, body ErrorBody) {
	writeJSON(w, status, ErrorResponse{Error: body})
}
