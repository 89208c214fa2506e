package wasabibaseline

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// view is what all baselines know of backend servers: who is out of service,
// the last load report, and what was sent since.
type view struct {
	random  *rand.Rand
	out     map[wasabiridge.BackendServerID]bool
	leaving map[wasabiridge.BackendServerID]bool
	load    map[wasabiridge.BackendServerID]int
	lives   map[wasabiridge.BackendServerID]wasabiridge.Incarnation
}

func newView(seed uint64) *view {
	return &view{
		random:  rand.New(rand.NewPCG(seed, 2)),
		out:     make(map[wasabiridge.BackendServerID]bool),
		leaving: make(map[wasabiridge.BackendServerID]bool),
		load:    make(map[wasabiridge.BackendServerID]int),
		lives:   make(map[wasabiridge.BackendServerID]wasabiridge.Incarnation),
	}
}

// Sent counts an attempt against its server.
func (v *view) Sent(_ wasabiridge.Millis, _ wasabiridge.Request, _ wasabiridge.AttemptID, p wasabiridge.Placement) {
	v.load[p.Backend.ID]++
}

// Observe learns of load, losses and returns.
func (v *view) Observe(_ wasabiridge.Millis, e wasabiridge.Event) {
	switch e := e.(type) {
	case wasabiridge.LoadReported:
		v.report(e.Report)
	case wasabiridge.AttemptEnded:
		v.load[e.Backend] = max(0, v.load[e.Backend]-1)
	case wasabiridge.BackendLost:
		v.out[e.Backend] = true
	case wasabiridge.BackendLeaving:
		v.leaving[e.Backend] = true
	}
}

// report takes a load report. A report of the life that was lost is old news
// and does not bring the server back.
func (v *view) report(r wasabiridge.LoadReport) {
	if v.out[r.Backend] && r.Incarnation <= v.lives[r.Backend] {
		return
	}
	v.out[r.Backend] = false
	v.lives[r.Backend] = max(v.lives[r.Backend], r.Incarnation)
	v.load[r.Backend] = r.Running + r.Waiting
	if r.Leaving {
		v.leaving[r.Backend] = true
	}
}

// eligible lists the servers that may be chosen. Servers believed lost come
// into question only when all are, because the belief may be wrong.
func (v *view) eligible(q wasabiridge.PlaceQuery) []wasabiridge.BackendServer {
	var alive, lost []wasabiridge.BackendServer
	for _, b := range q.Pool.Backends {
		switch {
		case v.leaving[b.ID] || excluded(q, b.ID):
		case v.out[b.ID]:
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

// weigh is the rendezvous weight of a server for a key.
func weigh(key uint64, id wasabiridge.BackendServerID) uint64 {
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, key), id...))
}

func firstKey(r wasabiridge.Request) uint64 {
	if len(r.Chain.Blocks) == 0 {
		return xxhash.Sum64String(string(r.ID))
	}
	return uint64(r.Chain.Blocks[0])
}

func lastKey(r wasabiridge.Request) uint64 {
	if len(r.Chain.Blocks) == 0 {
		return xxhash.Sum64String(string(r.ID))
	}
	return uint64(r.Chain.Blocks[len(r.Chain.Blocks)-1])
}
