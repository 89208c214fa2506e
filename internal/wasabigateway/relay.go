package wasabigateway

import (
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilistener"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	// writeTimeout bounds how long the caller may accept no data at all. The
	// caller then counts as gone, which frees the slot of its engine.
	writeTimeout = 60 * time.Second
	// orphanTimeout bounds how long a non-idempotent request continues after
	// its caller has left.
	orphanTimeout = 10 * time.Minute
)

// relay writes the answer of an exchange to its caller. Only the request's
// goroutine uses it.
type relay struct {
	*exchange
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	// deadlineSet is when the write deadline was last set.
	deadlineSet time.Time
	// outputDiscarded is set once nothing more is written to the caller: it has
	// left, or was answered at the deadline while the attempt continues.
	outputDiscarded bool
	// ended is set once the answer to the caller is final.
	ended bool
	// truncated is set when the answer ended after it had begun and before it
	// was complete.
	truncated bool
	// refused is the reason of the refusal that the caller received.
	refused wasabiridge.RefuseReason
	// replayBody is the answer body for repeats of a non-idempotent request.
	replayBody     []byte
	replayTooLarge bool
	// quota is the state of the account's quota when the request was decided.
	quota wasabiridge.QuotaState
}

func newRelay(x *exchange, w http.ResponseWriter, r *http.Request) *relay {
	l := &relay{exchange: x, w: w, r: r, control: http.NewResponseController(w)}
	x.relay = l
	return l
}

// run applies the effects of the decision loop until the answer is final. After
// a truncated answer it panics with http.ErrAbortHandler, which aborts the
// connection: after a clean end, the caller would take the answer for complete.
func (l *relay) run() {
	deadline := time.NewTimer((l.request.Deadline - l.gateway.options.Clock.Now()).Duration())
	defer deadline.Stop()
	defer l.clearDeadline()
	done := l.r.Context().Done()
	for !l.ended {
		select {
		case effect, ok := <-l.mailbox.Effects():
			if !ok {
				l.refuse(refusal(wasabiridge.RefusedBroken, 0))
				break
			}
			l.apply(effect)
		case <-l.out.hasData:
			l.writePending()
		case <-deadline.C:
			l.deadlinePassed()
		case <-done:
			done = nil
			l.callerGone()
		}
	}
	if l.truncated && !l.outputDiscarded {
		wasabilistener.Abort(l.w, l.r)
	}
}

func (l *relay) apply(effect wasabiridge.Effect) {
	switch e := effect.(type) {
	case wasabiridge.Dispatch:
		l.quota = e.Quota
		l.start(e)
	case wasabiridge.Cancel:
		l.cancel(e.Attempt)
	case wasabiridge.Refuse:
		l.advance(e.Disposition)
		if e.Reason == wasabiridge.RefusedQuarantined && l.disposition() != wasabiridge.NotRun {
			// The request has just ended a server, so "not run" would be false.
			e.Reason = wasabiridge.RefusedBroken
		}
		l.refused, l.quota = e.Reason, e.Quota
		l.refuse(refusal(e.Reason, e.RetryAfter))
	}
}

// writePending writes the buffered output to the caller once the answer may be
// committed.
func (l *relay) writePending() {
	commit, first, finished, broken := l.progress()
	if !commit {
		return
	}
	if first {
		l.writeHead()
		l.dropBody()
	}
	data := l.out.takeAll()
	if finished && l.head.events {
		data = append(data, endMarker...)
	}
	l.writeData(data)
	switch {
	case finished:
		l.ended = true
	case broken:
		l.truncate(refusal(wasabiridge.RefusedBroken, 0))
	}
}

// progress decides whether buffered output may be written. An answer that is
// not an event stream is held back until it is complete or fills half of the
// buffer, so that another attempt can still replace it.
func (l *relay) progress() (commit, first, finished, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.winner == 0 && !l.committed {
		return false, false, false, false
	}
	commit = l.committed || l.finished || l.head.status != 0 && (mediaType(l.head.header) == "text/event-stream" || 2*l.out.size() >= l.out.limit)
	first = commit && !l.committed
	if first {
		l.committed = true
		l.execution.advance(wasabiridge.Ran)
	}
	return commit, first, l.finished, l.closed && !l.finished
}

// dropBody releases the request body once the answer has begun and no further
// attempt can follow. Long prompts would otherwise stay in memory while their
// answers stream.
func (l *relay) dropBody() {
	if !l.request.Action.Resume {
		l.call.body = body{}
	}
}

func (l *relay) writeHead() {
	if l.outputDiscarded {
		return
	}
	h := l.w.Header()
	for name, values := range l.head.header {
		h[name] = values
	}
	for _, name := range [...]string{wasabiridge.HeaderDisposition, wasabiridge.HeaderWeights, wasabiridge.HeaderIncarnation, wasabiridge.HeaderResumedFrom} {
		h.Del(name)
	}
	h.Set(RequestIDHeader, string(l.call.id))
	h.Set(DispositionHeader, l.disposition().String())
	setQuota(h, l.quota)
	l.w.WriteHeader(l.head.status)
}

// writeData writes to the caller and records the data for repeats of a
// non-idempotent request.
func (l *relay) writeData(data []byte) {
	l.recordReplay(data)
	if l.outputDiscarded || len(data) == 0 {
		return
	}
	l.extendDeadline()
	_, err := l.w.Write(data)
	if err == nil {
		err = l.control.Flush()
	}
	if err != nil {
		l.callerGone()
	}
}

