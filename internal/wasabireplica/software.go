package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabistream"
)

// softwareState is what is known of a software version of the replicas of a pool.
type softwareState struct {
	// since is when the version was first listed. Zero means before the first list.
	since wasabiridge.Millis
	// registered reports that the version is registered at the platform.
	registered bool
}

// mayBegin reports whether streams may begin at the version.
func (s softwareState) mayBegin(now wasabiridge.Millis) bool {
	return s.registered && (s.since == 0 || now-s.since >= wasabistream.SettleTime)
}

// noteSoftware records the software versions of the replicas. What the first list contains
// counts as listed for long, so that an instance that has just started serves at once.
func (pl *pool) noteSoftware(now wasabiridge.Millis) {
	if len(pl.replicas) == 0 {
		return
	}
	out := map[wasabiridge.SoftwareVersion]softwareState{}
	for _, r := range pl.replicas {
		state, known := pl.software[r.server.Software]
		if !known && len(pl.software) > 0 {
			state.since = now
		}
		state.registered = r.server.SoftwareRegistered
		out[r.server.Software] = state
	}
	pl.software = out
}

// restrictsBegins reports whether streams may begin at some versions of the replicas and not
// at others.
func (pl *pool) restrictsBegins(now wasabiridge.Millis) bool {
	allowed := 0
	for _, s := range pl.software {
		if s.mayBegin(now) {
			allowed++
		}
	}
	return allowed > 0 && allowed < len(pl.software)
}

// mayBegin reports whether the request, if it begins a stream, may begin it at a replica.
//
// It guards against streams of a version that other instances have not seen yet. If this
// instance were killed, another one would take such a stream for one of the only version
// that it knows.
func (pl *pool) mayBegin(now wasabiridge.Millis, r *replica, q wasabiridge.PlaceQuery) bool {
	return q.Origin != nil || !q.Request.Action.Resume || pl.software[r.server.Software].mayBegin(now)
}
