package wasabipeer

import (
	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

const (
	// maxEnds bounds the server crashes in one record, and maxEpoch how often a
	// record may have been cleared.
	maxEnds  = 64
	maxEpoch = 1 << 24
)

func encodeCrash(c wasabiridge.CrashUpdate) *pb.CrashNews {
	out := &pb.CrashNews{Fingerprint: uint64(c.Fingerprint), Part: c.Part, Account: string(c.Account), Model: string(c.Model), Epoch: c.Epoch}
	for _, e := range c.Crashes {
		out.Ends = append(out.Ends, &pb.ServerEnd{
			Backend: string(e.Backend), Incarnation: uint64(e.Incarnation), RanMs: uint64(max(e.RunTime, 0)),
			Weights: uint64(e.Weights), AgeMs: uint64(max(e.Age, 0)),
		})
	}
	return out
}

// decodeCrash validates the record of a request during which servers crashed. A
// record with a higher epoch supersedes all others, so an implausibly high
// epoch is rejected: no instance could ever clear it.
func decodeCrash(in *pb.CrashNews) (wasabiridge.CrashUpdate, error) {
	out := wasabiridge.CrashUpdate{
		Fingerprint: wasabiridge.Fingerprint(in.GetFingerprint()), Part: in.GetPart(), Account: wasabiridge.ClientAccountID(in.GetAccount()),
		Model: wasabiridge.ModelID(in.GetModel()), Epoch: in.GetEpoch(),
	}
	if out.Fingerprint == 0 || len(in.GetEnds()) > maxEnds || out.Epoch > maxEpoch {
		return out, wasabiridge.ErrInvalid.New("peer: crash record without a fingerprint or beyond its bounds")
	}
	for _, e := range in.GetEnds() {
		if e.GetBackend() == "" {
			return out, wasabiridge.ErrInvalid.New("peer: crash record names no backend server")
		}
		out.Crashes = append(out.Crashes, wasabiridge.ServerCrash{
			Backend: wasabiridge.BackendServerID(e.GetBackend()), Incarnation: wasabiridge.Incarnation(e.GetIncarnation()),
			RunTime: wasabiridge.Millis(min(e.GetRanMs(), uint64(wasabiridge.Day))), Weights: wasabiridge.WeightsVersion(e.GetWeights()),
			Age: wasabiridge.Millis(min(e.GetAgeMs(), uint64(wasabiridge.Day))),
		})
	}
	return out, nil
}
