package wasabinode

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// numberingSources is how many instances are asked what they know of how servers number events.
	numberingSources = 3
	// numberingSourcesWait is how long an instance that starts waits for one that it can ask.
	numberingSourcesWait = 10 * wasabiridge.Second
)

// SoftwareServers returns how many servers of a backend server's pool have its software, or zero if
// its pool is not known.
func (n *Node) SoftwareServers(b wasabiridge.BackendServer) int {
	pool, _ := n.activeConfig.Load().poolOf(b.ID)
	count := 0
	for _, other := range pool.Backends {
		if other.Software == b.Software {
			count++
		}
	}
	return count
}

// takeNumberings returns what the other instances are to be sent of how servers number events. If
// streams were doubted, some are asked what they know, since too few servers may be known here.
func (n *Node) takeNumberings(ctx context.Context) []wasabiridge.NumberingUpdate {
	exchange := n.options.Platform.Numberings
	if exchange == nil {
		return nil
	}
	updates := exchange.TakeNumberings(n.options.Clock.Now())
	if slices.ContainsFunc(updates, hasDoubt) {
		n.askNumberings(ctx)
	}
	return updates
}

// hasDoubt reports whether an update names a server of which streams were doubted.
func hasDoubt(u wasabiridge.NumberingUpdate) bool {
	return slices.ContainsFunc(u.Servers, func(s wasabiridge.ServerNumbering) bool { return s.Doubted > 0 })
}

// restoreNumberings asks other instances after the start how servers number events.
//
// The failure it guards against: an instance that starts has to see streams cut before it knows
// what the others know.
func (n *Node) restoreNumberings(ctx context.Context) {
	if n.options.Platform.Numberings == nil || !n.waitFor(ctx, wasabiridge.Day, n.hasConfig) {
		return
	}
	n.waitForMembers(ctx)
	n.waitFor(ctx, numberingSourcesWait, func() bool { return len(n.otherActive()) > 0 })
	n.askNumberings(ctx)
}

// askNumberings asks some other instances that callers are sent to how servers number events. Which
// ones follows from a rendezvous hash of this instance.
func (n *Node) askNumberings(ctx context.Context) {
	others := n.otherActive()
	slices.SortFunc(others, func(a, b wasabiridge.InstanceEntry) int {
		return cmp.Compare(n.numberingRank(a), n.numberingRank(b))
	})
	for _, e := range others[:min(len(others), numberingSources)] {
		go n.sendNumberings(ctx, e, wasabiridge.StateUpdate{AsksNumberings: true})
	}
}

func (n *Node) numberingRank(e wasabiridge.InstanceEntry) uint64 {
	return xxhash.Sum64String(string(n.options.Settings.Instance) + " " + string(e.ID))
}

// answerNumberings sends an instance that asks what is known here of how servers number events.
func (n *Node) answerNumberings(to wasabiridge.InstanceID) {
	if n.options.Platform.Numberings == nil {
		return
	}
	known := n.options.Platform.Numberings.Numberings()
	others := n.others()
	i := slices.IndexFunc(others, func(e wasabiridge.InstanceEntry) bool { return e.ID == to })
	if i < 0 || len(known) == 0 {
		return
	}
	n.sendNumberings(context.Background(), others[i], wasabiridge.StateUpdate{Numberings: known})
}

func (n *Node) sendNumberings(ctx context.Context, to wasabiridge.InstanceEntry, update wasabiridge.StateUpdate) {
	ctx, cancel := context.WithTimeout(ctx, passOnTimeout)
	defer cancel()
	update.From = n.options.Settings.Instance
	if err := n.client.SendUpdate(ctx, to.PeerAddress, update); err != nil {
		n.log.Debug().Err(err).Str("member", string(to.ID)).Msg("Numberings of events not sent.")
	}
}

// receiveNumberings applies what another instance knows of how servers number events.
func (n *Node) receiveNumberings(update wasabiridge.StateUpdate) {
	if n.options.Platform.Numberings == nil {
		return
	}
	for _, u := range update.Numberings {
		for _, s := range u.Servers {
			if s.Doubted > 0 {
				n.loop.TryPost(wasabiridge.StreamDoubted{Backend: s.Backend})
			}
		}
		if evidence, news := n.options.Platform.Numberings.ReceiveNumbering(u); news {
			n.notices.recordNumberingReceived(update.From, u, evidence)
		}
	}
}
