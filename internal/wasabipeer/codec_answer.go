package wasabipeer

import (
	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

func encodeAnswers(out *pb.News, n wasabiridge.StateUpdate) {
	for _, a := range n.Answers {
		out.Answers = append(out.Answers, &pb.AnswerNews{
			Pool: string(a.Pool), Order: a.Order, Rule: string(a.Rule), Backend: string(a.Backend), Total: a.Total, Failed: a.Failed, Slow: a.Slow,
		})
	}
}

func decodeAnswers(n *wasabiridge.StateUpdate, in *pb.News) error {
	if len(in.GetAnswers()) > maxUpdateEntries {
		return wasabiridge.ErrInvalid.New("peer: %d counts of answers in a state update, at most %d are allowed", len(in.GetAnswers()), maxUpdateEntries)
	}
	for _, a := range in.GetAnswers() {
		if a.GetFailed() > a.GetTotal() || a.GetSlow() > a.GetTotal() {
			return wasabiridge.ErrInvalid.New("peer: %d failed and %d slow answers of %d of pool %q", a.GetFailed(), a.GetSlow(), a.GetTotal(), a.GetPool())
		}
		n.Answers = append(n.Answers, wasabiridge.SoftwareAnswers{
			Pool: wasabiridge.PoolID(a.GetPool()), Order: a.GetOrder(), Rule: wasabiridge.RuleID(a.GetRule()), Backend: wasabiridge.BackendServerID(a.GetBackend()),
			Total: a.GetTotal(), Failed: a.GetFailed(), Slow: a.GetSlow(),
		})
	}
	return nil
}
