package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabistream"
)

// noteSoftware records since when the software versions of the replicas have been listed.
// What the first list contains counts as listed for long, so that an instance that has just
// started serves at once.
func (pl *pool) noteSoftware(now wasabiridge.Millis) {
	since := map[wasabiridge.SoftwareVersion]wasabiridge.Millis{}
	for _, r := range pl.replicas {
		v := r.server.Software
		at, known := pl.listedSince[v]
		if !known && len(pl.listedSince) > 0 {
			at = now
		}
		since[v] = at
	}
	if len(since) > 0 {
		pl.listedSince = since
	}
}

// hasNewSoftware reports whether some version of the replicas is so new that streams should
// not begin at it.
func (pl *pool) hasNewSoftware(now wasabiridge.Millis) bool {
	for _, at := range pl.listedSince {
		if isNew(now, at) {
			return true
		}
	}
	return false
}

func isNew(now, since wasabiridge.Millis) bool {
	return since > 0 && now-since < wasabistream.SettleTime
}

// mayBegin reports whether the request, if it begins a stream, may begin it at a replica.
//
// It guards against streams of a version that other instances have not seen yet. If this
// instance were killed, another one would take such a stream for one of the only version
// that it knows.
func (pl *pool) mayBegin(now wasabiridge.Millis, r *replica, q wasabiridge.PlaceQuery) bool {
	return q.Origin != nil || !q.Request.Action.Resume || !isNew(now, pl.listedSince[r.server.Software])
}
