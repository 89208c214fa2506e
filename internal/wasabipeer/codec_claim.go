package wasabipeer

import (
	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

func encodeClaimQuery(q wasabiridge.ClaimQuery) *pb.ClaimQuery {
	return &pb.ClaimQuery{
		Account:     string(q.Account),
		Key:         q.Key,
		Request:     string(q.Request),
		Holder:      string(q.Holder),
		Incarnation: uint64(q.Incarnation),
		Digest:      q.Digest,
	}
}

func decodeClaimQuery(q *pb.ClaimQuery) (wasabiridge.ClaimQuery, error) {
	if q.GetKey() == "" || q.GetHolder() == "" || q.GetRequest() == "" {
		return wasabiridge.ClaimQuery{}, wasabiridge.ErrInvalid.New("peer: claim without a key, request or holder")
	}
	return wasabiridge.ClaimQuery{
		Account:     wasabiridge.ClientAccountID(q.Account),
		Key:         q.Key,
		Request:     wasabiridge.RequestID(q.Request),
		Holder:      wasabiridge.InstanceID(q.Holder),
		Incarnation: wasabiridge.Incarnation(q.Incarnation),
		Digest:      q.Digest,
	}, nil
}

func encodeAnswer(a wasabiridge.Answer) *pb.Answer {
	return &pb.Answer{Status: int64(a.Status), ContentType: a.ContentType, Body: a.Body}
}

func decodeAnswer(a *pb.Answer) wasabiridge.Answer {
	return wasabiridge.Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}
}

func encodeOutcome(o wasabiridge.ClaimOutcome) (*pb.ClaimOutcome, error) {
	out := &pb.ClaimOutcome{}
	switch o.State {
	case wasabiridge.ClaimGranted:
		out.State = pb.ClaimState_CLAIM_STATE_GRANTED
	case wasabiridge.ClaimRunning:
		out.State = pb.ClaimState_CLAIM_STATE_RUNNING
	case wasabiridge.ClaimAnswered:
		out.State = pb.ClaimState_CLAIM_STATE_ANSWERED
		out.Answer = encodeAnswer(o.Answer)
	case wasabiridge.ClaimUnknown:
		out.State = pb.ClaimState_CLAIM_STATE_UNKNOWN
	case wasabiridge.ClaimMismatch:
		out.State = pb.ClaimState_CLAIM_STATE_MISMATCH
	case wasabiridge.ClaimUnavailable:
		out.State = pb.ClaimState_CLAIM_STATE_UNAVAILABLE
	default:
		return nil, wasabiridge.ErrInvalid.New("peer: unknown claim state %d", o.State)
	}
	return out, nil
}

// decodeOutcome never decodes a damaged message, or one of a newer version, as
// a granted claim: a claim that is granted by mistake lets a request run twice.
func decodeOutcome(o *pb.ClaimOutcome) (wasabiridge.ClaimOutcome, error) {
	out := wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnknown}
	switch o.GetState() {
	case pb.ClaimState_CLAIM_STATE_GRANTED:
		out.State = wasabiridge.ClaimGranted
	case pb.ClaimState_CLAIM_STATE_RUNNING:
		out.State = wasabiridge.ClaimRunning
	case pb.ClaimState_CLAIM_STATE_ANSWERED:
		if o.Answer == nil {
			return out, wasabiridge.ErrInvalid.New("peer: claim in state answered has no answer")
		}
		out.State = wasabiridge.ClaimAnswered
		out.Answer = decodeAnswer(o.Answer)
	case pb.ClaimState_CLAIM_STATE_UNKNOWN:
	case pb.ClaimState_CLAIM_STATE_MISMATCH:
		out.State = wasabiridge.ClaimMismatch
	case pb.ClaimState_CLAIM_STATE_UNAVAILABLE:
		out.State = wasabiridge.ClaimUnavailable
	default:
		return out, wasabiridge.ErrInvalid.New("peer: unknown claim state %d", o.GetState())
	}
	return out, nil
}

func encodeResult(r wasabiridge.ClaimResult) *pb.ClaimResult {
	out := &pb.ClaimResult{Query: encodeClaimQuery(r.Query), Answer: encodeAnswer(r.Answer)}
	switch r.Disposition {
	case wasabiridge.NotRun:
		out.Disposition = pb.Disposition_DISPOSITION_NOT_RUN
	case wasabiridge.Ran:
		out.Disposition = pb.Disposition_DISPOSITION_RAN
	default:
		out.Disposition = pb.Disposition_DISPOSITION_MAYBE_RUN
	}
	return out
}

// decodeResult decodes every disposition other than "not run" and "ran" as
// "maybe run", so that a claim is never released by mistake.
func decodeResult(r *pb.ClaimResult) (wasabiridge.ClaimResult, error) {
	out := wasabiridge.ClaimResult{Disposition: wasabiridge.MaybeRun, Answer: decodeAnswer(r.GetAnswer())}
	var err error
	if out.Query, err = decodeClaimQuery(r.GetQuery()); err != nil {
		return wasabiridge.ClaimResult{}, err
	}
	switch r.GetDisposition() {
	case pb.Disposition_DISPOSITION_NOT_RUN:
		out.Disposition = wasabiridge.NotRun
	case pb.Disposition_DISPOSITION_RAN:
		out.Disposition = wasabiridge.Ran
	}
	return out, nil
}
