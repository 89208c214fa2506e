package wasabinode

import (
	"context"
	"fmt"

	"github.com/wasabiridge/wasabiridge"
)

// sendUpdate sends a state update to an instance, with the streams that wait to be sent to it.
func (n *Node) sendUpdate(ctx context.Context, address string, update wasabiridge.StateUpdate) error {
	update.From = n.options.Settings.Instance
	n.streams.Add(address, &update)
	err := n.client.SendUpdate(ctx, address, update)
	if err == nil || !update.PassOn {
		return err
	}
	// The time of the failed call is over.
	again, cancel := context.WithTimeout(context.WithoutCancel(ctx), passOnTimeout)
	defer cancel()
	update.Streams = nil
	if second := n.sendAgain(again, address, update); second != nil {
		n.log.Debug().Err(second).Str("address", address).Msg("Update not delivered to any instance of a zone.")
	}
	return err
}

// otherActive returns the other instances that callers are sent to.
func (n *Node) otherActive() []wasabiridge.InstanceEntry {
	var out []wasabiridge.InstanceEntry
	for _, e := range n.activeEntries() {
		if e.ID != n.options.Settings.Instance && e.PeerAddress != "" {
			out = append(out, e)
		}
	}
	return out
}

// others returns the other instances in the membership view.
func (n *Node) others() []wasabiridge.InstanceEntry {
	var out []wasabiridge.InstanceEntry
	for _, m := range n.members.Members() {
		if m.PeerAddress != "" {
			out = append(out, m.InstanceEntry)
		}
	}
	return out
}

// listed returns the platform's list of backend servers and when it was last read.
func (n *Node) listed() ([]wasabiridge.BackendEntry, wasabiridge.Millis) {
	if n.catalog == nil {
		return nil, 0
	}
	v := n.catalog.View()
	return v.Backends.Entries, v.BackendsConfirmedAt
}

// streamLines returns metrics lines: the streams that this instance remembers, those that
// callers resumed by how they were found, and the servers of each pool by software version.
func (n *Node) streamLines() []string {
	counts := n.streams.Counts()
	lines := []string{line("streams_remembered", int64(counts.Remembered)), line("streams_not_remembered_total", int64(counts.Dropped))}
	for result, count := range counts.Found {
		lines = append(lines, line("streams_resumed_total{found=\""+string(result)+"\"}", int64(count)))
	}
	for _, pool := range n.activeConfig.Load().config.Pools {
		servers := map[wasabiridge.SoftwareVersion]int{}
		for _, b := range pool.Backends {
			servers[b.Software]++
		}
		for software, count := range servers {
			lines = append(lines, line(fmt.Sprintf("servers{pool=%q,software=%q}", pool.ID, software), int64(count)))
		}
	}
	return lines
}

// HandleFindStream implements wasabiridge.StreamHandler.
func (h peerHandler) HandleFindStream(_ context.Context, q wasabiridge.StreamQuery) (wasabiridge.StreamAnswer, error) {
	if h.node.streams == nil {
		return wasabiridge.StreamAnswer{}, errNotServed
	}
	return h.node.streams.Answer(q), nil
}
