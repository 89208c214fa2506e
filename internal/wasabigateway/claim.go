package wasabigateway

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	// maxKeyBytes bounds a caller's idempotency key.
	maxKeyBytes = 255
	// finishTimeout bounds how long the end of a claimed request may take to
	// record. The claim is then as unknown as it would be after a crash.
	finishTimeout = 30 * wasabiridge.Second
)

// claimTicket is the right to run a request once. The zero value is that of a
// request that needs none.
type claimTicket struct {
	query   wasabiridge.ClaimQuery
	granted bool
}

// claim asks for the right to run a non-idempotent request. When it is not
// granted the caller gets its answer here.
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

// digest covers everything that makes two requests the same.
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

// claimFailures tells how each state of a claim that was not granted looks to
// a caller. What ran or may have run is the earlier request with the key.
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

// finishClaim records how a claimed request ended, after its last attempt. It
// does not hold up the caller, who has its answer already.
func (g *Gateway) finishClaim(x *exchange, t claimTicket) {
	x.attempts.Wait()
	result := wasabiridge.ClaimResult{Query: t.query, Disposition: x.disposition()}
	if x.finished && !x.relay.tooLarge {
		result.Answer = x.relay.answer()
	} else if result.Disposition == wasabiridge.Ran {
		// A part of an answer is none to repeat.
		result.Disposition = wasabiridge.MaybeRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout.Duration())
	defer cancel()
	if err := g.options.Claimer.Finish(ctx, result); err != nil {
		g.options.Log.Warn().Err(err).Str(wasabilog.RequestField, string(t.query.Request)).Msg("Claim not finished.")
	}
}
