package wasabinode

import (
	"context"
	"slices"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
	"github.com/wasabiridge/wasabiridge/internal/wasabifanout"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
)

const (
	// publishDelay is how long the first of several placements in close succession
	// waits, so that one message carries them all.
	publishDelay = 4 * time.Millisecond
	// publishInterval is how often the other instances are sent loads when no long
	// prompt was placed.
	publishInterval = 100 * time.Millisecond
	// idlePublishInterval is how often it is checked whether there is anything to publish while
	// this instance has no requests.
	idlePublishInterval = 250 * time.Millisecond
	// passOnTimeout bounds passing an update on to one instance.
	passOnTimeout = 500 * time.Millisecond
	// messageInterval is the least time between two messages to other instances, on
	// average: an update to n of them is not followed by another one for n times as
	// long.
	messageInterval = time.Millisecond
	// maxStretch limits the time between updates as a multiple of publishInterval, well
	// below the time for which other instances use a load.
	maxStretch = 5
)

// placementRecorder passes timeline events on to next. When a prompt is placed for
// a reason other than load, it also wakes publishPlacements: such a prompt is long,
// and the other instances should receive its load at once.
type placementRecorder struct {
	next wasabiridge.Recorder
	wake chan struct{}
}

// Record implements wasabiridge.Recorder.
func (p placementRecorder) Record(e wasabiridge.TimelineEvent) {
	p.next.Record(e)
	if e.Kind != wasabiridge.EventPlaced || e.Cause == wasabireplica.WhyLoad {
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// publishPlacements sends the other instances what this one placed on which backend
// server, with the use of quotas, the demand for pools that are short of capacity, the servers
// that announced that they are leaving, and how servers number events.
func (n *Node) publishPlacements(ctx context.Context) {
	ticker := wasabipulse.New(publishInterval)
	defer ticker.Stop()
	var sent time.Time
	for {
		wait := time.Duration(0)
		select {
		case <-n.placed:
			wait = publishDelay
		case <-ticker.C:
			if n.isIdle() {
				ticker.Next(idlePublishInterval)
				continue
			}
			ticker.Next(publishInterval)
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(publishWait(wait, time.Since(sent), n.recipientCount())):
		case <-ctx.Done():
			return
		}
		var update, outside wasabiridge.StateUpdate
		n.loop.Inspect(func() {
			outside.Loads = n.placer.TakeOutsideUpdates(n.options.Clock.Now())
			update.Loads, update.Segments = n.placer.TakeUpdates(n.options.Clock.Now())
			n.quota.Add(n.options.Clock.Now(), &update)
			n.shares.add(n.options.Clock.Now(), &update)
		})
		if len(outside.Loads) > 0 {
			n.catalog.SendUpdate(ctx, n.inactive(), outside)
		}
		update.Leaving = n.notices.takeLeaving(n.options.Clock.Now())
		update.Numberings = n.takeNumberings(ctx)
		if isEmpty(update) {
			continue
		}
		sent = time.Now()
		near, far := n.split(n.targets(update))
		elsewhere := n.withoutParts(update)
		if len(far) > 0 && !isEmpty(elsewhere) {
			n.quota.Send(ctx, elsewhere, far)
		}
		n.quota.Send(ctx, update, near)
	}
}

// isIdle reports whether this instance has nothing to publish: callers are not sent to it, and
// it has no request.
func (n *Node) isIdle() bool { return n.relay.Open() == 0 && !n.isActive() && !n.notices.hasPending() }

// split separates the targets in this instance's zone from the others. Without pools of which
// the instances use a part, all targets count as near.
func (n *Node) split(targets []wasabifanout.Target) (near, far []wasabifanout.Target) {
	if !n.activeConfig.Load().isParted() {
		return targets, nil
	}
	for _, t := range targets {
		if t.Entry.Zone == n.options.Settings.Zone {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	return near, far
}

// withoutParts returns an update without the placements at pools of which the instances of
// each zone use other servers.
//
// The failure it guards against: every instance sends each placement to the instances of all
// zones, so that the updates grow with the square of the instances and fill the links between
// zones, although nobody there uses the same servers.
func (n *Node) withoutParts(update wasabiridge.StateUpdate) wasabiridge.StateUpdate {
	active := n.activeConfig.Load()
	update.Loads = slices.DeleteFunc(slices.Clone(update.Loads), func(l wasabiridge.LoadUpdate) bool { return active.isPart(l.Backend) })
	update.Segments = slices.DeleteFunc(slices.Clone(update.Segments), func(s wasabiridge.SegmentUpdate) bool { return active.isPart(s.Backend) })
	return update
}

// recipientCount returns how many instances an update on placements is sent to.
func (n *Node) recipientCount() int {
	active := n.activeEntries()
	if !n.activeConfig.Load().isParted() {
		return len(active)
	}
	return n.activeInZone(active)
}

// activeInZone returns how many of the instances that callers are sent to are in this
// instance's zone.
func (n *Node) activeInZone(active []wasabiridge.InstanceEntry) int {
	count := 0
	for _, e := range active {
		if e.Zone == n.options.Settings.Zone {
			count++
		}
	}
	return count
}

// targets returns the instances that an update is sent to. What must not be lost is sent to
// each of them directly.
func (n *Node) targets(update wasabiridge.StateUpdate) []wasabifanout.Target {
	active := n.activeEntries()
	if len(update.Leaving) == 0 {
		return n.fanout.Targets(n.options.Clock.Now(), active)
	}
	var out []wasabifanout.Target
	for _, e := range active {
		out = append(out, wasabifanout.Target{Entry: e})
	}
	return out
}

// passOn passes an update of an instance of another zone on to the other instances of this
// zone that callers are sent to.
func (n *Node) passOn(update wasabiridge.StateUpdate) {
	part := wasabiridge.StateUpdate{
		From: update.From, Loads: update.Loads, Segments: update.Segments, Demands: update.Demands, Numberings: update.Numberings, PassedOn: true,
	}
	for _, e := range n.fanout.Neighbors(n.activeEntries(), update.From) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), passOnTimeout)
			defer cancel()
			if err := n.client.SendUpdate(ctx, e.PeerAddress, part); err != nil {
				n.log.Debug().Err(err).Str("member", string(e.ID)).Msg("Update not passed on.")
			}
		}()
	}
}

