package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// minRetention and maxRetention bound the time for which a cache is assumed to keep a
	// segment.
	minRetention = 200 * wasabiridge.Millis(1)
	maxRetention = 20 * wasabiridge.Second
	// minScarcity and maxScarcity bound the multiple of copyLoss that counts for a token
	// of a segment.
	minScarcity = 0.2
	maxScarcity = 5.0
	// usesToRetain is the number of uses of a segment for which a replica has to keep it to
	// make a copy there worth as much as what yields to it.
	usesToRetain = 20.0
)

// updateRetention updates for how long replicas keep segments, if their speeds differ.
func (pl *pool) updateRetention(now wasabiridge.Millis) {
	for _, r := range pl.replicas {
		r.retention = 0
		if pl.uneven {
			r.retention = r.cache.retention(now)
		}
	}
}

// evictionLoss returns the loss by what has to yield in the memory of the replica for a
// prompt from a source. Where servers are even, it counts what is fetched. Where they
// differ, it counts the more the sooner the replica evicts segments, and the less the more
// often the segment itself is used.
//
// It guards against segments that scatter. Fast replicas compute a prompt in less time, so
// all segments would be computed and copied there, where they evict each other, while the
// memory of slow ones is idle. And a replica that is slow for a moment would have its
// segments copied elsewhere, where they evict others that are soon needed again.
func (r *replica) evictionLoss(s source, interval wasabiridge.Millis) float64 {
	loss := copyLoss * float64(s.copied)
	if r.retention == 0 {
		return loss
	}
	scarcity := min(max(usesToRetain*float64(interval)/float64(r.retention), minScarcity), maxScarcity)
	return loss*scarcity + copyLoss*float64(s.computed)*(scarcity-1)
}
