package wasabiserver

import (
	"bytes"
	"net/http"
	"sync"
)

// FaultPoint is the point in an answer at which a fault occurs.
type FaultPoint uint8

// Points in an answer, in the order in which they are reached.
const (
	// BeforeHeaders is after the request was read and run, before the header of
	// the answer is sent.
	BeforeHeaders FaultPoint = iota
	// AfterHeaders is after the header, before the first token or byte of the
	// body.
	AfterHeaders
	// AtToken is before the token with the index Fault.Token.
	AtToken
	// BeforeEndMarker is after the last token, before the end marker of a stream.
	BeforeEndMarker
)

// FaultKind is the kind of a fault.
type FaultKind uint8

// Kinds of faults.
const (
	// Abort closes the connection without finishing the answer.
	Abort FaultKind = iota
	// TruncatedEnd ends the truncated answer as if it were complete.
	TruncatedEnd
	// BrokenChunking writes bytes that are not a valid HTTP chunk.
	BrokenChunking
	// OversizeLine writes one event line of 4 MiB.
	OversizeLine
	// Stall writes nothing more until the caller closes the connection.
	Stall
)

const oversizeBytes = 4 << 20

// Fault is an injected fault in one answer. It is an immutable value.
type Fault struct {
	Point FaultPoint
	Kind  FaultKind
	// Token is the index of the output token before which an AtToken fault
	// occurs, counted from zero at the start of the complete answer.
	Token int
}

// OccursAt reports whether the fault occurs at a point of the answer; token is the
// index of the next token and only used with AtToken. A nil fault never occurs.
func (f *Fault) OccursAt(p FaultPoint, token int) bool {
	return f != nil && f.Point == p && (p != AtToken || f.Token == token)
}

// Execute executes the fault in an HTTP handler. It returns only for TruncatedEnd,
// after which the handler must return; for the other kinds it panics with
// http.ErrAbortHandler to abort the handler.
func (f *Fault) Execute(w http.ResponseWriter, r *http.Request) {
	switch f.Kind {
	case TruncatedEnd:
		return
	case Stall:
		<-r.Context().Done()
	case OversizeLine:
		_, _ = w.Write([]byte("data: "))
		_, _ = w.Write(bytes.Repeat([]byte{'x'}, oversizeBytes))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	case BrokenChunking:
		breakChunking(w)
	}
	panic(http.ErrAbortHandler)
}

// breakChunking hijacks the connection and writes a chunk size that is not a
// hexadecimal number.
func breakChunking(w http.ResponseWriter) {
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	conn, buffer, err := controller.Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString("not-a-size\r\ndata: {}\r\n")
	_ = buffer.Flush()
	_ = conn.Close()
}

// Faults is a queue of faults for the next answers. It is safe for concurrent
// use. The zero value is empty.
type Faults struct {
	mu    sync.Mutex
	queue []Fault
}

// Inject adds faults to the end of the queue. Each answer takes at most one.
func (l *Faults) Inject(f ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, f...)
}

// Next removes and returns the first fault of the queue, or nil if it is empty.
func (l *Faults) Next() *Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return nil
	}
	f := l.queue[0]
	l.queue = l.queue[1:]
	return &f
}