// sendAgain sends an update that an instance at an address did not take to another one of
// its zone, which passes it on instead.
func (n *Node) sendAgain(ctx context.Context, address string, update wasabiridge.StateUpdate) error {
	now, active := n.options.Clock.Now(), n.activeEntries()
	i := slices.IndexFunc(active, func(e wasabiridge.InstanceEntry) bool { return e.PeerAddress == address })
	if i < 0 {
		return nil
	}
	n.fanout.Failed(now, active[i].ID)
	for _, t := range n.fanout.Targets(now, active) {
		if t.PassOn && t.Entry.Zone == active[i].Zone && t.Entry.ID != active[i].ID {
			return n.client.SendUpdate(ctx, t.Entry.PeerAddress, update)
		}
	}
	return nil
}

// isEmpty reports whether an update contains nothing that publishPlacements sends.
func isEmpty(u wasabiridge.StateUpdate) bool {
	return len(u.Loads) == 0 && len(u.Segments) == 0 && len(u.Usage) == 0 && len(u.Leaving) == 0 && len(u.Demands) == 0 && len(u.Numberings) == 0
}

// publishWait returns how long an update waits that should be sent after wait, given the
// time since the last one and the number of instances that it is sent to.
//
// It guards against many instances that each send a message to all others for nearly
// every long prompt, and have little time left for requests.
func publishWait(wait, sinceLast time.Duration, instances int) time.Duration {
	return max(wait, min(time.Duration(instances)*messageInterval, publishInterval*maxStretch)-sinceLast)
}

// active returns the other instances that callers are sent to. Only they place
// requests, so only they need updates on placements.
func (n *Node) active() []wasabicatalog.Peer {
	var peers []wasabicatalog.Peer
	for _, e := range n.book.Active() {
		if e.ID != n.options.Settings.Instance && e.PeerAddress != "" {
			peers = append(peers, wasabicatalog.PeerOf(e))
		}
	}
	return peers
}

// inactive returns the instances that callers are not sent to.
func (n *Node) inactive() []wasabicatalog.Peer {
	active := map[wasabiridge.InstanceID]bool{}
	for _, e := range n.activeEntries() {
		active[e.ID] = true
	}
	var peers []wasabicatalog.Peer
	for _, m := range n.members.Members() {
		if !active[m.ID] && !m.Dead && !m.Leaving && m.PeerAddress != "" {
			peers = append(peers, wasabicatalog.PeerOf(m.InstanceEntry))
		}
	}
	return peers
}

// activeEntries returns all instances that callers are sent to, in the order of the
// address book. This instance may be one of them.
func (n *Node) activeEntries() []wasabiridge.InstanceEntry { return n.book.Active() }
