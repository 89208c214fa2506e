package wasabiridge

import (
	"context"
	"net/http"
)

// ForwardedRequest is a request of a caller that an instance passes on to another one,
// because it has no path to the backend servers itself. It is passed on once at most.
type ForwardedRequest struct {
	// From is the instance that received the request from the caller.
	From InstanceID
	// Config is the version of the configuration by which that instance accepted it.
	Config ConfigVersion
	// Attempts is the number of backend servers that may still run the request. Zero
	// means as many as its rule allows.
	Attempts int
	Method   string
	Host     string
	// Target is the path including the query string.
	Target string
	// Header is the caller's header with the key.
	Header http.Header
	Body   []byte
	// Timeout is the time left for the answer.
	Timeout Millis
}

// ForwardResult is how a forwarded request ended.
type ForwardResult struct {
	// Result is AttemptCompleted if a complete answer of a backend server was passed to
	// the sink. With AttemptNotRun the request has not run and never will.
	Result AttemptResult
	// Refusal is the error response of the other instance, if that is its answer.
	Refusal Refusal
	// Declined reports that the other instance cannot serve the request and that a
	// further one may. The result is AttemptNotRun then.
	Declined bool
	// Reason is why there is no answer, in a few words, for the log.
	Reason string
}

// ForwardSink receives the answer to a forwarded request. An error returned by a method
// ends the request.
type ForwardSink interface {
	// Head is called once, with the status and the header of a backend server's answer.
	Head(status int, h http.Header) error
	// Chunk is called for each piece of the body. The slice is valid only during the
	// call.
	Chunk(data []byte) error
}

// Forwarder passes requests on to other instances. Implementations are safe for
// concurrent use.
type Forwarder interface {
	// Forward sends a request to the instance at a peer address. It sends it at most
	// once. It returns after the answer has ended or the context has.
	Forward(ctx context.Context, address string, r ForwardedRequest, sink ForwardSink) ForwardResult
}

// ForwardHandler serves the requests that other instances pass on. Implementations are
// safe for concurrent use.
type ForwardHandler interface {
	HandleForward(ctx context.Context, r ForwardedRequest, sink ForwardSink) ForwardResult
}