// recordReplay records the answer of a non-idempotent request for repeats. If
// the answer is too large, it is dropped and a repeat is answered that the
// request may have run.
func (l *relay) recordReplay(data []byte) {
	if !l.request.Action.NonIdempotent || l.replayTooLarge {
		return
	}
	if l.replayTooLarge = len(l.replayBody)+len(data) > l.gateway.options.Limits.AnswerBytes; l.replayTooLarge {
		l.replayBody = nil
		return
	}
	l.replayBody = append(l.replayBody, data...)
}

// extendDeadline sets the write deadline for the next write. It does so only
// once in a while, because setting it costs a tenth of a write.
func (l *relay) extendDeadline() {
	now := time.Now()
	if now.Sub(l.deadlineSet) < writeTimeout/8 {
		return
	}
	l.deadlineSet = now
	// Test response writers do not support deadlines, so the error is ignored.
	_ = l.control.SetWriteDeadline(now.Add(writeTimeout))
}

// clearDeadline removes the write deadline, which would otherwise apply to the
// next request on the connection.
func (l *relay) clearDeadline() {
	_ = l.control.SetWriteDeadline(time.Time{})
}

// refuse ends the request with an error answer, or truncates an answer that has
// begun.
func (l *relay) refuse(f failure) {
	l.writePending()
	if l.ended {
		return
	}
	l.mu.Lock()
	committed := l.committed
	l.mu.Unlock()
	if committed {
		l.truncate(f)
		return
	}
	l.stopAttempts()
	l.ended = true
	if !l.outputDiscarded {
		setQuota(l.w.Header(), l.quota)
		l.gateway.fail(l.w, l.r, f.withDisposition(l.disposition()))
	}
}

// stopAttempts cancels all attempts before the disposition is reported. If
// nothing was sent yet, it waits for them to end: otherwise an attempt could
// still send after the caller received "not run".
func (l *relay) stopAttempts() {
	l.close()
	l.cancel(0)
	if l.disposition() == wasabiridge.NotRun {
		l.attempts.Wait()
	}
}

// truncate ends an answer that was partly written. A stream gets an error event
// with the reason. In every case the connection is aborted, so that the caller
// cannot take the answer for complete.
func (l *relay) truncate(f failure) {
	l.close()
	l.cancel(0)
	l.ended = true
	l.truncated = true
	f = f.withDisposition(l.disposition())
	f.code = "stream_cut"
	f.message = "The answer is not whole: the backend server failed."
	l.gateway.log(l.call, f)
	if !l.head.events {
		return
	}
	event := append([]byte("event: error\ndata: "), f.encode()...)
	l.writeData(append(event, eventEnd...))
}

// callerGone handles the loss of the caller's connection. A non-idempotent
// request that may have run continues, and its answer is recorded for a repeat;
// any other request is cancelled.
func (l *relay) callerGone() {
	if l.outputDiscarded {
		return
	}
	l.outputDiscarded = true
	if l.request.Action.NonIdempotent && l.hasAttemptOrAnswer() {
		l.orphan()
		return
	}
	l.ended = true
	l.close()
	l.cancel(0)
	l.gateway.options.Loop.Post(wasabiridge.CallerGone{Request: l.request.ID})
	l.gateway.options.Log.Debug().Str(wasabilog.RequestField, string(l.call.id)).Msg("Caller left.")
}

// hasAttemptOrAnswer reports whether an attempt is running or has just
// completed. The caller may leave after the attempt has ended and before its
// answer is taken from the output buffer; giving up at that moment would record
// an empty answer for the repeat.
func (l *relay) hasAttemptOrAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished || len(l.running) > 0
}

// orphan bounds the duration of attempts that continue without their caller.
func (l *relay) orphan() {
	timer := time.AfterFunc(orphanTimeout, func() { l.cancel(0) })
	go func() {
		l.attempts.Wait()
		timer.Stop()
	}()
}

// deadlinePassed cancels the attempts if no output has arrived by the deadline
// of the request. A non-idempotent request that may have run is not cancelled:
// the caller receives an error at once, and a repeat with the same idempotency
// key gets the answer when it is available.
func (l *relay) deadlinePassed() {
	l.mu.Lock()
	waiting := !l.committed && !l.finished && l.firstToken == 0
	l.mu.Unlock()
	if !waiting || !l.hasRunning() || l.isUnstreamedCompletion() {
		return
	}
	if !l.request.Action.NonIdempotent {
		l.cancel(0)
		return
	}
	// The connection stays busy until the attempt ends. Closing it keeps the
	// caller from sending its next request on it and waiting.
	f := refusal(wasabiridge.RefusedDeadline, 0).withDisposition(l.disposition()).withClose()
	l.gateway.fail(l.w, l.r, f)
	_ = l.control.Flush()
	l.outputDiscarded = true
	l.orphan()
}

// isUnstreamedCompletion reports whether the request is a completion without
// streaming. Its first byte arrives with the complete answer, so waiting for
// the server cannot be told from generation, and the deadline does not apply.
func (l *relay) isUnstreamedCompletion() bool {
	return isCompletion(l.r) && !l.request.Stream
}

// answer returns the recorded answer for repeats of the request.
func (l *relay) answer() wasabiridge.Answer {
	return wasabiridge.Answer{
		Status:      l.head.status,
		ContentType: l.head.header.Get("Content-Type"),
		Body:        l.replayBody,
	}
}

// advance advances the disposition of the request.
func (x *exchange) advance(d wasabiridge.Disposition) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.execution.advance(d)
}
