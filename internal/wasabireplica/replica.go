package wasabireplica

import (
	"maps"
	"math"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
	"github.com/wasabiridge/wasabiridge/internal/wasabirate"
)

const (
	// A replica that could not be reached or did not answer is in backoff for
	// minFailureBackoff, which doubles with every failure up to maxFailureBackoff.
	minFailureBackoff = 300 * wasabiridge.Millis(1)
	maxFailureBackoff = 2 * wasabiridge.Second
	// overloadBackoff is the backoff of a replica that refused a request because it was
	// full.
	overloadBackoff = 120 * wasabiridge.Millis(1)
	// reportExpiry is how long a load report stays valid.
	reportExpiry = 400 * wasabiridge.Millis(1)
	// smoothing is the weight of one answer in the moving averages of a replica.
	smoothing = 0.1
	// failurePenalty is the cost of a certain failure, in milliseconds.
	failurePenalty = 400.0
	// toleratedFailures is the failure rate that costs nothing: some requests fail at
	// every replica.
	toleratedFailures = 0.2
	// observedTime is how long failures and slow answers have their whole effect, and
	// penaltyHalfLife the time after which half of that is left then.
	observedTime    = 5 * wasabiridge.Second
	penaltyHalfLife = 10 * wasabiridge.Second
	// A replica counts as slow once it has more than minSamples answers and its delay
	// exceeds slowFactor times that of the pool.
	minSamples = 8
	slowFactor = 2
	// A replica may send nothing for silenceFactor times the first-byte target, but at
	// least minSilence, before an idempotent request is sent to another one.
	silenceFactor = 4
	minSilence    = 800 * wasabiridge.Millis(1)
	// misdirectedTime is how long a replica gets no requests after a server at its address
	// stated to be another one. The list has lost the replica by then if that is so.
	misdirectedTime = 5 * wasabiridge.Second
	// suspectAfter is the time without any sign of the replica after which a request
	// counts as unanswered. Twice the expected time is added. Plain services take up to
	// half a second.
	suspectAfter = 600 * wasabiridge.Millis(1)
	// queueFactor is how many times its expected time a queue may take.
	queueFactor = 2
	// noPromptWork is the computing time of a request without a prompt, in
	// milliseconds.
	noPromptWork = 0
	// runningCost is the delay of an answer when all slots are running, in
	// milliseconds: the engine generates tokens for the running requests between its
	// prompt steps. It decides between replicas without a queue.
	runningCost = 8.0
	// excessCost is the surcharge, in milliseconds, for each request beyond the slots
	// of a server whose response times are still unknown.
	excessCost = 25.0
)

// load is what an instance has in flight at a replica: the number of requests, and the
// tokens of their prompts and answers.
type load struct{ requests, tokens int }

func (l load) plus(other load) load {
	return load{requests: l.requests + other.requests, tokens: l.tokens + other.tokens}
}

// replica is the state of one replica.
type replica struct {
	server wasabiridge.BackendServer
	// preference orders the replicas for this instance, differently at each one.
	preference uint64
	gone       bool
	// misdirectedAt is when it was taken for gone although it is listed, because a server at
	// its address stated to be another one. Zero means that it was not.
	misdirectedAt wasabiridge.Millis
	incarnation   wasabilife.Tracker
	// life counts the restarts of the replica that were noticed, lifeSince is the time of
	// the last one.
	life      uint64
	lifeSince wasabiridge.Millis
	// unconfirmedWeights are the weights reported for unconfirmed, which is an earlier
	// incarnation. They apply if it turns out to be the current one, because the
	// server's clock was set back.
	unconfirmedWeights map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	unconfirmed        wasabiridge.Incarnation
	// weights are the versions that the replica serves, by model.
	weights map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	// claims are the versions in weights that only responses have named.
	claims map[wasabiridge.ModelID]weightsClaim
	cache  cache
	// own is the load of this instance, sentLoad the value of own that was last sent to
	// the other instances, and peers the loads that they have reported.
	own, sentLoad load
	peers         map[wasabiridge.InstanceID]peerLoad
	// memory is the capacity of the replica in tokens. Zero means that it is unknown.
	memory int
	// prefillQueue is the computing work sent by all instances.
	prefillQueue prefillQueue
	// retention is for how long its cache keeps a segment. Zero means that the servers of
	// its pool are even, so that it does not matter.
	retention wasabiridge.Millis
	// speed is what is known of its speed.
	speed speed
	// running and waiting are from the last load report, and ownAtReport is the number
	// of own requests when it arrived. slots is from the last report that named it.
	running, waiting int
	slots            int
	reported         wasabiridge.Millis
	ownAtReport      int
	// lastReceived is when anything last arrived from the replica.
	lastReceived wasabiridge.Millis
	// backoffUntil is the time until which the replica takes no new requests.
	backoffUntil wasabiridge.Millis
	// drainUntil is the time until which the replica takes only light work, if other
	// replicas can take the heavy work.
	drainUntil wasabiridge.Millis
	// After failures the replica is in backoff until failureBackoffUntil;
	// failureBackoff is its current length. probing is set while a request tests the
	// replica afterwards.
	failureBackoffUntil wasabiridge.Millis
	failureBackoff      wasabiridge.Millis
	probing             bool
	// leaving is set once the replica has announced that it is leaving, at leavingSince,
	// and pausedUntil is the end of the longest pause that it has requested. See
	// Placer.applyNotice.
	leaving      bool
	leavingSince wasabiridge.Millis
	pausedUntil  wasabiridge.Millis
	// resuming is set from a pause that the replica requested until a request is answered
	// after it. Until then, only one request at a time is sent.
	resuming bool
	// failures is the moving average of the rate of failed attempts, and delay that of
	// the time to the first byte in excess of the work, in milliseconds.
	failures float64
	// failedAt and delayedAt are the times of the last observations of failures and delay.
	failedAt, delayedAt wasabiridge.Millis
	// doubted is set if the end of a stream was doubted, the last time at doubtedAt.
	doubted   bool
	doubtedAt wasabiridge.Millis
	delay     float64
	samples   int
	// limit is the rate limit that the replica reports. lastLimit is the last report to this
	// instance. limitUnsent is set while it was not sent to the other instances, and
	// limitSentAt is when a report was last sent.
	limit       wasabirate.Limit
	lastLimit   wasabiridge.LimitAnnounced
	limitUnsent bool
	limitSentAt wasabiridge.Millis
	// pools are the pools that the replica belongs to, and abandoned the times until which it
	// may be at work on requests that this instance has given up, while it is brittle.
	pools     []wasabiridge.PoolID
	abandoned []wasabiridge.Millis
}

