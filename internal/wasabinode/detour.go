package wasabinode

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
)

// declinedTime is how long an instance is asked last after it has declined a request for a
// pool.
const declinedTime = wasabiridge.Second

// detour passes requests on to other instances while this one has no path to the backend
// servers. It is safe for concurrent use.
type detour struct {
	wasabiridge.Forwarder
	node *Node

	mu sync.Mutex
	// declined holds when an instance last declined a request for a pool.
	declined map[declinedKey]wasabiridge.Millis
}

type declinedKey struct {
	pool wasabiridge.PoolID
	by   wasabiridge.InstanceID
}

var _ wasabirelay.Detour = (*detour)(nil)

// Detached implements wasabirelay.Detour.
func (d *detour) Detached(pool wasabiridge.PoolID) bool { return d.node.reach.isLost(pool) }

// Isolated implements wasabirelay.Detour. Where no other instance is known, none can say
// whether the path or the servers are the cause, and requests are tried here. So they are
// where that costs no time, because connections are refused at once, and while open ones
// still work.
func (d *detour) Isolated(pool wasabiridge.PoolID) bool {
	if !d.Detached(pool) || !d.node.reach.detached() {
		return false
	}
	members := d.node.members.Members()
	for _, m := range members {
		if !m.Detached && !m.Leaving {
			return false
		}
	}
	return len(members) > 0 && d.node.reach.isSilent(pool)
}

// Instances implements wasabirelay.Detour. The instances that callers are sent to are
// returned in random order, so that the requests spread over all of them.
func (d *detour) Instances(pool wasabiridge.PoolID) []wasabiridge.InstanceEntry {
	if !d.Detached(pool) && !d.node.reach.inDoubt(pool) {
		return nil
	}
	var out []wasabiridge.InstanceEntry
	for _, e := range d.node.activeEntries() {
		if e.ID != d.node.options.Settings.Instance && e.PeerAddress != "" && !d.hasDeclined(pool, e.ID) {
			out = append(out, e)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Answered implements wasabirelay.Detour.
func (d *detour) Answered(pool wasabiridge.PoolID, answered bool) {
	d.node.reach.servedElsewhere(pool, answered)
}

// Declined implements wasabirelay.Detour.
func (d *detour) Declined(pool wasabiridge.PoolID, by wasabiridge.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.node.options.Clock.Now()
	for key, at := range d.declined {
		if now-at > declinedTime {
			delete(d.declined, key)
		}
	}
	if d.declined == nil {
		d.declined = map[declinedKey]wasabiridge.Millis{}
	}
	d.declined[declinedKey{pool: pool, by: by}] = now
}

func (d *detour) hasDeclined(pool wasabiridge.PoolID, by wasabiridge.InstanceID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.declined[declinedKey{pool: pool, by: by}]
	return ok && d.node.options.Clock.Now()-at <= declinedTime
}

// pathChanged is called when the path to the servers of a pool was lost or restored.
// While an instance is detached, callers are sent to others, and it holds no lease for
// orders to engines.
func (n *Node) pathChanged(pool wasabiridge.PoolID, lost, detached bool) {
	if !lost {
		n.loop.TryPost(wasabiridge.PathRestored{Pool: pool})
	}
	n.members.SetDetached(detached)
}

// HandleForward implements wasabiridge.ForwardHandler.
func (h peerHandler) HandleForward(ctx context.Context, r wasabiridge.ForwardedRequest, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult {
	if h.node.relay == nil || h.node.leaving.Load() {
		return wasabiridge.ForwardResult{
			Result: wasabiridge.AttemptNotRun, Declined: true, Refusal: wasabiridge.Refusal{Kind: wasabiridge.RefusalNotRun, Reason: "leaving or not started"},
		}
	}
	return h.node.relay.ServeForwarded(ctx, r, sink)
}
