package wasabiserver

import (
	"bytes"
	"net/http"
	"sync"
)

// Point is a place in an answer at which a stand-in can fail.
type Point uint8

// Points of failure, in the order of an answer.
const (
	// BeforeHeaders is after the request was read and run.
	BeforeHeaders Point = iota
	// AfterHeaders is before the first token or byte of the answer.
	AfterHeaders
	// AtToken is before the token whose number is in Fault.Token.
	AtToken
	// BeforeEndMarker is after the last token.
	BeforeEndMarker
)

// Manner is the way in which a stand-in fails.
type Manner uint8

// Manners of failing.
const (
	// Abort cuts the connection.
	Abort Manner = iota
	// CleanEnd ends the answer as if it were whole.
	CleanEnd
	// BrokenChunking writes bytes that are not a valid HTTP chunk.
	BrokenChunking
	// OversizeLine writes one event line of 4 MiB.
	OversizeLine
	// Stall writes nothing more until the caller gives up.
	Stall
)

const oversizeBytes = 4 << 20

// Fault is one failure of one answer. It is an immutable value.
type Fault struct {
	Point  Point
	Manner Manner
	// Token counts output tokens of the whole answer, for AtToken.
	Token int
}

// Strikes reports whether the failure is due at this point. A nil fault never
// strikes.
func (f *Fault) Strikes(p Point, token int) bool {
	return f != nil && f.Point == p && (p != AtToken || f.Token == token)
}

// Perform carries the failure out. It returns only for CleanEnd; for the
// others it aborts the handler that calls it.
func (f *Fault) Perform(w http.ResponseWriter, r *http.Request) {
	switch f.Manner {
	case CleanEnd:
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

// breakChunking takes the connection over and writes a chunk size that is no
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

// Faults is a list of failures that wait for answers. It is safe for
// concurrent use. The zero value is empty.
type Faults struct {
	mu      sync.Mutex
	waiting []Fault
}

// Inject adds failures. Each answer takes at most the first one that waits.
func (l *Faults) Inject(f ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting = append(l.waiting, f...)
}

// Take hands the first waiting failure to an answer, or nil.
func (l *Faults) Take() *Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		return nil
	}
	f := l.waiting[0]
	l.waiting = l.waiting[1:]
	return &f
}
