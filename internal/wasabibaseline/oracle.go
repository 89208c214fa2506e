package wasabibaseline

import (
	"github.com/wasabiridge/wasabiridge"
)

// Forecast describes how a backend server would process one prompt.
type Forecast struct {
	Incarnation wasabiridge.Incarnation
	// Down means that the server accepts no requests.
	Down bool
	// Wait is how long the prompt would be queued behind other requests.
	Wait wasabiridge.Millis
	// Cached is the number of prompt tokens that will be in the cache when
	// processing of the prompt starts.
	Cached int
	// Compute is how long the tokens that are not cached take to compute.
	Compute wasabiridge.Millis
}

// Forecaster gives exact forecasts, which only a simulation can do.
type Forecaster interface {
	// Forecast returns the forecast for a prompt at server b if it is sent at
	// now.
	Forecast(now wasabiridge.Millis, b wasabiridge.BackendServerID, c wasabiridge.Chain) Forecast
}

// computeCostFactor is the weight of the compute time of a prompt in the cost that
// the oracle minimizes. It is above 1 because computing also delays other requests
// and evicts other blocks from the cache.
const computeCostFactor = 2

type oracle struct {
	*view
	world Forecaster
}

// NewOracle returns a Placer that uses the exact forecasts of w. It chooses the
// server with the lowest cost: the wait, plus the compute time times a factor,
// plus the number of blocks to compute times the RecomputeWeight of the rule. Ties
// are broken at random.
func NewOracle(seed uint64, w Forecaster) wasabiridge.Placer {
	return &oracle{view: newView(seed), world: w}
}

// Place chooses the server with the lowest cost. It returns false if every server
// is down.
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
		cost := float64(f.Wait) + computeCostFactor*float64(f.Compute) + q.Request.Action.RecomputeWeight*blocks
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
