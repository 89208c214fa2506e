package wasabistream

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// homes is the number of other instances that remember a stream.
	homes = 3
	// maxLife bounds how long a stream is remembered.
	maxLife = 2 * wasabiridge.Minute
	// maxRecords bounds the streams that are remembered. Further ones are not, so that they
	// can be resumed only by instances that remember them.
	maxRecords = 1 << 16
	// sweepInterval is how often expired records are removed.
	sweepInterval = wasabiridge.Second
	// maxPending bounds the streams that wait to be sent to one instance.
	maxPending = 1024
)

// Key returns the key of the stream that began with a caller's request. It contains the
// account, so that no account can resume or affect the streams of another one.
func Key(account wasabiridge.ClientAccountID, began wasabiridge.RequestID) wasabiridge.StreamKey {
	data := binary.AppendUvarint(nil, uint64(len(account)))
	data = append(append(data, account...), began...)
	sum := sha256.Sum256(data)
	return wasabiridge.StreamKey(binary.BigEndian.Uint64(sum[:]))
}

// First returns the n instances with the highest weights for a key, in order (rendezvous
// hashing), so that all instances that know the same others choose the same ones. The
// instances that remember a stream are the first of those that callers are sent to.
func First(key wasabiridge.StreamKey, peers []wasabiridge.InstanceEntry, n int) []wasabiridge.InstanceEntry {
	type weighted struct {
		weight uint64
		peer   int
	}
	best := make([]weighted, 0, n+1)
	for i := range peers {
		w := weighted{weight: mix(uint64(key) ^ xxhash.Sum64String(string(peers[i].ID))), peer: i}
		at := len(best)
		for at > 0 && best[at-1].weight < w.weight {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, w)
			best = best[:min(len(best), n)]
		}
	}
	out := make([]wasabiridge.InstanceEntry, len(best))
	for i, b := range best {
		out[i] = peers[b.peer]
	}
	return out
}

// mix is the finalizer of SplitMix64. Without it, one instance would have the highest weight
// for keys that differ in few bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// record is what is known of a stream.
type record struct {
	origin   *wasabiridge.StreamOrigin
	sequence int
	// conflicting is set when different origins were received with one sequence. A caller
	// has used one identifier for several streams, so that the origin is not known.
	conflicting bool
	expires     wasabiridge.Millis
}

// Table remembers where streams began. It is deterministic and not safe for concurrent
// use.
type Table struct {
	records map[wasabiridge.StreamKey]record
	// origins holds one copy of each origin.
	origins map[wasabiridge.StreamOrigin]*wasabiridge.StreamOrigin
	sweepAt wasabiridge.Millis
	// pending are the streams that other instances have yet to be sent, by address.
	pending map[string][]wasabiridge.StreamUpdate
	dropped uint64
}

// NewTable returns a Table without streams.
func NewTable() *Table {
	return &Table{
		records: map[wasabiridge.StreamKey]record{}, origins: map[wasabiridge.StreamOrigin]*wasabiridge.StreamOrigin{},
		pending: map[string][]wasabiridge.StreamUpdate{},
	}
}

// Begin records that a request which begins a stream is sent to a server, and queues that for
// the instances of peers that are to remember it. It returns their addresses, and those for
// which nothing else was queued.
func (t *Table) Begin(now wasabiridge.Millis, u wasabiridge.StreamUpdate, peers []wasabiridge.InstanceEntry) (notified, idle []string) {
	t.Receive(now, u)
	for _, e := range First(u.Key, peers, homes) {
		notified = append(notified, e.PeerAddress)
		waiting := t.pending[e.PeerAddress]
		if len(waiting) >= maxPending {
			t.dropped++
			continue
		}
		if len(waiting) == 0 {
			idle = append(idle, e.PeerAddress)
		}
		t.pending[e.PeerAddress] = append(waiting, u)
	}
	return notified, idle
}

// Take removes and returns the streams that wait to be sent to an instance.
func (t *Table) Take(address string) []wasabiridge.StreamUpdate {
	out := t.pending[address]
	delete(t.pending, address)
	return out
}

// Withdraw removes a stream from what waits to be sent.
func (t *Table) Withdraw(key wasabiridge.StreamKey, addresses []string) {
	for _, address := range addresses {
		t.pending[address] = slices.DeleteFunc(t.pending[address], func(u wasabiridge.StreamUpdate) bool { return u.Key == key })
		if len(t.pending[address]) == 0 {
			delete(t.pending, address)
		}
	}
}

// Receive records where a stream begins. A record that is repeated is kept for longer.
func (t *Table) Receive(now wasabiridge.Millis, u wasabiridge.StreamUpdate) {
	t.sweep(now)
	r, known := t.records[u.Key]
	known = known && now < r.expires
	if !known && len(t.records) >= maxRecords {
		t.dropped++
		return
	}
	switch {
	case !known:
		r = record{origin: t.intern(u.Origin), sequence: u.Sequence}
	case u.Sequence > r.sequence:
		r.origin, r.sequence, r.conflicting = t.intern(u.Origin), u.Sequence, false
	case u.Sequence == r.sequence:
		r.conflicting = r.conflicting || *r.origin != u.Origin
	}
	r.expires = max(r.expires, now+min(max(u.Life, 0), maxLife))
	t.records[u.Key] = r
}

func (t *Table) intern(o wasabiridge.StreamOrigin) *wasabiridge.StreamOrigin {
	if t.origins[o] == nil {
		t.origins[o] = &o
	}
	return t.origins[o]
}

// Find returns where a stream began, if that is known.
func (t *Table) Find(now wasabiridge.Millis, key wasabiridge.StreamKey) wasabiridge.StreamAnswer {
	r, ok := t.records[key]
	switch {
	case !ok || now >= r.expires || r.origin.Pool == "":
		return wasabiridge.StreamAnswer{}
	case r.conflicting:
		return wasabiridge.StreamAnswer{Conflicting: true}
	}
	return wasabiridge.StreamAnswer{Known: true, Origin: *r.origin, Sequence: r.sequence}
}

// sweep removes expired records, and origins that no record has.
func (t *Table) sweep(now wasabiridge.Millis) {
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + sweepInterval
	used := map[*wasabiridge.StreamOrigin]bool{}
	for key, r := range t.records {
		if now >= r.expires {
			delete(t.records, key)
			continue
		}
		used[r.origin] = true
	}
	maps.DeleteFunc(t.origins, func(_ wasabiridge.StreamOrigin, o *wasabiridge.StreamOrigin) bool { return !used[o] })
}

// Len returns the number of streams that are remembered, and the number of those that were
// not for want of room.
func (t *Table) Len() (records int, dropped uint64) { return len(t.records), t.dropped }
