package wasabigateway

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// finishTimeout bounds the time to record the result of a claimed request.
	// After a time-out the outcome of the claim is unknown, as after a crash.
	finishTimeout = 30 * wasabiridge.Second
)

// claimTicket is the claim under which a request runs. The zero value belongs
// to a request that needs no claim.
type claimTicket struct {
	query   wasabiridge.ClaimQuery
	granted bool
}

// claim acquires the claim of a non-idempotent request. If it is not granted,
// claim answers the caller and returns false.
func (g *Gateway) claim(w http.ResponseWriter, r *http.Request, request wasabiridge.Request) (claimTicket, bool) {
	key := r.Header.Get(IdempotencyKeyHeader)
	switch {
	case g.options.Claimer == nil:
		g.fail(w, r, failNoClaimer)
		return claimTicket{}, false
	case key == "" || len(key) > maxKeyBytes:
		g.fail(w, r, failNoClaimKey)
		return claimTicket{}, false
	}
	q := wasabiridge.ClaimQuery{
		Account:     request.Account,
		Key:         key,
		Request:     request.ID,
		Holder:      g.options.Instance,
		Incarnation: g.options.Incarnation,
		Digest:      digest(r, callOf(r).body.raw),
	}
	ctx, cancel := context.WithTimeout(r.Context(), (request.Deadline - request.Arrived).Duration())
	defer cancel()
	outcome, err := g.options.Claimer.Claim(ctx, q)
	if err != nil {
		g.options.Log.Warn().Err(err).Str(wasabilog.RequestField, string(request.ID)).Msg("Claim failed.")
		outcome.State = wasabiridge.ClaimUnavailable
	}
	if outcome.State == wasabiridge.ClaimGranted {
		return claimTicket{query: q, granted: true}, true
	}
	g.answerClaim(w, r, outcome)
	return claimTicket{}, false
}

// digest hashes what must be equal for two requests with the same idempotency
// key to be the same request: method, URI and body.
func digest(r *http.Request, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Method)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(r.URL.RequestURI())
	_, _ = d.WriteString("\n")
	_, _ = d.Write(body)
	return d.Sum64()
}

// claimFailures maps each state of a claim that was not granted to the answer
// for the caller. Their dispositions describe the earlier request with the same
// key.
var claimFailures = map[wasabiridge.ClaimState]failure{
	wasabiridge.ClaimRunning:     {status: http.StatusConflict, kind: typeConflict, code: "still_running", message: "A request with this Idempotency-Key is still running.", disposition: wasabiridge.MaybeRun, retryAfter: defaultRetryAfter},
	wasabiridge.ClaimUnknown:     {status: http.StatusConflict, kind: typeConflict, code: "outcome_unknown", message: "A request with this Idempotency-Key may have run; its outcome is not known. It is not run again.", disposition: wasabiridge.MaybeRun},
	wasabiridge.ClaimMismatch:    {status: http.StatusUnprocessableEntity, kind: typeInvalid, code: "idempotency_key_reused", message: "This Idempotency-Key was used for another request."},
	wasabiridge.ClaimUnavailable: failNoClaimer,
}

func (g *Gateway) answerClaim(w http.ResponseWriter, r *http.Request, outcome wasabiridge.ClaimOutcome) {
	if outcome.State != wasabiridge.ClaimAnswered {
		g.fail(w, r, claimFailures[outcome.State])
		return
	}
	h := w.Header()
	if outcome.Answer.ContentType != "" {
		h.Set("Content-Type", outcome.Answer.ContentType)
	}
	h.Set(DispositionHeader, wasabiridge.Ran.String())
	h.Set(ReplayedHeader, "true")
	w.WriteHeader(outcome.Answer.Status)
	_, _ = w.Write(outcome.Answer.Body)
}

// finishClaim waits for the last attempt of a claimed request and records the
// result. It runs in the background, after the caller was answered.
func (g *Gateway) finishClaim(x *exchange, t claimTicket) {
	x.attempts.Wait()
	result := wasabiridge.ClaimResult{Query: t.query, Disposition: x.disposition()}
	if x.finished && !x.relay.replayTooLarge {
		result.Answer = x.relay.answer()
	} else if result.Disposition == wasabiridge.Ran {
		// A partial answer cannot be replayed to a repeated request.
		result.Disposition = wasabiridge.MaybeRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout.Duration())
	defer cancel()
	if err := g.options.Claimer.Finish(ctx, result); err != nil {
		g.options.Log.Warn().Err(err).Str(wasabilog.RequestField, string(t.query.Request)).Msg("The result of a claim could not be recorded.")
	}
}
