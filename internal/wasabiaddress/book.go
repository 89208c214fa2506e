// Package wasabiaddress tells callers which instances to use.
//
// No balancer stands before the system: callers ask any instance, keep the
// answer for a while and connect on their own. The answer steers the requests
// of one client account to few instances, so that each of them knows what its
// engines have cached for that account. It never decides about correctness;
// every instance serves every request.
//
// # Steering
//
// Instances are ordered by rendezvous hashing of the client account, which
// all instances agree on without a message. The first two of the caller's zone
// get nearly all the weight. One instance of each of two further zones stands
// behind them, so that a caller whose zone fails has an address that works.
// Instances that leave, and instances that do not answer their peers, are left
// out.
//
// # Usage
//
//	book := wasabiaddress.New(wasabiaddress.Options{
//		Self: entry, Members: members.Snapshot, Lifetime: 10 * wasabiridge.Second,
//	})
//	answer, lifetime := book.Addresses("liftwell", "port-of-spain")
package wasabiaddress

import (
	"sort"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// localCount is how many instances of the caller's zone are named. With
	// one, its loss would cool all caches of the account's requests at once.
	localCount = 2
	// leastNamed is how many instances Nearest names, if there are so many.
	leastNamed = 2
	// otherZones is how many further zones are named.
	otherZones = 2
	// Weights of the first and of further local instances, and of those in
	// other zones.
	firstWeight  = 90
	secondWeight = 10
	otherWeight  = 1
)

// Options are the parts of a Book.
type Options struct {
	// Self is this instance.
	Self wasabiridge.InstanceEntry
	// Members returns what is known of the other instances. Nil means that
	// there are none.
	Members func() []wasabiridge.Member
	// Lifetime is how long callers may keep an answer.
	Lifetime wasabiridge.Millis
	// Ticket returns a new idempotency key. Nil means that answers hold none.
	Ticket func(wasabiridge.ClientAccountID) string
}

// Answer is what a caller gets.
type Answer struct {
	Instance wasabiridge.InstanceID `json:"instance"`
	// Lifetime is how long the answer may be kept.
	Lifetime  wasabiridge.Millis `json:"lifetime_ms"`
	Addresses []Address          `json:"addresses"`
	// Ticket is an idempotency key that costs no write to claim.
	Ticket string `json:"ticket,omitempty"`
}

// Address is one instance that the caller may use. Callers choose at random by
// weight and go on to the next in order when one does not answer.
type Address struct {
	URL    string                       `json:"url"`
	Zone   wasabiridge.AvailabilityZone `json:"zone"`
	Weight int                          `json:"weight"`
}

// Book makes address answers. It is safe for concurrent use.
type Book struct {
	options Options
	leaving atomic.Bool
}

// New returns a book.
func New(o Options) *Book {
	return &Book{options: o}
}

// Leave takes this instance out of all further answers.
func (b *Book) Leave() {
	b.leaving.Store(true)
}

// Lifetime returns how long an answer may be kept.
func (b *Book) Lifetime() wasabiridge.Millis {
	return b.options.Lifetime
}

// Few instances take the requests of many: they tell each other what they send
// where, and the fewer they are, the more each knows at once.
const (
	// activeLeast is up to how many instances all are named.
	activeLeast = 12
	// activeShare is the part of the capacity of a larger number that is named,
	// and at least that of activeLeast average instances.
	activeShare = 6
)

// Active returns the instances that callers are sent to: all of a small number,
// and of a large one the largest of each zone, the same at every instance.
// Instances of one size go by their hashes. When one of them goes, the next one
// stands in.
//
// The failure it guards against: an instance with a fifth of a core and a slow
// link gets as many requests as one four times its size, and its answers come
// late.
func (b *Book) Active() []wasabiridge.InstanceEntry {
	all := b.candidates("")
	if len(all) <= activeLeast {
		return entriesOf(all)
	}
	total := 0.0
	zones := map[wasabiridge.AvailabilityZone]taken{}
	for _, c := range all {
		total += c.entry.Weight()
		zones[c.entry.Zone] = taken{}
	}
	each := total / float64(len(zones)) * max(1.0/activeShare, float64(activeLeast)/float64(len(all)))
	sort.SliceStable(all, func(i, j int) bool { return all[i].entry.Weight() > all[j].entry.Weight() })
	var out []wasabiridge.InstanceEntry
	for _, c := range all {
		zone := zones[c.entry.Zone]
		if zone.count >= leastNamed && zone.capacity >= each-rounding {
			continue
		}
		zones[c.entry.Zone] = taken{count: zone.count + 1, capacity: zone.capacity + c.entry.Weight()}
		out = append(out, c.entry)
	}
	return out
}

// taken is what was named of a zone.
type taken struct {
	count    int
	capacity float64
}

// rounding is the difference in capacity that counts as none.
const rounding = 1e-6

func entriesOf(list []candidate) []wasabiridge.InstanceEntry {
	out := make([]wasabiridge.InstanceEntry, len(list))
	for i, c := range list {
		out[i] = c.entry
	}
	return out
}

// Nearest returns the active instances of a zone, and further ones when there
// are fewer than two, so that a caller never depends on a single one. Callers
// choose at random among them, and bytes between zones cost.
func (b *Book) Nearest(zone wasabiridge.AvailabilityZone) []wasabiridge.InstanceEntry {
	var near, far []wasabiridge.InstanceEntry
	for _, e := range b.Active() {
		if e.Zone == zone {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	for len(near) < leastNamed && len(far) > 0 {
		near, far = append(near, far[0]), far[1:]
	}
	return near
}

// Answer returns the answer for a client account and the zone of its caller.
// An empty zone means the zone of this instance.
func (b *Book) Answer(account wasabiridge.ClientAccountID, zone wasabiridge.AvailabilityZone) Answer {
	if zone == "" {
		zone = b.options.Self.Zone
	}
	a := Answer{Instance: b.options.Self.ID, Lifetime: b.options.Lifetime}
	a.Addresses = choose(b.candidates(account), zone)
	if b.options.Ticket != nil && !b.leaving.Load() {
		a.Ticket = b.options.Ticket(account)
	}
	return a
}

// candidate is an instance with its place in the order of a client account.
type candidate struct {
	entry wasabiridge.InstanceEntry
	score uint64
}

// candidates returns the instances that serve, best first.
func (b *Book) candidates(account wasabiridge.ClientAccountID) []candidate {
	var list []candidate
	if !b.leaving.Load() {
		list = append(list, newCandidate(account, b.options.Self))
	}
	if b.options.Members != nil {
		for _, m := range b.options.Members() {
			if m.ID != b.options.Self.ID && !m.Leaving && !m.Suspect && m.CallerURL != "" {
				list = append(list, newCandidate(account, m.InstanceEntry))
			}
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].entry.ID < list[j].entry.ID
	})
	return list
}

func newCandidate(account wasabiridge.ClientAccountID, e wasabiridge.InstanceEntry) candidate {
	return candidate{entry: e, score: xxhash.Sum64String(string(account) + "\x00" + string(e.ID))}
}

// choose takes the best of the caller's zone and then the best of other zones.
// When the caller's zone has no instance the first of the others leads.
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
