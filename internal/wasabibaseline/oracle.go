package wasabibaseline

import (
	"github.com/wasabiridge/wasabiridge"
)

// Forecast is the exact state of a backend server for one prompt.
type Forecast struct {
	Incarnation wasabiridge.Incarnation
	// Down says that the server takes no work.
	Down bool
	// Wait is how long the prompt would wait for others.
	Wait wasabiridge.Millis
	// Cached counts tokens that will be cached when its turn comes.
	Cached int
	// Compute is how long the rest of the prompt takes.
	Compute wasabiridge.Millis
}

// World knows every cache and queue exactly.
type World interface {
	// Forecast tells what a prompt would meet at a server.
	Forecast(now wasabiridge.Millis, b wasabiridge.BackendServerID, c wasabiridge.Chain) Forecast
}

// oracleCaution is how many times the oracle counts the time to compute a
// prompt. Above 1 it minds that the time is taken from other requests, and
// that what is computed evicts other blocks.
const oracleCaution = 2

type oracle struct {
	*view
	world World
}

// NewOracle returns a Placer that reads the state of all servers from the
// world. It takes the server with the earliest first token, counting the time
// to compute the prompt more than once, and the rule's weight for recomputed
// blocks on top.
func NewOracle(seed uint64, w World) wasabiridge.Placer {
	return &oracle{view: newView(seed), world: w}
}

// Place chooses the best server.
func (p *oracle) Place(now wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	var best wasabiridge.Placement
	bestCost, found := 0.0, false
	servers := p.eligible(q)
	if len(servers) == 0 {
		return best, false
	}
	start := p.random.IntN(len(servers))
	for i := range servers {
		b := servers[(start+i)%len(servers)]
		f := p.world.Forecast(now, b.ID, q.Request.Chain)
		if f.Down {
			continue
		}
		blocks := float64(q.Request.Chain.Tokens-f.Cached) / float64(max(1, q.Request.Chain.BlockTokens))
		cost := float64(f.Wait) + oracleCaution*float64(f.Compute) + q.Request.Action.RecomputeWeight*blocks
		if found && cost >= bestCost {
			continue
		}
		bestCost, found = cost, true
		best = wasabiridge.Placement{
			Backend: b, Incarnation: f.Incarnation, ClaimedTokens: f.Cached,
			ExpectedWait: f.Wait + f.Compute, Why: "oracle",
		}
	}
	return best, found
}
