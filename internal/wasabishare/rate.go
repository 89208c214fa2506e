package wasabishare

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// slowSpan and fastSpan are the time constants of a rate, in milliseconds.
	slowSpan = 1000.0
	fastSpan = 250.0
	// significantRequests is how many requests the short span must hold, or would hold at
	// the rate of the long one, to be believed.
	significantRequests = 8.0
	// significantChange is the fraction by which the short span must differ from the long
	// one to replace it.
	significantChange = 0.3
	// minObserved is the least time over which a rate is measured, in milliseconds.
	minObserved = 50.0
)

// rate is the work per second of a flow of requests. It follows a sudden change of a dense
// flow within fastSpan, and averages a sparse one over slowSpan.
type rate struct {
	slow, fast               float64
	slowRequests, fastCounts float64
	at                       wasabiridge.Millis
}

func (r *rate) decay(now wasabiridge.Millis) {
	if now <= r.at {
		return
	}
	passed := float64(now - r.at)
	slow, fast := math.Exp(-passed/slowSpan), math.Exp(-passed/fastSpan)
	r.slow, r.slowRequests = r.slow*slow, r.slowRequests*slow
	r.fast, r.fastCounts = r.fast*fast, r.fastCounts*fast
	r.at = now
}

func (r *rate) add(now wasabiridge.Millis, w float64) {
	r.decay(now)
	r.slow, r.fast = r.slow+w, r.fast+w
	r.slowRequests, r.fastCounts = r.slowRequests+1, r.fastCounts+1
}

// merge adds another flow.
func (r *rate) merge(now wasabiridge.Millis, other rate) {
	r.decay(now)
	other.decay(now)
	r.slow, r.fast = r.slow+other.slow, r.fast+other.fast
	r.slowRequests, r.fastCounts = r.slowRequests+other.slowRequests, r.fastCounts+other.fastCounts
}

// perSecond returns the rate. Requests have been counted since the given time.
func (r *rate) perSecond(now, since wasabiridge.Millis) float64 {
	r.decay(now)
	observed := max(minObserved, float64(now-since))
	slow := r.slow / (slowSpan * (1 - math.Exp(-observed/slowSpan))) * 1000
	if max(r.fastCounts, r.slowRequests*fastSpan/slowSpan) < significantRequests {
		return slow
	}
	fast := r.fast / (fastSpan * (1 - math.Exp(-observed/fastSpan))) * 1000
	if math.Abs(fast-slow) <= significantChange*slow {
		return slow
	}
	return fast
}
