package wasabipeer

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

const (
	// maxDemands and maxDemandAccounts bound what one message says about demand.
	maxDemands        = 256
	maxDemandAccounts = 64
	// maxCorrection bounds the factor between the stated and the expected capacity, which is
	// encoded in thousandths.
	maxCorrection = 100
)

func encodeDemands(out *pb.News, n wasabiridge.StateUpdate) {
	for _, d := range n.Demands {
		news := &pb.DemandNews{
			Pool: d.Pool, Priority: int32(d.Priority), Offered: encodeWork(d.Offered), Admitted: encodeWork(d.Admitted),
			CorrectionMilli: uint32(math.Round(milli * min(max(d.Correction, 0), maxCorrection))), Reply: d.Reply,
		}
		for _, a := range d.Accounts {
			news.Accounts = append(news.Accounts, a.Account)
			news.AccountOffered = append(news.AccountOffered, encodeWork(a.Offered))
		}
		out.Demands = append(out.Demands, news)
	}
}

// encodeWork rounds up, so that little work is not taken for none.
func encodeWork(w wasabiridge.Work) uint32 {
	return uint32(math.Ceil(min(max(float64(w), 0), math.MaxUint32)))
}

func decodeDemands(n *wasabiridge.StateUpdate, in *pb.News) error {
	if len(in.GetDemands()) > maxDemands {
		return wasabiridge.ErrInvalid.New("peer: %d demands in a state update, at most %d are allowed", len(in.GetDemands()), maxDemands)
	}
	for _, d := range in.GetDemands() {
		if len(d.GetAccounts()) > maxDemandAccounts || len(d.GetAccounts()) != len(d.GetAccountOffered()) {
			return wasabiridge.ErrInvalid.New("peer: a demand has %d accounts with %d values, at most %d are allowed", len(d.GetAccounts()), len(d.GetAccountOffered()), maxDemandAccounts)
		}
		demand := wasabiridge.DemandUpdate{
			Pool: d.GetPool(), Priority: wasabiridge.Priority(min(max(d.GetPriority(), -maxPriority), maxPriority)),
			Offered: wasabiridge.Work(d.GetOffered()), Admitted: wasabiridge.Work(d.GetAdmitted()),
			Correction: float64(min(d.GetCorrectionMilli(), milli*maxCorrection)) / milli, Reply: d.GetReply(),
		}
		for i, account := range d.GetAccounts() {
			demand.Accounts = append(demand.Accounts, wasabiridge.AccountDemand{Account: account, Offered: wasabiridge.Work(d.GetAccountOffered()[i])})
		}
		n.Demands = append(n.Demands, demand)
	}
	return nil
}
