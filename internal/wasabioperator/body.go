package wasabioperator

import (
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// Code identifies the kind of an error to programs.
type Code string

// Codes of errors.
const (
	CodeInvalid        Code = "invalid"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeUnavailable    Code = "unavailable"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeNotImplemented Code = "not_implemented"
	CodeInternal       Code = "internal"
)

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes an error.
type ErrorBody struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// ConflictingConfig is the newest configuration when the error is a conflict: another
	// operator changed it first.
	ConflictingConfig *DocumentBody `json:"theirs,omitempty"`
}

// DocumentBody is a configuration as it was accepted.
type DocumentBody struct {
	Version wasabiridge.ConfigVersion `json:"version"`
	Author  string                    `json:"author"`
	At      wasabiridge.Millis        `json:"at_ms"`
	// Text is JSON with comments, as the operator wrote it.
	Text string `json:"text"`
}

// HistoryBody lists accepted configurations, newest first.
type HistoryBody struct {
	Documents []DocumentBody `json:"documents"`
}

// VersionBody is the response to an accepted configuration.
type VersionBody struct {
	Version wasabiridge.ConfigVersion `json:"version"`
}

// ConfigStatusBody lists the active configuration version of each instance.
type ConfigStatusBody struct {
	// Version is the active one at the responding instance.
	Version   wasabiridge.ConfigVersion    `json:"version"`
	Instances []wasabiridge.InstanceConfig `json:"instances"`
}

// ExplainRequest describes a request whose matching rule is queried.
type ExplainRequest struct {
	Account wasabiridge.ClientAccountID `json:"account"`
	Method  string                      `json:"method"`
	Path    string                      `json:"path"`
	Model   wasabiridge.ModelID         `json:"model,omitempty"`
	// Headers holds one value for each header.
	Headers      map[string]string `json:"headers,omitempty"`
	PromptTokens int               `json:"prompt_tokens,omitempty"`
}

// ExplainResponse explains which rule applies to a request.
type ExplainResponse struct {
	Version wasabiridge.ConfigVersion `json:"version"`
	// Rule is the first rule that matches. Empty means that no rule matches
	// and the request is refused.
	Rule  wasabiridge.RuleID       `json:"rule,omitempty"`
	Then  *wasabiridge.Action      `json:"then,omitempty"`
	Lines []wasabirule.Explanation `json:"lines"`
	// Notes list further reasons why the request is refused, such as a pool that
	// the account may not use.
	Notes []string `json:"notes,omitempty"`
}

// AccountBody describes a client account. Keys is the number of its keys.
type AccountBody struct {
	ID    wasabiridge.ClientAccountID `json:"id"`
	Pools []wasabiridge.PoolID        `json:"pools"`
	Share float64                     `json:"share"`
	Keys  int                         `json:"keys"`
}

// AccountsBody lists the client accounts of the active configuration.
type AccountsBody struct {
	Version  wasabiridge.ConfigVersion `json:"version"`
	Accounts []AccountBody             `json:"accounts"`
}

// BackendsBody lists the backend servers with their state at the responding
// instance.
type BackendsBody struct {
	Backends []wasabiridge.BackendStatus `json:"backends"`
}

// RolloutsBody lists rollouts.
type RolloutsBody struct {
	Rollouts []wasabiridge.Rollout `json:"rollouts"`
}

// DrainBody is the response to a drain request.
type DrainBody struct {
	Leaving bool `json:"leaving"`
}

func documentBody(d wasabiridge.ConfigDocument) *DocumentBody {
	return &DocumentBody{Version: d.Version, Author: d.Author, At: d.At, Text: string(d.Text)}
}

// errorKind maps an error type to its code and HTTP status.
type errorKind struct {
	is     *errorx.Type
	code   Code
	status int
}

var errorKinds = []errorKind{
	{wasabiridge.ErrInvalid, CodeInvalid, http.StatusBadRequest},
	{wasabiridge.ErrNotFound, CodeNotFound, http.StatusNotFound},
	{wasabiridge.ErrConflict, CodeConflict, http.StatusConflict},
	{wasabiridge.ErrUnavailable, CodeUnavailable, http.StatusServiceUnavailable},
	{wasabiridge.ErrOutcomeUnknown, CodeOutcomeUnknown, http.StatusGatewayTimeout},
}

func describeError(err error) (int, ErrorBody) {
	for _, k := range errorKinds {
		if errorx.IsOfType(err, k.is) {
			return k.status, ErrorBody{Code: k.code, Message: messageOf(err)}
		}
	}
	return http.StatusInternalServerError, ErrorBody{Code: CodeInternal, Message: err.Error()}
}

// messageOf returns an error's message without the name of its type, which
// ErrorBody.Code already conveys.
func messageOf(err error) string {
	if typed := errorx.Cast(err); typed != nil && typed.Message() != "" {
		if cause := typed.Cause(); cause != nil {
			return typed.Message() + ": " + messageOf(cause)
		}
		return typed.Message()
	}
	return err.Error()
}
