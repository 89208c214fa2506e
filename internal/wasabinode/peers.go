package wasabinode

import (
	"context"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
)

// rank is this instance's place among the living ones.
func (n *Node) rank() int {
	return wasabicatalog.RankOf(n.options.Settings.Instance, n.members.Members())
}

// tell hands a hint to all instances, this one first.
func (n *Node) tell(r wasabiridge.RestNews) {
	news := wasabiridge.News{From: n.options.Settings.Instance, Rests: []wasabiridge.RestNews{r}}
	n.takeNews(news)
	n.catalog.Tell(context.Background(), news)
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
		if r.Weights > 0 {
			n.loop.Observe(wasabiridge.WeightsReported{Backend: r.Backend, Model: r.Model, Weights: r.Weights})
		}
	}
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
