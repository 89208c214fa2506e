package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// recordMigration records an answer that continues from migrated memory. It needs no
// prompt computation.
func (p *Placer) recordMigration(rep *replica, a attempt) attempt {
	a.silenceBound = suspectAfter
	rep.own = rep.own.plus(load{requests: 1, tokens: a.prompt.memory()})
	return a
}

// maxTargetLoad is the highest load, by slots or memory, that a replica may reach
// through a migrated answer. A fuller replica would have to evict running requests.
const maxTargetLoad = 0.9

// MigrationTarget chooses the replica to which a running answer is migrated when it has
// to leave the replica from. The target has the same software, serves version w of the
// weights, has room and is not excluded. MigrationTarget reports false when there is none,
// when w is zero, or when the engines of the pool cannot migrate answers.
func (p *Placer) MigrationTarget(now wasabiridge.Millis, r wasabiridge.Request, from wasabiridge.BackendServer, w wasabiridge.WeightsVersion, excluded []wasabiridge.BackendServerID) (wasabiridge.BackendServer, bool) {
	pl := p.pools[r.Action.Pool]
	if pl == nil || !pl.config.MigratesRequests || w == 0 {
		return wasabiridge.BackendServer{}, false
	}
	pr := pl.promptOf(pl.normalizeRequest(r))
	q := wasabiridge.PlaceQuery{
		Request: pl.normalizeRequest(r), Pool: pl.config, Weights: w, Excluded: append([]wasabiridge.BackendServerID{from.ID}, excluded...),
		Origin: &wasabiridge.StreamOrigin{Pool: r.Action.Pool, Software: from.Software},
	}
	var best *replica
	least := maxTargetLoad
	for _, rep := range pl.replicas {
		ratio := rep.loadRatio(now, pr.memory())
		if now < rep.drainUntil {
			// The replica is draining and would soon have to migrate the answer again.
			ratio += maxTargetLoad / 2
		}
		// A replica that failed recently is not probed with a running answer.
		if ratio < least && rep.failureBackoff == 0 && p.eligible(now, rep, q) && p.hasRoom(now, pl, rep, &pr) {
			best, least = rep, ratio
		}
	}
	if best == nil {
		return wasabiridge.BackendServer{}, false
	}
	return best.server, true
}
