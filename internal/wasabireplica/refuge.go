package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// sentMoved notes an answer that goes on from its memory: there is nothing to
// compute.
func (p *Placer) sentMoved(rep *replica, a sending) sending {
	a.bound = suspectAfter
	rep.own = rep.own.plus(occupation{inside: 1, tokens: a.prompt.memory()})
	return a
}

// refugeShare is how full, by slots or memory, a replica may become by an answer
// that is moved there. A fuller one would have to push out what runs.
const refugeShare = 0.9

// Refuge chooses where an answer may go on that must leave a replica: at one with
// the same weights that has room.
func (p *Placer) Refuge(now wasabiridge.Millis, r wasabiridge.Request, w wasabiridge.WeightsVersion, not []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
	pl := p.pools[r.Action.Pool]
	if pl == nil || !pl.config.MovesRuns || w == 0 {
		return wasabiridge.BackendServer{}, false
	}
	pr := pl.promptOf(pl.asServed(r))
	q := wasabiridge.PlaceQuery{Request: pl.asServed(r), Weights: w, Excluded: not}
	var best *replica
	least := refugeShare
	for _, rep := range pl.replicas {
		full := rep.fullness(now, pr.memory())
		if now < rep.easeUntil {
			// It will have to send the answer on soon.
			full += refugeShare / 2
		}
		// One that failed a moment ago is not tried with an answer that runs.
		if full < least && rep.pause == 0 && p.eligible(now, rep, q) {
			best, least = rep, full
		}
	}
	if best == nil {
		return wasabiridge.BackendServer{}, false
	}
	return best.server, true
}
