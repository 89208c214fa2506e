package wasabioperator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

const (
	// defaultHistory and maxHistory are the default and the upper bound of the
	// number of configurations in the history.
	defaultHistory = 20
	maxHistory     = 1000
	// maxTimeline bounds the number of events of a timeline query.
	maxTimeline = 100_000
	// maxSmallBody bounds, in bytes, the request bodies that are not configurations.
	maxSmallBody = 1 << 20
)

func (s *server) getConfig(w http.ResponseWriter, _ *http.Request) (any, error) {
	document, _ := s.Config.Current()
	if document.Version == 0 {
		return nil, wasabiridge.ErrNotFound.New("operator: this instance has no configuration")
	}
	w.Header().Set("ETag", FormatTag(document.Version))
	return documentBody(document), nil
}

func (s *server) putConfig(w http.ResponseWriter, r *http.Request) (any, error) {
	var (
		base    wasabiridge.ConfigVersion
		text    []byte
		version wasabiridge.ConfigVersion
		err     error
	)
	if base, err = ParseTag(r.Header.Get("If-Match")); err != nil {
		return nil, err
	}
	if text, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes)); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "operator: read configuration from request body")
	}
	if version, err = s.Config.Put(r.Context(), base, text, author(r)); err != nil {
		return nil, err
	}
	s.Log.Info().Uint64("version", uint64(version)).Str("author", author(r)).Msg("Configuration accepted.")
	w.Header().Set("ETag", FormatTag(version))
	return VersionBody{Version: version}, nil
}

// FormatTag formats a configuration version as an entity tag.
func FormatTag(v wasabiridge.ConfigVersion) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

// ParseTag parses the base version of a change from an If-Match header. The base
// version of the first configuration is "0". It returns ErrInvalid for an empty tag
// and for a tag that is no version.
func ParseTag(tag string) (wasabiridge.ConfigVersion, error) {
	if tag == "" {
		return 0, wasabiridge.ErrInvalid.New("operator: If-Match is missing; send the base version, such as If-Match: \"7\"")
	}
	var (
		version uint64
		err     error
	)
	if version, err = strconv.ParseUint(strings.Trim(tag, `"`), 10, 64); err != nil {
		return 0, wasabiridge.ErrInvalid.New("operator: If-Match is not a configuration version: %q", tag)
	}
	return wasabiridge.ConfigVersion(version), nil
}

func (s *server) configHistory(_ http.ResponseWriter, r *http.Request) (any, error) {
	var (
		limit     int
		documents []wasabiridge.ConfigDocument
		err       error
	)
	if limit, err = intParameter(r, "limit", defaultHistory, maxHistory); err != nil {
		return nil, err
	}
	if documents, err = s.Config.History(r.Context(), limit); err != nil {
		return nil, err
	}
	body := HistoryBody{Documents: []DocumentBody{}}
	for _, d := range documents {
		body.Documents = append(body.Documents, *documentBody(d))
	}
	return body, nil
}

func (s *server) configStatus(_ http.ResponseWriter, r *http.Request) (any, error) {
	var (
		instances []wasabiridge.InstanceConfig
		err       error
	)
	if instances, err = s.Config.Status(r.Context()); err != nil {
		return nil, err
	}
	document, _ := s.Config.Current()
	return ConfigStatusBody{Version: document.Version, Instances: instances}, nil
}

func (s *server) explainRules(w http.ResponseWriter, r *http.Request) (any, error) {
	var q ExplainRequest
	if err := readJSON(w, r, &q); err != nil {
		return nil, err
	}
	document, cfg := s.Config.Current()
	if document.Version == 0 {
		return nil, wasabiridge.ErrNotFound.New("operator: this instance has no configuration")
	}
	return Explain(cfg, q), nil
}

// Explain returns which rule of a configuration applies to a request, and for each
// rule why it matches or not.
func Explain(cfg wasabiridge.Config, q ExplainRequest) ExplainResponse {
	view := wasabirule.RequestView{
		Account: q.Account, Method: q.Method, Path: q.Path, Model: q.Model,
		PromptTokens: q.PromptTokens, Header: headersOf(q.Headers),
	}
	body := ExplainResponse{Version: cfg.Version, Lines: wasabirule.Explain(cfg, view)}
	account, known := cfg.Account(q.Account)
	if !known {
		body.Notes = append(body.Notes, "the client account "+string(q.Account)+" is not in the configuration: its requests are refused before any rule is evaluated")
	}
	rule, matched := wasabirule.Match(cfg, view)
	if !matched {
		body.Notes = append(body.Notes, "no rule matches: the request is refused as not run")
		return body
	}
	body.Rule, body.Then = rule.ID, &rule.Then
	if known && rule.Then.Pool != "" && !account.MayUse(rule.Then.Pool) {
		body.Notes = append(body.Notes, "the account may not use pool "+string(rule.Then.Pool)+": the request is refused as not run")
	}
	return body
}

