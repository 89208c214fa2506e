package wasabirelay

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabievent"
)

var (
	errNotContinued = wasabiridge.Errors.NewType("not_continued").New("relay: answer of the backend server does not continue the event stream")
	errCallerGone   = wasabiridge.Errors.NewType("caller_gone").New("relay: write to the caller failed")
)

// sink receives the answer of one attempt. It is called in the goroutine of the
// request.
type sink struct {
	exchange *exchange
	dispatch wasabiridge.Dispatch
	// firstByteTimer cancels the attempt if its first byte is late. Nil means no limit.
	firstByteTimer *time.Timer
	// cancel cancels the attempt.
	cancel context.CancelCauseFunc
	stream bool
	// sent is set when a byte of the request is about to be written.
	sent bool
	// gotChunk is set when the first chunk of the body has been received.
	gotChunk bool
	// run is set while the answer is a stream that may be moved.
	run *run
}

var _ wasabiridge.AttemptSink = (*sink)(nil)

// Sent implements wasabiridge.AttemptSink.
func (s *sink) Sent() {
	s.sent = true
	s.exchange.disposition = s.exchange.disposition.Advance(wasabiridge.MaybeRun)
	s.exchange.relay.options.Loop.Post(wasabiridge.AttemptSent{Request: s.dispatch.Request, Attempt: s.dispatch.Attempt})
}

// Head implements wasabiridge.AttemptSink. The head is sent to the caller only
// together with the first part of the body.
func (s *sink) Head(status int, h http.Header) error {
	x := s.exchange
	if s.firstByteTimer != nil {
		s.firstByteTimer.Stop()
	}
	s.stream = wasabievent.IsStream(h)
	if x.headSent {
		// This answer continues a stream whose head the caller already has.
		if status != http.StatusOK || !s.stream {
			return errNotContinued
		}
		return nil
	}
	x.status, x.head = status, h
	x.discardBuffered()
	if s.stream {
		// The length is that of this answer only, but the stream may be
		// continued by the answer of another attempt.
		x.head.Del("Content-Length")
	}
	return nil
}

// Chunk implements wasabiridge.AttemptSink.
func (s *sink) Chunk(events int, data []byte) error {
	x := s.exchange
	x.countFirstByte(s.stream)
	if !s.gotChunk {
		if s.stream && x.headSent {
			// In the middle of a stream the mark would be a part of the first line.
			data = wasabievent.TrimMark(data)
		}
		s.gotChunk = true
		if s.stream {
			x.noteContinuation(s.dispatch.Backend)
		}
		if s.stream && x.request.Action.Resume {
			s.run = &run{request: x.request, dispatch: s.dispatch, cancel: s.cancel}
			x.relay.running.add(s.run)
		}
		x.relay.options.Loop.Post(wasabiridge.AttemptFirstToken{Request: s.dispatch.Request, Attempt: s.dispatch.Attempt})
	}
	if s.run != nil {
		s.run.chunks.Add(1)
	}
	if err := x.deliver(s.stream, data); err != nil {
		return err
	}
	x.events += events
	if id := x.relay.options.Protocol.LastEvent(data); id != "" {
		x.lastEvent = id
	}
	return nil
}

// countFirstByte records when the first byte of an answer arrived.
func (x *exchange) countFirstByte(stream bool) {
	if x.firstByte == 0 {
		x.firstByte = x.relay.options.Clock.Now()
		x.relay.counts.addFirstByte(stream, x.firstByte-x.arrived)
	}
}

// deliver sends a piece of the answer to the caller. Small answers that are no streams are
// buffered until they are complete.
func (x *exchange) deliver(stream bool, data []byte) error {
	if !stream && len(x.buffered)+len(data) <= maxBufferedBytes && !x.headSent && x.held.Reserve(int64(len(data))) {
		x.buffered = append(x.buffered, data...)
		return nil
	}
	if !x.headSent {
		x.sendHead()
		if len(x.buffered) > 0 {
			data = append(x.buffered, data...)
			x.discardBuffered()
		}
	}
	x.held.Begin()
	defer x.held.End()
	if _, err := x.w.Write(data); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errCallerGone
	}
	return nil
}