func newReplica(b wasabiridge.BackendServer) *replica {
	return &replica{
		server: b, weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}, claims: map[wasabiridge.ModelID]weightsClaim{}, cache: newCache(),
		peers: map[wasabiridge.InstanceID]peerLoad{},
	}
}

// acceptIncarnation records the incarnation that a report about the replica refers to.
// It reports false when that incarnation is over and the report has to be ignored. A
// new incarnation starts without cache, weights, queue, load and failures.
//
// It guards against an engine that restarts under the same name with an empty cache and
// older weights. It would be sent prompts for segments that it does not hold, and would
// count as serving the newest weights.
func (r *replica) acceptIncarnation(now wasabiridge.Millis, incarnation wasabiridge.Incarnation) bool {
	switch r.incarnation.Observe(now, incarnation) {
	case wasabilife.Ended:
		return false
	case wasabilife.Restarted:
		r.reset(now)
	}
	r.server.Incarnation = r.incarnation.Current()
	return true
}

// reset clears the state of the previous incarnation. The attempts of this instance
// there end one by one on their own.
func (r *replica) reset(now wasabiridge.Millis) {
	clear(r.weights)
	clear(r.claims)
	clear(r.peers)
	r.life++
	r.lifeSince = now
	r.forgetContent()
	r.running, r.waiting, r.reported, r.ownAtReport, r.slots = 0, 0, 0, 0, 0
	r.speed = speed{mean: r.speed.mean}
	r.backoffUntil, r.drainUntil = 0, 0
	r.leaving, r.pausedUntil, r.resuming = false, 0, false
	r.clearFailures()
	r.failures, r.delay, r.samples, r.doubted = 0, 0, 0, false
	r.limit, r.lastLimit, r.limitUnsent, r.limitSentAt = wasabirate.Limit{}, wasabiridge.LimitAnnounced{}, false, 0
	r.abandoned = nil
	if r.unconfirmed == r.incarnation.Current() {
		maps.Copy(r.weights, r.unconfirmedWeights)
	}
	r.unconfirmedWeights, r.unconfirmed = nil, 0
}

// forgetContent forgets what the replica holds and computes.
func (r *replica) forgetContent() {
	r.cache.clear()
	r.prefillQueue.clear()
}

// isCurrent reports whether a report about an incarnation is about the one that is
// known. Zero means that the report names none.
func (r *replica) isCurrent(incarnation wasabiridge.Incarnation) bool {
	return incarnation == 0 || incarnation == r.server.Incarnation
}

// noteUnconfirmed records the weights that a report names for an incarnation that has
// ended, as far as is known.
func (r *replica) noteUnconfirmed(e wasabiridge.WeightsReported) {
	if r.unconfirmedWeights == nil || r.unconfirmed != e.Incarnation {
		r.unconfirmedWeights, r.unconfirmed = map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}, e.Incarnation
	}
	r.unconfirmedWeights[e.Model] = e.Weights
}

// isAvailable reports whether the failure backoff of the replica permits sending work
// to it. After the backoff, or a pause that the replica requested, a single request
// probes the replica; others follow when it is answered.
func (r *replica) isAvailable(now wasabiridge.Millis) bool {
	if r.failureBackoff == 0 && !r.resuming {
		return true
	}
	return now >= r.failureBackoffUntil && !r.probing
}

