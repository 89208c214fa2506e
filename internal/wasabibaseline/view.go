package wasabibaseline

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// view is the state of backend servers that all baselines derive from events:
// which are lost or leaving, and how many requests each has.
type view struct {
	random  *rand.Rand
	lost    map[wasabiridge.BackendServerID]bool
	leaving map[wasabiridge.BackendServerID]bool
	// load is the number of requests by the last load report and the attempts
	// sent and ended since.
	load map[wasabiridge.BackendServerID]int
	// incarnations has the highest incarnation reported by each server.
	incarnations map[wasabiridge.BackendServerID]wasabiridge.Incarnation
}

func newView(seed uint64) *view {
	return &view{
		random:       rand.New(rand.NewPCG(seed, 2)),
		lost:         make(map[wasabiridge.BackendServerID]bool),
		leaving:      make(map[wasabiridge.BackendServerID]bool),
		load:         make(map[wasabiridge.BackendServerID]int),
		incarnations: make(map[wasabiridge.BackendServerID]wasabiridge.Incarnation),
	}
}

// Sent adds an attempt to the load of its server.
func (v *view) Sent(_ wasabiridge.Millis, _ wasabiridge.Request, _ wasabiridge.AttemptID, p wasabiridge.Placement) {
	v.load[p.Backend.ID]++
}

// Observe updates the view with load reports, ended attempts, and lost and leaving
// servers.
func (v *view) Observe(_ wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.LoadReported:
		v.observeLoad(e.Report)
	case wasabiridge.AttemptEnded:
		v.load[e.Backend] = max(0, v.load[e.Backend]-1)
	case wasabiridge.BackendLost:
		v.lost[e.Backend] = true
	case wasabiridge.BackendLeaving:
		v.leaving[e.Backend] = true
	}
}

// observeLoad applies a load report. For a lost server, it ignores a report of an
// incarnation that is not newer than the last one: the report was sent before the
// server was lost.
func (v *view) observeLoad(r wasabiridge.LoadReport) {
	if v.lost[r.Backend] && r.Incarnation <= v.incarnations[r.Backend] {
		return
	}
	v.lost[r.Backend] = false
	v.incarnations[r.Backend] = max(v.incarnations[r.Backend], r.Incarnation)
	v.load[r.Backend] = r.Running + r.Waiting
	if r.Leaving {
		v.leaving[r.Backend] = true
	}
}

// eligible returns the servers that may be chosen. Servers that are assumed lost
// are returned only if no other server is left, because the assumption may be
// wrong.
func (v *view) eligible(q wasabiridge.PlaceQuery) []wasabiridge.BackendServer {
	var alive, lost []wasabiridge.BackendServer
	for _, b := range q.Pool.Backends {
		switch {
		case v.leaving[b.ID] || excluded(q, b.ID) || !q.CanContinue(b):
		case v.lost[b.ID]:
			lost = append(lost, b)
		default:
			alive = append(alive, b)
		}
	}
	if len(alive) == 0 {
		return lost
	}
	return alive
}

func excluded(q wasabiridge.PlaceQuery, id wasabiridge.BackendServerID) bool {
	for _, x := range q.Excluded {
		if x == id {
			return true
		}
	}
	return false
}

// rendezvousWeight returns the rendezvous hashing weight of a server for a key.
func rendezvousWeight(key uint64, id wasabiridge.BackendServerID) uint64 {
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, key), id...))
}

// firstKey returns the hash of the first block of the prompt, or the hash of the
// request ID if the prompt has no blocks.
func firstKey(r wasabiridge.Request) uint64 {
	if len(r.Chain.Blocks) == 0 {
		return xxhash.Sum64String(string(r.ID))
	}
	return uint64(r.Chain.Blocks[0])
}

// lastKey returns the hash of the last full block, which depends on all blocks of
// the prompt before it, or the hash of the request ID if the prompt has no blocks.
func lastKey(r wasabiridge.Request) uint64 {
	if len(r.Chain.Blocks) == 0 {
		return xxhash.Sum64String(string(r.ID))
	}
	return uint64(r.Chain.Blocks[len(r.Chain.Blocks)-1])
}
