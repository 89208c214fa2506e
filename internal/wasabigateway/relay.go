package wasabigateway

import (
	"net/http"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	// writeTimeout bounds how long a caller may take no byte at all. After
	// it the caller counts as gone, so that its engine slot is free again.
	writeTimeout = 60 * time.Second
	// orphanTimeout bounds how long a non-idempotent request goes on after
	// its caller left.
	orphanTimeout = 10 * time.Minute
)

// relay writes the answer of an exchange to its caller. The goroutine of the
// request owns it.
type relay struct {
	*exchange
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	// extended is when the write deadline was last moved.
	extended time.Time
	// gone says that nobody reads the answer any more.
	gone bool
	// over says that the caller has its final answer.
	over bool
	// cut says that the stream ended before its end marker.
	cut bool
	// refused is why the caller got a negative answer.
	refused wasabiridge.RefuseReason
	// kept is the answer to a repeat of a non-idempotent request.
	kept     []byte
	tooLarge bool
	// quota is how the account stood when the request was judged.
	quota wasabiridge.QuotaState
}

func newRelay(x *exchange, w http.ResponseWriter, r *http.Request) *relay {
	l := &relay{exchange: x, w: w, r: r, control: http.NewResponseController(w)}
	x.relay = l
	return l
}

// run carries out what the decisions want until the caller has its final
// answer. A broken answer ends in a panic with http.ErrAbortHandler, which
// breaks the connection: an end that looks clean would pass for a whole
// answer.
func (l *relay) run() {
	deadline := time.NewTimer((l.request.Deadline - l.gateway.options.Clock.Now()).Duration())
	defer deadline.Stop()
	defer l.clearDeadline()
	done := l.r.Context().Done()
	for !l.over {
		select {
		case effect, ok := <-l.box.Effects():
			if !ok {
				l.refuse(refusal(wasabiridge.RefusedBroken, 0))
				break
			}
			l.carryOut(effect)
		case <-l.out.ready:
			l.write()
		case <-deadline.C:
			l.deadlinePassed()
		case <-done:
			done = nil
			l.callerGone()
		}
	}
	if l.cut && !l.gone {
		panic(http.ErrAbortHandler)
	}
}

func (l *relay) carryOut(effect wasabiridge.Effect) {
	switch e := effect.(type) {
	case wasabiridge.Dispatch:
		l.quota = e.Quota
		l.start(e)
	case wasabiridge.Cancel:
		l.cancel(e.Attempt)
	case wasabiridge.Refuse:
		l.advance(e.Disposition)
		if e.Reason == wasabiridge.RefusedQuarantined && l.disposition() != wasabiridge.NotRun {
			// It has ended a server just now, so "not run" would be false.
			e.Reason = wasabiridge.RefusedBroken
		}
		l.refused, l.quota = e.Reason, e.Quota
		l.refuse(refusal(e.Reason, e.RetryAfter))
	}
}

// write hands on what waits for the caller, if it may have it already.
func (l *relay) write() {
	commit, first, finished, broken := l.progress()
	if !commit {
		return
	}
	if first {
		l.writeHead()
		l.dropBody()
	}
	data := l.out.take()
	if finished && l.head.events {
		data = append(data, endMarker...)
	}
	l.writeData(data)
	switch {
	case finished:
		l.over = true
	case broken:
		l.breakOff(refusal(wasabiridge.RefusedBroken, 0))
	}
}

// progress decides whether the caller gets what waits. An answer that is not
// a stream is held back until it is whole or grows too large, so that another
// attempt may still take its place.
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
		l.ledger.advance(wasabiridge.Ran)
	}
	return commit, first, l.finished, l.closed && !l.finished
}

// dropBody lets go of the request's body when no further attempt can follow an
// answer that has begun. Long prompts would otherwise stay in memory for as
// long as their answers stream.
func (l *relay) dropBody() {
	if !l.request.Action.Resume {
		l.call.body = body{}
	}
}

