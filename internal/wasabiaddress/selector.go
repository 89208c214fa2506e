// Package wasabiaddress selects the instances that callers connect to.
//
// There is no load balancer in front of the instances: callers query any instance
// for addresses, cache the answer for its lifetime and connect directly. The answer
// directs the requests of one client account to few instances, so that each of them
// has a record of what its engines have cached for that account. Correctness does
// not depend on it; every instance serves every request.
//
// # Selection
//
// Instances are ordered by rendezvous hashing of the client account, so that all
// instances compute the same order without messages. The first two of the caller's
// availability zone get nearly all the weight. One instance of each of two further
// zones is the fallback for a caller whose zone fails. Instances that are leaving,
// and instances that do not respond to their peers, are left out. So are those that have no
// path to the backend servers, unless there are no others.
//
// Instances without headroom count half: with many instances, further ones become active
// beside them. Nearest leaves them out where the others have nearly all of the zone's capacity.
//
// # Usage
//
//	book := wasabiaddress.New(wasabiaddress.Options{
//		Self: entry, Members: members.Members, Lifetime: 10 * wasabiridge.Second,
//	})
//	answer := book.Response("liftwell", "port-of-spain")
package wasabiaddress

import (
	"sort"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// localCount is the number of instances of the caller's zone in an answer. With
	// a single one, its loss would send all requests of the account at once to
	// instances that have no record of the engines' caches for it.
	localCount = 2
	// minListed is the smallest number of instances that Nearest returns and that
	// Active takes of each zone, if there are as many.
	minListed = 2
	// otherZones is the number of further zones in an answer.
	otherZones = 2
	// Weights of the first and of further instances in the caller's zone, and of
	// instances in other zones.
	firstWeight  = 90
	secondWeight = 10
	otherWeight  = 1
)

// Options configure a Selector.
type Options struct {
	// Self is the entry of this instance.
	Self wasabiridge.InstanceEntry
	// Members returns the instances in the membership view. Nil means that there
	// are no other instances.
	Members func() []wasabiridge.Member
	// SnapshotMembers states that Members returns a list that is never modified, so that the
	// result for the same list can be used again.
	SnapshotMembers bool
	// Detached reports whether this instance has no path to any backend server. Nil
	// means never.
	Detached func() bool
	// Strained reports whether this instance has no headroom. Nil means never.
	Strained func() bool
	// Lifetime is how long callers may cache an answer.
	Lifetime wasabiridge.Millis
	// Ticket returns a new idempotency key. With nil answers contain none.
	Ticket func(wasabiridge.ClientAccountID) string
}

// Response lists the instances that a caller should use. It is encoded as JSON.
type Response struct {
	// Instance is the instance that made the answer.
	Instance wasabiridge.InstanceID `json:"instance"`
	// Lifetime is how long the answer may be cached.
	Lifetime  wasabiridge.Millis `json:"lifetime_ms"`
	Addresses []Address          `json:"addresses"`
	// Ticket is an idempotency key that costs no write to claim.
	Ticket string `json:"ticket,omitempty"`
}

// Address is one instance that the caller may use. Callers choose at random by
// weight and fall back to the next in order when an instance does not respond.
type Address struct {
	URL    string                       `json:"url"`
	Zone   wasabiridge.AvailabilityZone `json:"zone"`
	Weight int                          `json:"weight"`
}

// Selector computes address answers. It is safe for concurrent use.
type Selector struct {
	options Options
	leaving atomic.Bool
	// last holds the last result of active, which is asked for many times a second while the
	// members rarely change. Its slices must not be modified.
	last atomic.Pointer[activeResult]
}

// activeResult is the result of active for its inputs.
type activeResult struct {
	members                     []wasabiridge.Member
	leaving, detached, strained bool
	active                      []candidate
	entries                     []wasabiridge.InstanceEntry
}

// isFor reports whether the result holds for other inputs, if lists of members are not
// modified.
func (r *activeResult) isFor(o *activeResult) bool {
	return r != nil && r.leaving == o.leaving && r.detached == o.detached && r.strained == o.strained &&
		len(r.members) == len(o.members) && (len(r.members) == 0 || &r.members[0] == &o.members[0])
}

