package wasabiengine

import (
	"net/http"
)

// FaultPoint is a place in an answer at which an engine can fail.
type FaultPoint uint8

// Points of failure, in the order of an answer.
const (
	// BeforeHeaders is after the request was read.
	BeforeHeaders FaultPoint = iota
	// AfterHeaders is before the first token.
	AfterHeaders
	// AtToken is before the token whose number is in Fault.Token.
	AtToken
	// BeforeEndMarker is after the last token.
	BeforeEndMarker
)

// FaultManner is the way in which an engine fails.
type FaultManner uint8

// Manners of failing.
const (
	// Abort cuts the connection.
	Abort FaultManner = iota
	// CleanEnd ends the answer as if it were whole, without an end marker.
	CleanEnd
	// BrokenChunking writes bytes that are not a valid HTTP chunk.
	BrokenChunking
	// OversizeLine writes one event line of 4 MiB.
	OversizeLine
	// Stall writes nothing more until the caller gives up.
	Stall
)

// Fault is one failure that an engine is to have. It is used up when it
// strikes.
type Fault struct {
	Point  FaultPoint
	Manner FaultManner
	// Token counts output tokens of the whole answer, for AtToken.
	Token int
}

const oversizeBytes = 4 << 20

// Inject adds failures. Each answer takes at most the first one that waits.
func (e *Engine) Inject(f ...Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = append(e.faults, f...)
}

// takeFault hands the first waiting failure to an answer.
func (e *Engine) takeFault() *Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return nil
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return &f
}

// strikes reports whether the failure is due at this point.
func (f *Fault) strikes(p FaultPoint, token int) bool {
	return f != nil && f.Point == p && (p != AtToken || f.Token == token)
}

// perform carries the failure out. Only CleanEnd returns.
func (f *Fault) perform(w http.ResponseWriter, r *http.Request) {
	switch f.Manner {
	case CleanEnd:
		return
	case Stall:
		<-r.Context().Done()
	case OversizeLine:
		line := make([]byte, oversizeBytes)
		for i := range line {
			line[i] = 'x'
		}
		_, _ = w.Write([]byte("data: "))
		_, _ = w.Write(line)
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