// recordFailure starts a failure backoff, which doubles with each failure.
func (r *replica) recordFailure(now wasabiridge.Millis) {
	r.failureBackoff = min(max(minFailureBackoff, 2*r.failureBackoff), maxFailureBackoff)
	r.failureBackoffUntil = now + r.failureBackoff
	r.probing = false
}

// clearFailures ends the failure backoff.
func (r *replica) clearFailures() {
	r.failureBackoff, r.failureBackoffUntil, r.probing = 0, 0, false
}

// totalLoad returns the estimated load of the replica by all instances.
func (r *replica) totalLoad(now wasabiridge.Millis) load {
	total := r.own
	for _, p := range r.peers {
		if now-p.at < peerLoadExpiry {
			total = total.plus(p.load)
		}
	}
	if now-r.reported <= reportExpiry {
		total.requests = max(total.requests, r.running+r.waiting+r.own.requests-r.ownAtReport)
	}
	return total
}

// slotCount returns the slots of the replica, as it reports them if it does.
func (r *replica) slotCount() int {
	if r.slots > 0 {
		return r.slots
	}
	return r.server.Slots
}

// queueWait returns how long further work of a priority would wait for the prompts that
// are computed before it, in milliseconds.
func (r *replica) queueWait(now wasabiridge.Millis, priority wasabiridge.Priority, slowness float64) float64 {
	r.prefillQueue.setSlowness(now, slowness)
	return r.prefillQueue.wait(now, priority)
}

// loadRatio returns the load, with the given number of further tokens, as a fraction of
// the slots or of the memory of the replica, whichever is higher.
func (r *replica) loadRatio(now wasabiridge.Millis, tokens int) float64 {
	o := r.totalLoad(now)
	ratio := 0.0
	if slots := r.slotCount(); slots > 0 {
		ratio = float64(o.requests) / float64(slots)
	}
	if r.memory > 0 {
		ratio = max(ratio, float64(o.tokens+tokens)/float64(r.memory))
	}
	return ratio
}

// expectedWait returns the expected wait of a request in milliseconds: for the prompts
// that are computed before it, and for a slot and memory. Answers take meanDuration
// milliseconds on average, so what they occupy now is free by then. Both take slowness
// times as long at this replica.
func (r *replica) expectedWait(now wasabiridge.Millis, pr *prompt, meanDuration, slowness float64) float64 {
	ratio := r.loadRatio(now, pr.tokens())
	wait := r.queueWait(now, pr.priority, slowness) + min(ratio, 1)*runningCost*slowness
	if ratio <= 1 {
		return wait
	}
	if meanDuration == 0 {
		meanDuration = excessCost * float64(max(1, r.slotCount()))
	}
	return wait + (ratio-1)*meanDuration*slowness
}

// maxLoad returns the load at which a further request is refused, for the limit of a replica
// that serves the more the fuller it is.
func (r *replica) maxLoad(limit float64) float64 {
	if r.speed.room == 0 {
		return limit
	}
	return min(limit, r.speed.room)
}

// penalty returns the surcharge for failures, doubted streams and slow answers relative to the pool,
// in milliseconds. What the slowness of the replica explains costs nothing.
//
// A failure that it guards against: all streams of a pool go to the replicas that have their prompts
// cached, and nothing shows whether doubted streams of these are sound, since the others have none.
func (r *replica) penalty(now wasabiridge.Millis, pl *pool) float64 {
	cost := max(0, r.failureRate(now)-toleratedFailures-pl.failures) * failurePenalty
	if r.doubted && now-r.doubtedAt < observedTime {
		cost += failurePenalty
	}
	if usual := pl.delay * r.learnedSlowness(); r.samples > minSamples && r.delay > slowFactor*usual {
		cost += (r.delay - usual) * faded(now-r.delayedAt)
	}
	return cost
}

// faded returns what is left of the effect of an observation of the given age. Without it a
// replica that is avoided would get no request by which it could show that its trouble is over.
func faded(age wasabiridge.Millis) float64 {
	return math.Exp2(-float64(max(0, age-observedTime)) / float64(penaltyHalfLife))
}

// failureRate returns the part of its requests that the replica fails, as far as it is known.
func (r *replica) failureRate(now wasabiridge.Millis) float64 {
	return r.failures * faded(now-r.failedAt)
}

func (r *replica) observeFailure(now wasabiridge.Millis, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	before := r.failureRate(now)
	r.failures, r.failedAt = before+smoothing*(sample-before), now
}

func (r *replica) observeDelay(now wasabiridge.Millis, ms float64) {
	r.samples++
	if r.samples == 1 {
		r.delay, r.delayedAt = ms, now
		return
	}
	before := r.delay * faded(now-r.delayedAt)
	r.delay, r.delayedAt = before+smoothing*(ms-before), now
}

// silenceTimeout returns how long a replica may send nothing before the request is sent
// to another one. The expected queueing time does not count as silence: resending
// queued requests elsewhere would only lengthen the queues everywhere.
func silenceTimeout(q wasabiridge.Request, expected float64) wasabiridge.Millis {
	return max(minSilence, silenceFactor*q.Action.FirstByteTarget) + wasabiridge.Millis(queueFactor*expected)
}