// New returns a Selector.
func New(o Options) *Selector {
	return &Selector{options: o}
}

// Drain removes this instance from all further answers.
func (b *Selector) Drain() {
	b.leaving.Store(true)
}

// Lifetime returns how long an answer may be cached.
func (b *Selector) Lifetime() wasabiridge.Millis {
	return b.options.Lifetime
}

// When there are many instances, callers are sent to few of them. The active
// instances send each other updates on their placements, and with fewer of them
// each has more complete and more recent information.
const (
	// minActive is the number of instances up to which all are active.
	minActive = 12
	// activeDivisor sets the active capacity of a larger number of instances: the
	// total capacity divided by activeDivisor, but at least that of minActive
	// average instances.
	activeDivisor = 6
)

// Active returns the instances that callers are sent to: all of a small number,
// and of a large number the largest of each zone. All instances with the same
// membership view compute the same result. Instances of equal capacity are ordered
// by their hashes. When an active instance leaves, the next one in the order
// replaces it.
//
// The failure it guards against: an instance with a fifth of a core and a slow
// link gets as many requests as one four times its size, and its responses are
// late.
//
// The result must not be modified.
func (b *Selector) Active() []wasabiridge.InstanceEntry { return b.current().entries }

func (b *Selector) active() []candidate { return b.current().active }

// current returns the active instances for the current members.
func (b *Selector) current() *activeResult {
	in := b.inputs()
	if last := b.last.Load(); b.options.SnapshotMembers && last.isFor(in) {
		return last
	}
	in.active = chooseActive(b.candidatesOf("", in))
	in.entries = entriesOf(in.active)
	b.last.Store(in)
	return in
}

// inputs returns what the candidates depend on.
func (b *Selector) inputs() *activeResult {
	in := &activeResult{leaving: b.leaving.Load()}
	in.detached = b.options.Detached != nil && b.options.Detached()
	in.strained = b.options.Strained != nil && b.options.Strained()
	if b.options.Members != nil {
		in.members = b.options.Members()
	}
	return in
}

// chooseActive returns the active ones of the instances that serve.
func chooseActive(all []candidate) []candidate {
	if len(all) <= minActive {
		return all
	}
	total := 0.0
	zones := map[wasabiridge.AvailabilityZone]selection{}
	for _, c := range all {
		total += c.entry.Weight()
		zones[c.entry.Zone] = selection{}
	}
	each := total / float64(len(zones)) * max(1.0/activeDivisor, float64(minActive)/float64(len(all)))
	sort.SliceStable(all, func(i, j int) bool { return all[i].entry.Weight() > all[j].entry.Weight() })
	var out []candidate
	for _, c := range all {
		zone := zones[c.entry.Zone]
		if zone.count >= minListed && zone.capacity >= each-rounding {
			continue
		}
		zones[c.entry.Zone] = selection{count: zone.count + 1, capacity: zone.capacity + c.headroom()}
		out = append(out, c)
	}
	return out
}

// selection is the number and the total capacity of the active instances of a zone.
type selection struct {
	count    int
	capacity float64
}

const (
	// strainedShare is the share of its capacity with which an instance without headroom
	// counts, so that active instances at most double.
	strainedShare = 0.5
	// minFreeShare is the share of a zone's active capacity that instances with headroom
	// must have for the others to be left out. Their load rises by a third at most.
	minFreeShare = 0.75
)

// rounding is the tolerance in comparisons of capacities.
const rounding = 1e-6

func entriesOf(list []candidate) []wasabiridge.InstanceEntry {
	out := make([]wasabiridge.InstanceEntry, len(list))
	for i, c := range list {
		out[i] = c.entry
	}
	return out
}

