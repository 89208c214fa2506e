package wasabinode

import (
	"context"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiaddress"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiupgrade"
)

// rank returns this instance's place in the order of the instances in the
// membership view, from zero.
func (n *Node) rank() int {
	return wasabicatalog.RankOf(n.self(), n.members.Members())
}

// sendBackoffs applies updates on replicas, with their backoff, drain and weights,
// at this instance first. Then it sends them to the instances that place requests
// and to those that may hold the upgrade lease next, although callers may not be
// sent to them.
//
// The failure it guards against: the holder of the lease sends an update on each
// replica to every one of many instances. It does nothing else for seconds, and
// the replicas wait for their orders.
func (n *Node) sendBackoffs(backoffs []wasabiridge.BackoffUpdate) {
	update := wasabiridge.StateUpdate{From: n.options.Settings.Instance, Backoffs: backoffs}
	n.applyUpdate(update)
	peers := n.active()
	for _, p := range n.catalog.LowestRanks(wasabiupgrade.Candidates) {
		if !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	n.catalog.SendUpdate(context.Background(), peers, update)
}

// applyUpdate applies a state update of an instance: it posts the events to the
// decision loop, and passes the update to the quarantine and the quotas. When the
// queue of the loop is full, events are dropped.
func (n *Node) applyUpdate(update wasabiridge.StateUpdate) {
	if update.PassOn {
		n.passOn(update)
	}
	if update.PassedOn {
		n.applyPlacements(update)
		return
	}
	now := n.options.Clock.Now()
	for _, r := range update.Backoffs {
		if update.From != n.options.Settings.Instance {
			n.upgrade.Receive(update.From, r.Backend)
		}
		n.loop.TryPost(wasabiridge.BackendInBackoff{Backend: r.Backend, Until: now + r.Backoff})
		if r.Backoff > 0 {
			n.queueMigration(r.Backend)
		}
		n.loop.TryPost(wasabiridge.BackendDraining{Backend: r.Backend, Until: now + r.Drain})
		if r.Weights > 0 {
			n.loop.TryPost(wasabiridge.WeightsReported{Backend: r.Backend, Model: r.Model, Weights: r.Weights, Incarnation: r.Incarnation, Unlisted: true})
		}
	}
	for _, l := range update.Leaving {
		n.observeLeaving(wasabiridge.BackendLeaving{Backend: l.Backend, Incarnation: l.Incarnation}, update.From)
	}
	if update.AsksNumberings {
		go n.answerNumberings(update.From)
	}
	n.streams.Receive(update)
	n.quarantine.Receive(update)
	n.quota.Receive(update)
	n.rollouts.receive(update)
	n.applyPlacements(update)
}

// applyPlacements applies the part of an update that concerns placements and demand.
func (n *Node) applyPlacements(update wasabiridge.StateUpdate) {
	if len(update.Demands) > 0 {
		n.loop.TryPost(wasabiridge.DemandReceived{From: update.From, Demands: update.Demands})
	}
	n.receiveNumberings(update)
	now := n.options.Clock.Now()
	for _, l := range update.Loads {
		if b := l.Brittle; b.Known {
			n.notices.recordBrittle(wasabiridge.BrittleAnnounced{Backend: l.Backend, Brittle: b.Brittle, Refusals: b.Refusals, RequestSentAt: now - b.Age}, update.From, now)
		}
	}
	if len(update.Loads) > 0 || len(update.Segments) > 0 {
		n.loop.TryPost(wasabiridge.PeerPlaced{From: update.From, Loads: update.Loads, Segments: update.Segments})
	}
}

// nearest returns the host and port of the instances for a caller in a zone, and
// how long the caller may keep them.
func (n *Node) nearest(zone wasabiridge.AvailabilityZone) ([]string, wasabiridge.Millis) {
	var out []string
	for _, e := range n.book.Nearest(zone) {
		out = append(out, wasabiaddress.HostPort(e.CallerURL))
	}
	return out, n.book.Lifetime()
}

// peerHandler handles the calls of other instances.
type peerHandler struct{ node *Node }

var (
	_ wasabiridge.PeerHandler    = peerHandler{}
	_ wasabiridge.CatalogHandler = peerHandler{}
	_ wasabiridge.StreamHandler  = peerHandler{}
)

var errNotServed = wasabiridge.ErrUnavailable.New("node: this instance does not serve the call")

// HandleExchange implements wasabiridge.PeerHandler.
func (h peerHandler) HandleExchange(ctx context.Context, b wasabiridge.Heartbeat) (wasabiridge.Heartbeat, error) {
	return h.node.members.HandleExchange(ctx, b)
}

// HandleFetchConfig implements wasabiridge.PeerHandler. It always returns
// ErrUnavailable, because instances receive the configuration with the catalog.
func (h peerHandler) HandleFetchConfig(context.Context) (wasabiridge.ConfigDocument, error) {
	return wasabiridge.ConfigDocument{}, errNotServed
}

// HandleQueryTimeline implements wasabiridge.PeerHandler.
func (h peerHandler) HandleQueryTimeline(_ context.Context, q wasabiridge.TimelineQuery) (wasabiridge.TimelinePage, error) {
	return h.node.timeline.Page(q), nil
}

// HandleClaim implements wasabiridge.PeerHandler. It always returns
// ErrUnavailable: callers of this platform send every try under a new
// identifier, so there is nothing to claim.
func (h peerHandler) HandleClaim(context.Context, wasabiridge.ClaimQuery) (wasabiridge.ClaimOutcome, error) {
	return wasabiridge.ClaimOutcome{State: wasabiridge.ClaimUnavailable}, errNotServed
}

// HandleFinishClaim implements wasabiridge.PeerHandler.
func (h peerHandler) HandleFinishClaim(context.Context, wasabiridge.ClaimResult) error {
	return errNotServed
}

// HandleQueryCatalog implements wasabiridge.CatalogHandler.
func (h peerHandler) HandleQueryCatalog(ctx context.Context, q wasabiridge.CatalogQuery) (wasabiridge.CatalogResponse, error) {
	if h.node.catalog == nil {
		return wasabiridge.CatalogResponse{}, errNotServed
	}
	return h.node.catalog.HandleQueryCatalog(ctx, q)
}

// HandleSendUpdate implements wasabiridge.CatalogHandler.
func (h peerHandler) HandleSendUpdate(ctx context.Context, update wasabiridge.StateUpdate) error {
	if h.node.catalog == nil {
		return errNotServed
	}
	return h.node.catalog.HandleSendUpdate(ctx, update)
}
