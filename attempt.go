package wasabiridge

import (
	"context"
	"net/http"
)

// Attempt is one try of a request at one backend server, with all that has to
// be sent.
type Attempt struct {
	ID      AttemptID
	Request RequestID
	Account ClientAccountID
	Backend BackendServer
	Method  string
	// Path is the path with its query.
	Path   string
	Header http.Header
	Body   []byte
	Stream bool
	// NonIdempotent forbids every repetition below the caller of the
	// AttemptRunner, on whatever connection.
	NonIdempotent bool
	Priority      Priority
	// CacheSalt separates prefix caches inside an engine. It is derived from
	// the CacheRoot of the request.
	CacheSalt string
	// Weights and Incarnation must be the engine's own; an engine that
	// differs refuses as not run. Zero matches any.
	Weights     WeightsVersion
	Incarnation Incarnation
	// Host is the host that the caller asked for. Empty means the server's own.
	Host string
	// Model is the model that the request asks for.
	Model ModelID
	// Blocks names the prompt's cache blocks to an engine, so that its cache
	// events speak of the same blocks. They may be left out.
	Blocks []BlockHash
	// ResumeFrom counts output tokens that must not be sent again.
	ResumeFrom int
	// LastEvent is the identifier of the last event that the caller has. A
	// resumed stream goes on behind it. Empty means from the start.
	LastEvent string
	// FetchFrom and SaveTo are addresses, as IP:port, of where the engine may
	// import cached parts of the prompt from and export them to. Empty means
	// neither.
	FetchFrom string
	SaveTo    string
	// MemoryFrom names the memory of an earlier attempt that was moved to the
	// engine, which goes on from it. Empty means none.
	MemoryFrom string
	// MaySend is asked right before the first byte is handed to a connection.
	// When it reports false nothing is sent. Nil always allows it.
	MaySend func() bool
	// Until is when the caller stops waiting. Zero means that it did not say.
	Until Millis
}

// AttemptSink takes what comes back of an attempt. Its methods are called by
// one goroutine. An error returned by a method ends the attempt.
type AttemptSink interface {
	// Sent is called before the first byte is handed to a connection.
	Sent()
	// Head is called once, with the status and the header of the answer.
	Head(status int, h http.Header) error
	// Chunk is called for each payload of an event stream, or for each piece
	// of an answer that is not a stream. The end marker of a stream is not
	// handed over: AttemptCompleted stands for it. Tokens counts the output tokens in
	// data; it is zero when data holds none. The slice is valid during the
	// call only.
	Chunk(tokens int, data []byte) error
}

// AttemptRunner sends attempts to backend servers. Implementations are safe
// for concurrent use.
type AttemptRunner interface {
	// Run carries out an attempt and returns after its end. The result is
	// AttemptCompleted only when the whole answer arrived; for a stream that
	// includes its end marker.
	Run(ctx context.Context, a Attempt, sink AttemptSink) AttemptEnded
}
