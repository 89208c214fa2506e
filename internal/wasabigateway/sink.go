package wasabigateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

// errAbandoned ends an attempt whose output nobody may see any more.
var errAbandoned = wasabiridge.Errors.NewType("abandoned").New("gateway: attempt was abandoned")

// errOldWeights ends an attempt that older weights answered than the rule
// allows.
var errOldWeights = wasabiridge.Errors.NewType("old_weights").New("gateway: answered by older weights")

var (
	eventStart = []byte("data: ")
	eventEnd   = []byte("\n\n")
	endMarker  = []byte("data: [DONE]\n\n")
)

// head is the beginning of an answer.
type head struct {
	status int
	header http.Header
	// events says that the answer is an engine's event stream, which the
	// router frames itself.
	events bool
}

// sink takes what comes back of one attempt. It holds back everything before
// the first token, so that an attempt that breaks early or loses against a
// hedge leaves nothing behind.
type sink struct {
	exchange *exchange
	ctx      context.Context
	dispatch wasabiridge.Dispatch
	head     head
	// early holds payloads that came before the first token.
	early [][]byte
	// won says that this attempt answers the caller.
	won bool
	// announced says that the decisions know of the first token.
	announced bool
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

// tooOld reports whether an engine says that it answers with weights below
// the lowest version that the rule allows.
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
	if first := s.markEnding(data); !first && tokens == 0 {
		return nil
	}
	if err := s.write(data); err != nil {
		return err
	}
	s.exchange.delivered(tokens)
	s.announce()
	return nil
}

// announce tells the decisions that this attempt answers, once.
func (s *sink) announce() {
	if s.announced {
		return
	}
	s.announced = true
	s.exchange.gateway.options.Loop.Post(wasabiridge.AttemptFirstToken{
		Request: s.dispatch.Request,
		Attempt: s.dispatch.Attempt,
	})
}

// win makes this attempt the one that answers, if no other one is, and hands
// on what was held back.
func (s *sink) win() bool {
	if s.won {
		return true
	}
	if !s.exchange.elect(s) {
		return false
	}
	s.won = true
	return s.release() == nil
}

// release hands on the payloads that were held back. Of those that an engine
// sends again at the start of a resumed stream, such as the role, the caller
// has all but the ending, which may be all that is left of the answer.
func (s *sink) release() error {
	early := s.early
	s.early = nil
	for _, data := range early {
		ending := endingOf(data) != endingNone
		if s.dispatch.ResumeFrom > 0 && !ending {
			continue
		}
		if first := s.markEnding(data); !first {
			continue
		}
		if err := s.write(data); err != nil {
			return err
		}
	}
	return nil
}

// markEnding notes that the caller gets an ending. It reports false when the
// caller has it already, from an attempt that broke right after it.
func (s *sink) markEnding(data []byte) bool {
	if !s.head.events {
		return true
	}
	return s.exchange.markEnding(endingOf(data))
}

func (s *sink) write(data []byte) error {
	if s.head.events {
		return s.exchange.out.write(s.ctx, eventStart, data, eventEnd)
	}
	return s.exchange.out.write(s.ctx, data)
}

// complete hands on what was held back of an answer without a token, or of one
// whose tokens the caller has. It reports false when another attempt answers.
func (s *sink) complete() bool {
	return s.win()
}
