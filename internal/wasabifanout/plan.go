// Package wasabifanout decides over which instances a state update reaches all instances
// that callers are sent to.
//
// # Zones
//
// An update goes directly to the instances of the sender's availability zone. Of each
// other zone with several instances one receives it and passes it on to the others of its
// zone. So the updates that cross zones grow with the zones and not with the instances.
// Which instance of a zone that is follows from a rendezvous hash of the sender, so that the
// senders are spread over the instances of the zone.
//
// An instance that did not take an update is avoided for a while, and the update is sent to
// the next one. Receivers that get an update twice, or not at all when an instance ends
// between receiving it and passing it on, see an older state until the next update: only
// updates that are replaced by later ones may be sent this way.
//
// # Usage
//
//	plan := wasabifanout.New(wasabifanout.Options{Self: entry})
//	for _, t := range plan.Targets(now, active) {
//		if err := send(t.Entry, t.PassOn); err != nil {
//			plan.Failed(now, t.Entry.ID)
//		}
//	}
package wasabifanout

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// minPassedOn is the number of instances of a zone from which on one of them passes
	// updates on. With fewer, the additional hop saves little.
	minPassedOn = 3
	// avoidTime is how long an instance that did not take an update is avoided.
	avoidTime = 2 * wasabiridge.Second
)

// Options configure a Plan.
type Options struct {
	// Self is the entry of this instance.
	Self wasabiridge.InstanceEntry
}

// Target is an instance that an update is sent to. With PassOn it passes the update on to
// the other instances of its zone.
type Target struct {
	Entry  wasabiridge.InstanceEntry
	PassOn bool
}

// Plan chooses the targets of updates. It is safe for concurrent use.
type Plan struct {
	options Options

	mu      sync.Mutex
	avoided map[wasabiridge.InstanceID]wasabiridge.Millis
}

// New returns a Plan.
func New(o Options) *Plan {
	return &Plan{options: o, avoided: map[wasabiridge.InstanceID]wasabiridge.Millis{}}
}

// Targets returns where an update is sent so that it reaches all of the given instances
// but this one. The order does not depend on that of the instances.
func (p *Plan) Targets(now wasabiridge.Millis, instances []wasabiridge.InstanceEntry) []Target {
	var out []Target
	for zone, list := range p.byZone(instances) {
		if zone == p.options.Self.Zone || len(list) < minPassedOn {
			for _, e := range list {
				out = append(out, Target{Entry: e})
			}
			continue
		}
		out = append(out, Target{Entry: p.forwarder(now, list), PassOn: true})
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return out
}

// Neighbors returns the other instances of this instance's zone, to which it passes updates
// from the given sender on.
func (p *Plan) Neighbors(instances []wasabiridge.InstanceEntry, sender wasabiridge.InstanceID) []wasabiridge.InstanceEntry {
	var out []wasabiridge.InstanceEntry
	for _, e := range p.byZone(instances)[p.options.Self.Zone] {
		if e.ID != sender {
			out = append(out, e)
		}
	}
	return out
}

// Failed records that an instance did not take an update.
func (p *Plan) Failed(now wasabiridge.Millis, id wasabiridge.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, until := range p.avoided {
		if now >= until {
			delete(p.avoided, other)
		}
	}
	p.avoided[id] = now + avoidTime
}

// byZone returns the other instances with an address, by zone.
func (p *Plan) byZone(instances []wasabiridge.InstanceEntry) map[wasabiridge.AvailabilityZone][]wasabiridge.InstanceEntry {
	out := map[wasabiridge.AvailabilityZone][]wasabiridge.InstanceEntry{}
	for _, e := range instances {
		if e.ID != p.options.Self.ID && e.PeerAddress != "" {
			out[e.Zone] = append(out[e.Zone], e)
		}
	}
	return out
}

// forwarder returns the instance of a zone with the highest rendezvous hash, of those that
// are not avoided unless all are.
func (p *Plan) forwarder(now wasabiridge.Millis, list []wasabiridge.InstanceEntry) wasabiridge.InstanceEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best wasabiridge.InstanceEntry
	bestAvoided, bestScore, found := false, uint64(0), false
	for _, e := range list {
		avoided, score := now < p.avoided[e.ID], p.score(e.ID)
		if !found || bestAvoided && !avoided || bestAvoided == avoided && score > bestScore {
			best, bestAvoided, bestScore, found = e, avoided, score, true
		}
	}
	return best
}

func (p *Plan) score(id wasabiridge.InstanceID) uint64 {
	return xxhash.Sum64String(string(p.options.Self.ID) + "\x00" + string(id))
}
