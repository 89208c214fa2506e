package wasabipeer

import (
	"github.com/wasabiridge/wasabiridge"
	pb "github.com/wasabiridge/wasabiridge/internal/wasabipeer/wasabipeerpb"
)

// maxSpent bounds the usage and the level that an instance may report for a
// client account.
const maxSpent = 1 << 52

// shareScale is the factor by which a share of a limit is multiplied on the
// wire, where shares are integers.
const shareScale = 1000

func encodeUses(out *pb.News, n wasabiridge.StateUpdate) {
	out.Incarnation, out.Sequence, out.PartMilli = uint64(n.Incarnation), n.Sequence, uint32(shareScale*min(max(n.Share, 0), 1))
	out.Whole, out.Change, out.View = n.Complete, n.OwnersEpoch, n.OwnersDigest
	for _, u := range n.Usage {
		out.Uses = append(out.Uses, &pb.UseNews{Account: string(u.Account), Spent: u.Spent, Level: u.Level, LevelKnown: u.LevelKnown})
	}
}

func decodeUses(n *wasabiridge.StateUpdate, in *pb.News) {
	n.Incarnation, n.Sequence = wasabiridge.Incarnation(in.GetIncarnation()), in.GetSequence()
	n.Share = float64(min(in.GetPartMilli(), shareScale)) / shareScale
	n.Complete, n.OwnersEpoch, n.OwnersDigest = in.GetWhole(), in.GetChange(), in.GetView()
	for _, u := range in.GetUses() {
		n.Usage = append(n.Usage, wasabiridge.UsageUpdate{
			Account: wasabiridge.ClientAccountID(u.GetAccount()), Spent: min(max(u.GetSpent(), -maxSpent), maxSpent),
			Level: min(max(u.GetLevel(), -maxSpent), maxSpent), LevelKnown: u.GetLevelKnown(),
		})
	}
}
