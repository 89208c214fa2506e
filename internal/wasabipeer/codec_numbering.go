package wasabipeer

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

const (
	// maxNumberings and maxNumberedServers bound what one message says about how servers number
	// events, and maxSteps the steps that it counts.
	maxNumberings      = 256
	maxNumberedServers = 256
	maxSteps           = 1 << 20
)

func encodeNumberings(out *pb.News, n wasabiridge.StateUpdate) {
	out.AsksNumberings = n.AsksNumberings
	for _, u := range n.Numberings {
		news := &pb.NumberingNews{
			Pool: string(u.Pool), Software: string(u.Software), Largest: uint64(max(u.Largest, 0)),
			Begins: encodeSteps(u.Begins.All), BeginsSkips: encodeSteps(u.Begins.Skips), Steps: encodeSteps(u.Steps.All), StepsSkips: encodeSteps(u.Steps.Skips),
		}
		for _, s := range u.Servers {
			news.Servers = append(news.Servers, &pb.ServerNumberingNews{Backend: string(s.Backend), Proven: s.Proven, Doubted: encodeSteps(s.Doubted)})
		}
		out.Numberings = append(out.Numberings, news)
	}
}

func encodeSteps(count int) uint32 { return uint32(min(max(count, 0), maxSteps)) }

func decodeNumberings(n *wasabiridge.StateUpdate, in *pb.News) error {
	n.AsksNumberings = in.GetAsksNumberings()
	if len(in.GetNumberings()) > maxNumberings {
		return wasabiridge.ErrInvalid.New("peer: %d numberings in a state update, at most %d are allowed", len(in.GetNumberings()), maxNumberings)
	}
	for _, u := range in.GetNumberings() {
		if u.GetPool() == "" || len(u.GetServers()) > maxNumberedServers {
			return wasabiridge.ErrInvalid.New("peer: a numbering of pool %q has %d servers, at most %d are allowed", u.GetPool(), len(u.GetServers()), maxNumberedServers)
		}
		update := wasabiridge.NumberingUpdate{
			Pool: wasabiridge.PoolID(u.GetPool()), Software: wasabiridge.SoftwareVersion(u.GetSoftware()), Largest: int64(min(u.GetLargest(), math.MaxInt64)),
			Begins: decodeSteps(u.GetBegins(), u.GetBeginsSkips()), Steps: decodeSteps(u.GetSteps(), u.GetStepsSkips()),
		}
		for _, s := range u.GetServers() {
			update.Servers = append(update.Servers, wasabiridge.ServerNumbering{
				Backend: wasabiridge.BackendServerID(s.GetBackend()), Proven: s.GetProven(), Doubted: int(min(s.GetDoubted(), maxSteps)),
			})
		}
		n.Numberings = append(n.Numberings, update)
	}
	return nil
}

func decodeSteps(all, skips uint32) wasabiridge.StepCounts {
	all = min(all, maxSteps)
	return wasabiridge.StepCounts{All: int(all), Skips: int(min(skips, all))}
}
