package wasabigateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

// errAbandoned ends an attempt whose output must not reach the caller any more.
var errAbandoned = wasabiridge.Errors.NewType("abandoned").New("gateway: attempt was abandoned")

// errOldWeights ends an attempt that was answered with a lower weights version
// than the rule requires.
var errOldWeights = wasabiridge.Errors.NewType("old_weights").New("gateway: answered by older weights")

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	endMarker  = []byte("data: [DONE]\n\n")
)

// head is the status and header of an answer.
type head struct {
	status int
	header http.Header
	// events is set for the event stream of an engine, whose framing the router
	// writes itself.
	events bool
}

// sink receives the output of one attempt. It buffers everything before the
// first token, so that an attempt that breaks early or loses against a hedged
// attempt leaves no output.
type sink struct {
	exchange *exchange
	ctx      context.Context
	dispatch wasabiridge.Dispatch
	head     head
	// early holds the payloads that arrived before the first token.
	early [][]byte
	// won is set when this attempt is the one whose output goes to the caller.
	won bool
	// firstTokenPosted is set once the first token was reported to the decision
	// loop.
	firstTokenPosted bool
}

var _ wasabiridge.AttemptSink = (*sink)(nil)

// Sent implements wasabiridge.AttemptSink.
func (s *sink) Sent() {
	s.exchange.markSent(s.dispatch.Attempt)
	s.exchange.gateway.options.Loop.Post(wasabiridge.AttemptSent{
		Request: s.dispatch.Request,
		Attempt: s.dispatch.Attempt,
	})
}

// Head implements wasabiridge.AttemptSink.
func (s *sink) Head(status int, h http.Header) error {
	if tooOld(h, s.exchange.request.Action.Weights) {
		return errOldWeights
	}
	s.head = head{status: status, header: h}
	s.head.events = s.dispatch.Backend.Kind == wasabiridge.BackendEngine && mediaType(h) == "text/event-stream"
	return s.ctx.Err()
}

// tooOld reports whether the header states a weights version below the lowest
// that the rule allows.
func tooOld(h http.Header, lowest wasabiridge.WeightsVersion) bool {
	got, err := strconv.ParseUint(h.Get(wasabiridge.HeaderWeights), 10, 64)
	return err == nil && wasabiridge.WeightsVersion(got) < lowest
}

// Chunk implements wasabiridge.AttemptSink.
func (s *sink) Chunk(tokens int, data []byte) error {
	if s.ctx.Err() != nil {
		return errAbandoned
	}
	if s.head.events && tokens == 0 && !s.won {
		s.early = append(s.early, append([]byte(nil), data...))
		return nil
	}
	if !s.win() {
		return errAbandoned
	}
	if first := s.markFinalPayload(data); !first && tokens == 0 {
		return nil
	}
	if err := s.write(data); err != nil {
		return err
	}
	s.exchange.delivered(tokens)
	s.postFirstToken()
	return nil
}

// postFirstToken reports the first token to the decision loop, once.
func (s *sink) postFirstToken() {
	if s.firstTokenPosted {
		return
	}
	s.firstTokenPosted = true
	s.exchange.gateway.options.Loop.Post(wasabiridge.AttemptFirstToken{
		Request: s.dispatch.Request,
		Attempt: s.dispatch.Attempt,
	})
}

// win makes this attempt the winner, unless another one is, and passes on its
// buffered payloads.
func (s *sink) win() bool {
	if s.won {
		return true
	}
	if !s.exchange.elect(s) {
		return false
	}
	s.won = true
	return s.flushEarly() == nil
}

// flushEarly passes on the payloads from before the first token. In a resumed
// stream, an engine repeats payloads that the caller already has, such as the
// role. Only final payloads are passed on then, as they may be all that is left
// of the answer.
func (s *sink) flushEarly() error {
	early := s.early
	s.early = nil
	for _, data := range early {
		ending := finalPayloadOf(data) != finalNone
		if s.dispatch.ResumeFrom > 0 && !ending {
			continue
		}
		if first := s.markFinalPayload(data); !first {
			continue
		}
		if err := s.write(data); err != nil {
			return err
		}
	}
	return nil
}

// markFinalPayload records a final payload. It reports false if the caller
// already has it from an earlier attempt that broke right after it.
func (s *sink) markFinalPayload(data []byte) bool {
	if !s.head.events {
		return true
	}
	return s.exchange.markFinalPayload(finalPayloadOf(data))
}

func (s *sink) write(data []byte) error {
	if s.head.events {
		return s.exchange.out.write(s.ctx, eventStart, data, eventEnd)
	}
	return s.exchange.out.write(s.ctx, data)
}

// complete passes on the buffered payloads of an attempt that completed without
// a new token. It reports false if another attempt is the winner.
func (s *sink) complete() bool {
	return s.win()
}
