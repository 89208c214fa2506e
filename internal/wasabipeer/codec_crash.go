package wasabipeer

import (
	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

const (
	// maxEnds bounds the ends of one mark, maxGeneration how many of them may have
	// followed each other, maxEpoch how often a mark may have been cleared.
	maxEnds       = 64
	maxGeneration = 1 << 16
	maxEpoch      = 1 << 24
)

func encodeCrash(c wasabiridge.CrashNews) *pb.CrashNews {
	out := &pb.CrashNews{Fingerprint: uint64(c.Fingerprint), Account: string(c.Account), Model: string(c.Model), Epoch: c.Epoch}
	for _, e := range c.Ends {
		out.Ends = append(out.Ends, &pb.ServerEnd{
			Backend: string(e.Backend), Incarnation: uint64(e.Incarnation), Generation: uint32(min(max(e.Generation, 0), maxGeneration)),
			Weights: uint64(e.Weights), AgeMs: uint64(max(e.Age, 0)),
		})
	}
	return out
}

// decodeCrash takes what an instance says of a request. An epoch or a generation beyond
// all reason would outlast what all others know, so it is turned down.
func decodeCrash(in *pb.CrashNews) (wasabiridge.CrashNews, error) {
	out := wasabiridge.CrashNews{
		Fingerprint: wasabiridge.Fingerprint(in.GetFingerprint()), Account: wasabiridge.ClientAccountID(in.GetAccount()),
		Model: wasabiridge.ModelID(in.GetModel()), Epoch: in.GetEpoch(),
	}
	if out.Fingerprint == 0 || len(in.GetEnds()) > maxEnds || out.Epoch > maxEpoch {
		return out, wasabiridge.ErrInvalid.New("peer: news of ended servers exceed their bounds")
	}
	for _, e := range in.GetEnds() {
		if e.GetBackend() == "" || e.GetGeneration() > maxGeneration {
			return out, wasabiridge.ErrInvalid.New("peer: an end names no server, or more than can have followed each other")
		}
		out.Ends = append(out.Ends, wasabiridge.ServerEnd{
			Backend: wasabiridge.BackendServerID(e.GetBackend()), Incarnation: wasabiridge.Incarnation(e.GetIncarnation()),
			Generation: int(e.GetGeneration()), Weights: wasabiridge.WeightsVersion(e.GetWeights()),
			Age: wasabiridge.Millis(min(e.GetAgeMs(), uint64(wasabiridge.Day))),
		})
	}
	return out, nil
}
