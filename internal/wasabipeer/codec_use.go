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

func encodeUses(out *pb.News, n wasabiridge.News) {
	out.Incarnation, out.Sequence, out.PartMilli = uint64(n.Life), n.Sequence, uint32(shareScale*min(max(n.Part, 0), 1))
	out.Whole, out.Change, out.View = n.Whole, n.Change, n.View
	for _, u := range n.Uses {
		out.Uses = append(out.Uses, &pb.UseNews{Account: string(u.Account), Spent: u.Spent, Level: u.Level, LevelKnown: u.LevelKnown})
	}
}

func decodeUses(n *wasabiridge.News, in *pb.News) {
	n.Life, n.Sequence = wasabiridge.Incarnation(in.GetIncarnation()), in.GetSequence()
	n.Part = float64(min(in.GetPartMilli(), shareScale)) / shareScale
	n.Whole, n.Change, n.View = in.GetWhole(), in.GetChange(), in.GetView()
	for _, u := range in.GetUses() {
		n.Uses = append(n.Uses, wasabiridge.UseNews{
			Account: wasabiridge.ClientAccountID(u.GetAccount()), Spent: min(max(u.GetSpent(), -maxSpent), maxSpent),
			Level: min(max(u.GetLevel(), -maxSpent), maxSpent), LevelKnown: u.GetLevelKnown(),
		})
	}
}