func headersOf(values map[string]string) func(string) []string {
	header := http.Header{}
	for name, value := range values {
		header.Set(name, value)
	}
	return header.Values
}

func (s *server) quotas(http.ResponseWriter, *http.Request) (any, error) {
	return s.Quotas.Quotas(), nil
}

func (s *server) shares(http.ResponseWriter, *http.Request) (any, error) {
	return s.Shares.Shares(), nil
}

func (s *server) accounts(http.ResponseWriter, *http.Request) (any, error) {
	document, cfg := s.Config.Current()
	body := AccountsBody{Version: document.Version, Accounts: []AccountBody{}}
	for _, a := range cfg.Accounts {
		body.Accounts = append(body.Accounts, AccountBody{ID: a.ID, Pools: a.Pools, Share: a.Share, Keys: len(a.KeyHashes)})
	}
	return body, nil
}

func (s *server) timeline(_ http.ResponseWriter, r *http.Request) (any, error) {
	values := r.URL.Query()
	q := wasabiridge.TimelineQuery{
		Request: wasabiridge.RequestID(values.Get("request")),
		Account: wasabiridge.ClientAccountID(values.Get("account")),
		Backend: wasabiridge.BackendServerID(values.Get("backend")),
	}
	var err error
	if q.Since, err = ParseTime(values.Get("since"), s.Clock.Now()); err != nil {
		return nil, err
	}
	if q.Until, err = ParseTime(values.Get("until"), s.Clock.Now()); err != nil {
		return nil, err
	}
	if q.Limit, err = intParameter(r, "limit", 0, maxTimeline); err != nil {
		return nil, err
	}
	return s.Timeline.ReadTimeline(r.Context(), q)
}

// ParseTime parses a point in time: a duration such as "5m" before now,
// milliseconds since the epoch, or RFC 3339. It returns zero for an empty text and
// ErrInvalid for any other format.
func ParseTime(text string, now wasabiridge.Millis) (wasabiridge.Millis, error) {
	if text == "" {
		return 0, nil
	}
	if millis, err := strconv.ParseInt(text, 10, 64); err == nil && millis >= 0 {
		return wasabiridge.Millis(millis), nil
	}
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return now - wasabiridge.MillisOf(ago), nil
	}
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return wasabiridge.MillisAt(at), nil
	}
	return 0, wasabiridge.ErrInvalid.New("operator: %q is not a time; use a duration such as 5m, milliseconds since the epoch or 2026-12-02T15:04:05Z", text)
}

func (s *server) outcomes(_ http.ResponseWriter, r *http.Request) (any, error) {
	return s.Outcomes.ReadOutcomes(r.Context(), wasabiridge.OutcomeQuery{
		Quarter: r.URL.Query().Get("quarter"),
		Account: wasabiridge.ClientAccountID(r.URL.Query().Get("account")),
	})
}

func (s *server) backends(http.ResponseWriter, *http.Request) (any, error) {
	return BackendsBody{Backends: append([]wasabiridge.BackendStatus{}, s.Status.Backends()...)}, nil
}

func (s *server) status(http.ResponseWriter, *http.Request) (any, error) {
	return s.Status.Status(), nil
}

func (s *server) drain(_ http.ResponseWriter, r *http.Request) (any, error) {
	s.Log.Info().Str("author", author(r)).Msg("Drain requested.")
	if err := s.Drainer.Drain(r.Context()); err != nil {
		return nil, err
	}
	return DrainBody{Leaving: true}, nil
}

func (s *server) listRollouts(_ http.ResponseWriter, r *http.Request) (any, error) {
	var (
		rollouts []wasabiridge.Rollout
		err      error
	)
	if rollouts, err = s.Rollouts.List(r.Context()); err != nil {
		return nil, err
	}
	return RolloutsBody{Rollouts: append([]wasabiridge.Rollout{}, rollouts...)}, nil
}

func (s *server) startRollout(w http.ResponseWriter, r *http.Request) (any, error) {
	var rollout wasabiridge.Rollout
	if err := readJSON(w, r, &rollout); err != nil {
		return nil, err
	}
	return s.Rollouts.Start(r.Context(), rollout)
}

func (s *server) controlRollout(_ http.ResponseWriter, r *http.Request) (any, error) {
	action := chi.URLParam(r, "action")
	switch action {
	case "pause", "resume", "rollback":
		return s.Rollouts.Apply(r.Context(), chi.URLParam(r, "id"), action)
	default:
		return nil, wasabiridge.ErrInvalid.New("operator: unknown rollout action %q; use pause, resume or rollback", action)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSmallBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "operator: decode request body")
	}
	return nil
}

func intParameter(r *http.Request, name string, fallback, limit int) (int, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	var (
		value int
		err   error
	)
	if value, err = strconv.Atoi(text); err != nil || value < 0 || value > limit {
		return 0, wasabiridge.ErrInvalid.New("operator: %s must be an integer between 0 and %d", name, limit)
	}
	return value, nil
}
