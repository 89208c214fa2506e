package wasabiridge

import "net/http"

// CallerRequest is the metadata that a caller sends about its request outside the body,
// for a protocol whose bodies pass through the router unread.
type CallerRequest struct {
	// ID identifies this try of the caller. Callers use a new ID for each try.
	ID RequestID
	// Key is the caller's API key. Empty means that the request has none.
	Key   string
	Model ModelID
	// Blocks and Lengths describe the prompt segments in order: the hash of each
	// segment, which does not cover the segments before it, and its length in tokens.
	Blocks  []BlockHash
	Lengths []int
	// PromptTokens is the length of the complete prompt. MaxTokens limits the output
	// tokens of the response.
	PromptTokens int
	MaxTokens    int
	// Timeout is how long the caller waits for the response. Zero means that the
	// caller set no limit.
	Timeout Millis
	// LastEvent is the ID of the stream event after which the caller resumes. Empty
	// means from the start.
	LastEvent string
	// Resumes is the ID of the caller's request whose response contained the first event
	// of the stream that the caller resumes. Empty means that the caller named none.
	Resumes RequestID
}

// RefusalKind classifies the error responses that the router itself sends to callers.
type RefusalKind string

// Kinds of refusals.
const (
	// RefusalNotRun means that the request was not run and will not be.
	RefusalNotRun RefusalKind = "not_run"
	// RefusalLimited means that the request was not run and will not be, because the
	// client account has used up its limit.
	RefusalLimited RefusalKind = "limited"
	// RefusalBroken means that the request may have run and that its response is lost.
	RefusalBroken RefusalKind = "broken"
	// RefusalTimeout means that the request may have run and that its time-out expired.
	RefusalTimeout RefusalKind = "timeout"
	// RefusalNoRule, RefusalNoKey, RefusalInvalid, RefusalHeaderTooLarge and
	// RefusalBodyTooLarge are errors of the caller.
	RefusalNoRule         RefusalKind = "no_rule"
	RefusalNoKey          RefusalKind = "no_key"
	RefusalInvalid        RefusalKind = "invalid"
	RefusalHeaderTooLarge RefusalKind = "header_too_large"
	RefusalBodyTooLarge   RefusalKind = "body_too_large"
)

// IsNotRun reports whether a refusal of this kind states that the request has not run and will
// not be. An unknown kind does not.
func (k RefusalKind) IsNotRun() bool {
	switch k {
	case RefusalNotRun, RefusalLimited, RefusalNoRule, RefusalNoKey, RefusalInvalid, RefusalHeaderTooLarge, RefusalBodyTooLarge:
		return true
	}
	return false
}

// Refusal is an error response of the router itself. It is an immutable value.
type Refusal struct {
	Kind RefusalKind
	// Reason is the reason in a few words, for the log.
	Reason string
	// RetryAfter is how long the caller should wait before a retry. Zero means that no
	// hint is sent.
	RetryAfter Millis
}

// CallerProtocol reads and writes the protocol of callers whose request bodies pass
// through the router unread. Implementations are safe for concurrent use.
type CallerProtocol interface {
	// Read returns the metadata of a request. It returns ErrInvalid when the request is
	// malformed.
	Read(r *http.Request) (CallerRequest, error)
	// Forward returns the header to send to a backend server. It leaves out the fields
	// that concern the connection to the caller and those that the router sets itself.
	Forward(h http.Header) http.Header
	// Refuse writes an error response.
	Refuse(w http.ResponseWriter, f Refusal)
	// LastEvent returns the ID of the last event that has one in a sequence of complete
	// stream events. It returns the empty string when none has one.
	LastEvent(events []byte) string
}