func (l *relay) writeHead() {
	if l.gone {
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

// writeData writes to the caller and keeps what a repeat of a non-idempotent
// request would need.
func (l *relay) writeData(data []byte) {
	l.keep(data)
	if l.gone || len(data) == 0 {
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

// keep remembers the answer of a non-idempotent request, unless it is too
// large. A repeat then learns only that the request may have run.
func (l *relay) keep(data []byte) {
	if !l.request.Action.NonIdempotent || l.tooLarge {
		return
	}
	if l.tooLarge = len(l.kept)+len(data) > l.gateway.options.Limits.AnswerBytes; l.tooLarge {
		l.kept = nil
		return
	}
	l.kept = append(l.kept, data...)
}

// extendDeadline gives the caller time to take what is written next. The
// deadline is moved once in a while only: moving it costs a tenth of a write.
func (l *relay) extendDeadline() {
	now := time.Now()
	if now.Sub(l.extended) < writeTimeout/8 {
		return
	}
	l.extended = now
	// A writer without deadlines is one of a test.
	_ = l.control.SetWriteDeadline(now.Add(writeTimeout))
}

// clearDeadline takes back the write deadline, which would otherwise hit the
// next request on the connection.
func (l *relay) clearDeadline() {
	_ = l.control.SetWriteDeadline(time.Time{})
}

// refuse gives the caller its final negative answer at once.
func (l *relay) refuse(f failure) {
	l.write()
	if l.over {
		return
	}
	l.mu.Lock()
	committed := l.committed
	l.mu.Unlock()
	if committed {
		l.breakOff(f)
		return
	}
	l.stop()
	l.over = true
	if !l.gone {
		setQuota(l.w.Header(), l.quota)
		l.gateway.fail(l.w, l.r, f.withDisposition(l.disposition()))
	}
}

// stop ends all attempts before the answer says what is known of them. An
// attempt that has not sent anything yet could otherwise do so right after
// the caller was told that nothing ran.
func (l *relay) stop() {
	l.close()
	l.cancel(0)
	if l.disposition() == wasabiridge.NotRun {
		l.attempts.Wait()
	}
}

// breakOff ends an answer of which the caller has a part. A stream says why in
// an error event; in all cases the connection breaks, so that the part cannot
// pass for a whole answer.
func (l *relay) breakOff(f failure) {
	l.close()
	l.cancel(0)
	l.over = true
	l.cut = true
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

// callerGone gives the request up. A non-idempotent request that may have run
// goes on without its caller: its answer is kept for the repeat.
func (l *relay) callerGone() {
	if l.gone {
		return
	}
	l.gone = true
	if l.request.Action.NonIdempotent && l.mayAnswer() {
		l.orphan()
		return
	}
	l.over = true
	l.close()
	l.cancel(0)
	l.gateway.options.Loop.Post(wasabiridge.CallerGone{Request: l.request.ID})
	l.gateway.options.Log.Debug().Str(wasabilog.RequestField, string(l.call.id)).Msg("Caller left.")
}

// mayAnswer reports whether an attempt runs or has just finished. A caller may
// leave between the end of the attempt and the moment its answer is taken from
// the outlet; giving up then would keep an empty answer for the repeat.
func (l *relay) mayAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.finished || len(l.running) > 0
}

// orphan bounds the life of attempts whose caller left.
func (l *relay) orphan() {
	timer := time.AfterFunc(orphanTimeout, func() { l.cancel(0) })
	go func() {
		l.attempts.Wait()
		timer.Stop()
	}()
}

// deadlinePassed ends the wait for the first byte. A non-idempotent request
// that may have run is not cancelled: its caller is told so at once, and a
// repeat with the same key gets the answer when there is one.
func (l *relay) deadlinePassed() {
	l.mu.Lock()
	waiting := !l.committed && !l.finished && l.firstToken == 0
	l.mu.Unlock()
	if !waiting || !l.hasRunning() || l.answersWhole() {
		return
	}
	if !l.request.Action.NonIdempotent {
		l.cancel(0)
		return
	}
	// The connection stays busy until the attempt ends, so that the caller
	// must not wait on it with its next request.
	f := refusal(wasabiridge.RefusedDeadline, 0).withDisposition(l.disposition()).withClose()
	l.gateway.fail(l.w, l.r, f)
	_ = l.control.Flush()
	l.gone = true
	l.orphan()
}

// answersWhole reports whether the first byte comes only with the whole
// answer, as it does from an engine without streaming. Its wait cannot be told
// from its work.
func (l *relay) answersWhole() bool {
	return isCompletion(l.r) && !l.request.Stream
}

// answer returns what a repeat of the request gets.
func (l *relay) answer() wasabiridge.Answer {
	return wasabiridge.Answer{
		Status:      l.head.status,
		ContentType: l.head.header.Get("Content-Type"),
		Body:        l.kept,
	}
}

// advance moves the disposition forward.
func (x *exchange) advance(d wasabiridge.Disposition) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ledger.advance(d)
}
