package wasabirelay

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

var (
	errNotContinued = wasabiridge.Errors.NewType("not_continued").New("relay: the answer does not continue the stream")
	errCallerGone   = wasabiridge.Errors.NewType("caller_gone").New("relay: the caller takes no more")
)

// sink takes what comes back of one attempt, in the goroutine of the request.
type sink struct {
	exchange *exchange
	dispatch wasabiridge.Dispatch
	// silence ends the attempt when no byte comes. Nil when nothing does.
	silence *time.Timer
	// cut ends the attempt.
	cut    context.CancelCauseFunc
	stream bool
	// first says that the first piece of the answer has come.
	first bool
}

var _ wasabiridge.AttemptSink = (*sink)(nil)

// Sent implements wasabiridge.AttemptSink.
func (s *sink) Sent() {
	s.exchange.disposition = s.exchange.disposition.Advance(wasabiridge.MaybeRun)
	s.exchange.relay.options.Loop.Post(wasabiridge.AttemptSent{Request: s.dispatch.Request, Attempt: s.dispatch.Attempt})
}

// Head implements wasabiridge.AttemptSink. The caller gets it only when
// something of the answer is handed on.
func (s *sink) Head(status int, h http.Header) error {
	x := s.exchange
	if s.silence != nil {
		s.silence.Stop()
	}
	s.stream = strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
	if x.began {
		// The stream goes on behind what the caller has; its head stays that
		// of the first answer.
		if status != http.StatusOK || !s.stream {
			return errNotContinued
		}
		return nil
	}
	x.status, x.head, x.held = status, h, nil
	if s.stream {
		// Its length would be that of one run, and the caller may get a stream
		// of two.
		x.head.Del("Content-Length")
	}
	return nil
}

// Chunk implements wasabiridge.AttemptSink.
func (s *sink) Chunk(events int, data []byte) error {
	x := s.exchange
	if x.firstByte == 0 {
		x.firstByte = x.relay.options.Clock.Now()
		x.relay.counts.first(s.stream, x.firstByte-x.arrived)
	}
	if !s.first {
		s.first = true
		if s.stream && x.request.Action.Resume {
			x.relay.running.add(&run{request: x.request, dispatch: s.dispatch, cut: s.cut})
		}
		x.relay.options.Loop.Post(wasabiridge.AttemptFirstToken{Request: s.dispatch.Request, Attempt: s.dispatch.Attempt})
	}
	if !s.stream && len(x.held)+len(data) <= heldBytes && !x.began {
		x.held = append(x.held, data...)
		return nil
	}
	if !x.began {
		x.begin()
		if len(x.held) > 0 {
			data = append(x.held, data...)
			x.held = nil
		}
	}
	if _, err := x.w.Write(data); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errCallerGone
	}
	x.events += events
	if id := x.relay.options.Protocol.LastEvent(data); id != "" {
		x.lastEvent = id
	}
	return nil
}