// Nearest returns the active instances of a zone, and further ones when there are
// fewer than two, so that a caller never depends on a single one. Callers choose
// among them at random; instances of other zones are avoided because traffic
// between zones costs money.
func (b *Selector) Nearest(zone wasabiridge.AvailabilityZone) []wasabiridge.InstanceEntry {
	var near, far []candidate
	for _, c := range b.active() {
		if c.entry.Zone == zone {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	near = withHeadroom(near)
	for len(near) < minListed && len(far) > 0 {
		near, far = append(near, far[0]), far[1:]
	}
	return entriesOf(near)
}

// withHeadroom returns the instances of a zone that have headroom, or all of them if the
// others would be overrun: those with headroom are too few, or have too little of the
// capacity.
func withHeadroom(all []candidate) []candidate {
	var out []candidate
	total, free := 0.0, 0.0
	for _, c := range all {
		total += c.entry.Weight()
		if !c.strained {
			free += c.entry.Weight()
			out = append(out, c)
		}
	}
	if len(out) < minListed || free < minFreeShare*total-rounding {
		return all
	}
	return out
}

// Answer returns the addresses for a client account and the zone of its caller, and
// a ticket unless this instance is leaving. An empty zone means the zone of this
// instance.
func (b *Selector) Answer(account wasabiridge.ClientAccountID, zone wasabiridge.AvailabilityZone) Response {
	if zone == "" {
		zone = b.options.Self.Zone
	}
	a := Response{Instance: b.options.Self.ID, Lifetime: b.options.Lifetime}
	a.Addresses = choose(b.candidates(account), zone)
	if b.options.Ticket != nil && !b.leaving.Load() {
		a.Ticket = b.options.Ticket(account)
	}
	return a
}

// candidate is an instance with its rendezvous hash for a client account.
type candidate struct {
	entry    wasabiridge.InstanceEntry
	score    uint64
	strained bool
}

// headroom returns the capacity with which the instance counts.
func (c candidate) headroom() float64 {
	if c.strained {
		return strainedShare * c.entry.Weight()
	}
	return c.entry.Weight()
}

// candidates returns the instances that serve, highest hash first.
func (b *Selector) candidates(account wasabiridge.ClientAccountID) []candidate {
	return b.candidatesOf(account, b.inputs())
}

func (b *Selector) candidatesOf(account wasabiridge.ClientAccountID, in *activeResult) []candidate {
	var list, detached []candidate
	switch {
	case in.leaving:
	case in.detached:
		detached = append(detached, newCandidate(account, b.options.Self, false))
	default:
		list = append(list, newCandidate(account, b.options.Self, in.strained))
	}
	for _, m := range in.members {
		switch {
		case m.ID == b.options.Self.ID || m.Leaving || m.Suspect || m.CallerURL == "":
		case m.Detached:
			detached = append(detached, newCandidate(account, m.InstanceEntry, false))
		default:
			list = append(list, newCandidate(account, m.InstanceEntry, m.Strained))
		}
	}
	if len(list) == 0 {
		list = detached
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].entry.ID < list[j].entry.ID
	})
	return list
}

func newCandidate(account wasabiridge.ClientAccountID, e wasabiridge.InstanceEntry, strained bool) candidate {
	return candidate{entry: e, strained: strained, score: xxhash.Sum64String(string(account) + "\x00" + string(e.ID))}
}

// choose returns the first localCount candidates of the caller's zone and then the
// first candidate of each of otherZones other zones. When the caller's zone has no
// instance, the first of another zone gets the highest weight.
func choose(list []candidate, zone wasabiridge.AvailabilityZone) []Address {
	addresses := []Address{}
	for _, c := range list {
		if c.entry.Zone == zone && len(addresses) < localCount {
			weight := firstWeight
			if len(addresses) > 0 {
				weight = secondWeight
			}
			addresses = append(addresses, Address{URL: c.entry.CallerURL, Zone: c.entry.Zone, Weight: weight})
		}
	}
	seen := map[wasabiridge.AvailabilityZone]bool{zone: true}
	for _, c := range list {
		if seen[c.entry.Zone] || len(seen) > otherZones {
			continue
		}
		seen[c.entry.Zone] = true
		weight := otherWeight
		if len(addresses) == 0 {
			weight = firstWeight
		}
		addresses = append(addresses, Address{URL: c.entry.CallerURL, Zone: c.entry.Zone, Weight: weight})
	}
	return addresses
}
