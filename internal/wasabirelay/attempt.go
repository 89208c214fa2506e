package wasabirelay

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// runAttempt runs an attempt and passes its result to the decider. It reports whether
// the request has ended.
func (x *exchange) runAttempt(d wasabiridge.Dispatch) bool {
	if x.mayForward(d) && (x.forward() || x.refuseIsolated()) {
		x.withdraw(d)
		return true
	}
	if x.refuseLate() {
		x.withdraw(d)
		return true
	}
	x.attempts++
	x.backend = d.Backend.ID
	x.logPlaced(d)
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	s := &sink{exchange: x, dispatch: d, cancel: cancel}
	if d.FirstByte > 0 {
		s.firstByteTimer = time.AfterFunc(d.FirstByte.Duration(), func() { cancel(errFirstByteTimeout) })
		defer s.firstByteTimer.Stop()
	}
	before, started := x.disposition, x.relay.options.Clock.Now()
	end := wasabiridge.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Backend: d.Backend.ID, Result: wasabiridge.AttemptNotRun}
	if (!x.request.Action.NonIdempotent || before == wasabiridge.NotRun) && x.announceOrigin(d) {
		end = x.relay.options.Runner.Run(ctx, x.attempt(d), s)
	}
	end.Unsent = !s.sent
	x.framing, x.partialEvent, x.response = end.Framing, end.PartialEvent, end.Response
	if end.Malformed.Cause != "" && x.malformed.Cause == "" {
		x.malformed, x.malformedAt = end.Malformed, d.Backend.ID
	}
	x.takeMove(d, &end)
	if end.Framing != wasabiridge.FramingNone {
		x.relay.counts.addEnd(end.Framing.String(), end.Result.String())
	}
	x.logFailed(end, started, s.gotChunk)
	if end.Result == wasabiridge.AttemptNotRun {
		x.disposition = before
	} else {
		x.possibleRuns++
	}
	completed := end.Result == wasabiridge.AttemptCompleted
	if completed {
		x.disposition = wasabiridge.Ran
		x.relay.durations.add(x.rule.ID, x.relay.options.Clock.Now()-started)
	}
	end.ServerError = completed && x.status >= http.StatusInternalServerError
	if completed && x.mayImprove(d) {
		// Another server may still answer successfully. Keep this answer buffered.
		end.Result, end.Failed = wasabiridge.AttemptBroken, true
		completed = false
	} else if !completed && !x.headSent {
		// Discard the buffered part of an incomplete answer.
		x.status, x.head = 0, nil
		x.discardBuffered()
	}
	x.relay.options.Loop.Post(end)
	switch {
	case completed:
		x.finish()
		return true
	case x.ctx.Err() != nil:
		x.contextDone()
		return true
	}
	return false
}

// withdraw ends a request at the decider that was answered without the attempt of a dispatch.
func (x *exchange) withdraw(d wasabiridge.Dispatch) {
	x.relay.options.Loop.Post(wasabiridge.RequestForwarded{Request: d.Request})
	x.relay.options.Loop.Post(wasabiridge.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Backend: d.Backend.ID, Result: wasabiridge.AttemptNotRun, Unsent: true})
}

// refuseIsolated refuses a request that no instance has a path for. It reports whether it did.
func (x *exchange) refuseIsolated() bool {
	switch {
	case !x.isIsolated():
		return false
	case x.disposition == wasabiridge.NotRun:
		x.refuse(*x.notRun(reasonNoPath))
	default:
		x.refuse(wasabiridge.Refusal{Kind: wasabiridge.RefusalBroken, Reason: reasonNoPath})
	}
	return true
}

// mayImprove reports whether the buffered answer is a server error (status 500 or
// above) and the rule allows another attempt, which may succeed.
func (x *exchange) mayImprove(d wasabiridge.Dispatch) bool {
	return !x.headSent && x.status >= http.StatusInternalServerError && x.request.Action.Retry && x.attempts < x.request.Action.Attempts && !d.Hedge
}

// attempt returns the attempt for a dispatch, as the runner takes it.
func (x *exchange) attempt(d wasabiridge.Dispatch) wasabiridge.Attempt {
	a := wasabiridge.Attempt{
		ID: d.Attempt, Request: d.Request, Account: x.request.Account, Backend: d.Backend, Pool: d.Pool,
		Method: x.r.Method, Path: wasabirule.TargetOf(x.r), Header: x.header, Body: x.body, Host: x.r.Host, Model: x.request.Model,
		Stream: x.request.Stream, NonIdempotent: x.request.Action.NonIdempotent, Priority: x.request.Action.Priority,
		Weights: d.Weights, ResumeFrom: d.ResumeFrom, LastEvent: x.lastEvent,
		ImportFrom: d.ImportFrom, ExportTo: d.ExportTo, CacheHandle: d.CacheHandle, Deadline: x.until,
	}
	a.MaySend = func() bool { return x.maySend(d) }
	if x.request.Model != "" {
		root := x.request.Chain.Root
		root.Weights = d.Weights
		a.CacheSalt = wasabiprefix.ShortSalt(root)
	}
	return a
}

// maySend reports whether an attempt may still be sent. Since it was placed, the key may
// have been revoked, the server may have stated that it wants no requests, or too little may be
// left of a shutdown. An answer
// whose KV cache was moved to the server continues there all the same.
func (x *exchange) maySend(d wasabiridge.Dispatch) bool {
	if x.account.ID != "" && !x.keyInForce() {
		return false
	}
	if !x.headSent && x.endsTooLate() {
		return false
	}
	accepts := x.relay.options.Accepts
	return accepts == nil || d.Why == wasabiridge.WhyMoved || accepts(d.Backend)
}
