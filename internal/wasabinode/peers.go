package wasabinode

import (
	"context"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
)

// rank is this instance's place among the living ones.
func (n *Node) rank() int {
	return wasabicatalog.RankOf(n.self(), n.members.Members())
}

// nextHolders is how many of the lowest ranks are told of replicas that rest
// although callers are not sent to them: one of them gives the orders next.
const nextHolders = 5

// tell hands hints on replicas to this instance first, and then to those that
// place requests and those that may give orders next.
//
// The failure it guards against: the holder of the lease tells all of many
// instances of each replica. It does nothing else for seconds, and the replicas
// wait for their orders.
func (n *Node) tell(rests []wasabiridge.RestNews) {
	news := wasabiridge.News{From: n.options.Settings.Instance, Rests: rests}
	n.takeNews(news)
	peers := n.active()
	for _, p := range n.catalog.LowestRanks(nextHolders) {
		if !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	n.catalog.TellSome(context.Background(), peers, news)
}

// takeNews hands hints of an instance to the decisions. Those that find the
// loop full are lost.
func (n *Node) takeNews(news wasabiridge.News) {
	now := n.options.Clock.Now()
	for _, r := range news.Rests {
		if news.From != n.options.Settings.Instance {
			n.upgrade.Hear(r.Backend)
		}
		n.loop.Observe(wasabiridge.BackendResting{Backend: r.Backend, Until: now + r.Resting})
		if r.Resting > 0 {
			n.empty(r.Backend)
		}
		n.loop.Observe(wasabiridge.BackendEasing{Backend: r.Backend, Until: now + r.Easing})
		if r.Weights > 0 {
			n.loop.Observe(wasabiridge.WeightsReported{Backend: r.Backend, Model: r.Model, Weights: r.Weights, Incarnation: r.Incarnation})
		}
	}
	n.quarantine.Hear(news)
	n.quota.Hear(news)
	if len(news.Loads) > 0 || len(news.Parts) > 0 {
		n.loop.Observe(wasabiridge.PeerPlaced{From: news.From, Loads: news.Loads, Parts: news.Parts})
	}
}

// nearest returns the addresses for a caller of a zone.
func (n *Node) nearest(zone wasabiridge.AvailabilityZone) ([]string, wasabiridge.Millis) {
	var out []string
	for _, e := range n.book.Nearest(zone) {
		out = append(out, wasabiaddress.HostPort(e.CallerURL))
	}
	return out, n.book.Lifetime()
}

// peerHandler answers other instances with the parts of this one.
type peerHandler struct{ node *Node }

var (
	_ wasabiridge.PeerHandler    = peerHandler{}
	_ wasabiridge.CatalogHandler = peerHandler{}
)

var errNotKept = wasabiridge.ErrUnavailable.New("node: not kept here")

// HandleExchange implements wasabiridge.PeerHandler.
func (h peerHandler) HandleExchange(ctx context.Context, b wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	return h.node.members.HandleExchange(ctx, b)
}

// HandleFetchConfig implements wasabiridge.PeerHandler. The configuration goes
// with the catalog.
func (h peerHandler) HandleFetchConfig(context.Context) (wasabiridge.ConfigDocument, error) {
	return wasabiridge.ConfigDocument{}, errNotKept
}

// HandleQueryTimeline implements wasabiridge.PeerHandler.
func (h peerHandler) HandleQueryTimeline(_ context.Context, q wasabiridge.TimelineQuery) (wasabiridge.TimelinePage, error) {
	return h.node.timeline.Page(q), nil
}

// HandleClaim implements wasabiridge.PeerHandler. Callers name every try
// anew, so there is nothing to claim.
func (h peerHandler) HandleClaim(context.Context, wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnavailable}, errNotKept
}

// HandleFinishClaim implements wasabiridge.PeerHandler.
func (h peerHandler) HandleFinishClaim(context.Context, wasabiridge.ClaimResult) error {
	return errNotKept
}

// HandleAskCatalog implements wasabiridge.CatalogHandler.
func (h peerHandler) HandleAskCatalog(ctx context.Context, q wasabiridge.CatalogQuery) (wasabiridge.CatalogAnswer, error) {
	if h.node.catalog == nil {
		return wasabiridge.CatalogAnswer{}, errNotKept
	}
	return h.node.catalog.HandleAskCatalog(ctx, q)
}

// HandleTellNews implements wasabiridge.CatalogHandler.
func (h peerHandler) HandleTellNews(ctx context.Context, news wasabiridge.News) error {
	if h.node.catalog == nil {
		return errNotKept
	}
	return h.node.catalog.HandleTellNews(ctx, news)
}
