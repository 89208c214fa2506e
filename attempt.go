package wasabiridge

import (
	"context"
	"net/http"
)

// Attempt describes one try of a request at one backend server, with everything that an
// AttemptRunner needs to send it.
type Attempt struct {
	ID      AttemptID
	Request RequestID
	Account ClientAccountID
	Backend BackendServer
	// Pool is the pool of the server.
	Pool   PoolID
	Method string
	// Path is the request path including the query string.
	Path   string
	Header http.Header
	Body   []byte
	Stream bool
	// NonIdempotent forbids the AttemptRunner and its transport to resend the request,
	// on the same or on another connection.
	NonIdempotent bool
	Priority      Priority
	// CacheSalt separates the prefix caches inside an engine. It is derived from the
	// CacheRoot of the request.
	CacheSalt string
	// Weights and Incarnation are the ones that the engine must have. An engine with
	// others refuses the attempt as not run. Zero matches any.
	Weights     WeightsVersion
	Incarnation Incarnation
	// Host is the host name that the caller requested. Empty means that of the backend
	// server's URL.
	Host string
	// Model is the model named in the request.
	Model ModelID
	// Blocks are the hashes of the prompt's cache blocks. An engine that gets them uses
	// the same hashes in its cache events. It may be empty.
	Blocks []BlockHash
	// ResumeFrom is the number of output tokens that the caller already has and that
	// must not be sent again.
	ResumeFrom int
	// LastEvent is the ID of the last stream event that the caller received. A resumed
	// stream continues after it. Empty means from the start.
	LastEvent string
	// ImportFrom is the address, as IP:port, from which the engine may import cached
	// prompt segments, and ExportTo the one to which it may export them. Empty means that
	// it does not import or export.
	ImportFrom string
	ExportTo   string
	// CacheHandle is the handle of an earlier attempt's KV cache that was moved to the
	// engine, which continues from it. Empty means none.
	CacheHandle string
	// MaySend is called right before the first byte is written to a connection. If it
	// returns false, nothing is sent. Nil means always allowed.
	MaySend func() bool
	// Deadline is when the caller stops waiting. Zero means that the caller set no
	// deadline.
	Deadline Millis
}

// Framing is how a response states where its body ends.
type Framing uint8

// Framings of a response. FramingNone means that no response arrived.
const (
	FramingNone Framing = iota
	FramingLength
	FramingChunked
	// FramingClose means that the body ends when the connection is closed. A body that was
	// cut off cannot be distinguished from a complete one by its framing.
	FramingClose
)

var framingNames = [...]string{FramingNone: "", FramingLength: "length", FramingChunked: "chunked", FramingClose: "close"}

// String returns the name of the framing for logs.
func (f Framing) String() string { return framingNames[f] }

// FramingOf returns the framing of a response.
func FramingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramingChunked
	case response.ContentLength >= 0 || response.Request != nil && response.Request.Method == http.MethodHead:
		return FramingLength
	}
	return FramingClose
}

// AttemptSink receives the response to an attempt. Its methods are called by one
// goroutine. An error returned by a method ends the attempt.
type AttemptSink interface {
	// Sent is called before the first byte is written to a connection.
	Sent()
	// Head is called once, with the status and the header of the response.
	Head(status int, h http.Header) error
	// Chunk is called for each payload of an event stream, or for each piece of a
	// response that is not a stream. The end marker of a stream is not passed to it;
	// the result AttemptCompleted says that it arrived. Tokens is the number of output
	// tokens in data, zero when data holds none. The slice is valid only during the
	// call.
	Chunk(tokens int, data []byte) error
}

// BackendProber checks whether backend servers can be reached, and whether they answer. Implementations are safe
// for concurrent use.
type BackendProber interface {
	// Probe opens a connection to a backend server and sends nothing. It reports whether
	// the connection could be opened.
	Probe(ctx context.Context, b BackendServer) bool
	// Ask asks a backend server for an answer that needs none of its capacity, over a new
	// connection. It reports whether any answer arrived.
	Ask(ctx context.Context, b BackendServer) bool
}

// AttemptRunner sends attempts to backend servers. Implementations are safe
// for concurrent use.
type AttemptRunner interface {
	// Run sends an attempt and returns after its end. The result is AttemptCompleted
	// only when the complete response arrived, for a stream including its end marker.
	Run(ctx context.Context, a Attempt, sink AttemptSink) AttemptEnded
}
