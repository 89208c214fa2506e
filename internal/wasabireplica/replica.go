package wasabireplica

import (
	"maps"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
	"github.com/wasabiridge/wasabiridge/internal/wasabirate"
)

const (
	// firstPause is how long a replica is left alone after it could not be
	// reached or did not answer, pauseMost the longest such time.
	firstPause = 300 * wasabiridge.Millis(1)
	pauseMost  = 2 * wasabiridge.Second
	// fullPause is how long a replica is left alone that refused because it
	// was full.
	fullPause = 120 * wasabiridge.Millis(1)
	// reportLife is how long a load report counts.
	reportLife = 400 * wasabiridge.Millis(1)
	// learnRate is the weight of one answer in what is learned of a replica.
	learnRate = 0.1
	// faultCost is what a certain failure costs, in milliseconds.
	faultCost = 400.0
	// faultFree is the share of failures that counts as none: some requests
	// fail at every replica.
	faultFree = 0.2
	// enoughSamples is how many answers tell how slow a replica is, and
	// slowFactor how much slower than the pool counts.
	enoughSamples = 8
	slowFactor    = 2
	// silenceFactor and silenceLeast say how long a replica may send nothing
	// before an idempotent request goes to another one: four times the target
	// of the first byte.
	silenceFactor = 4
	silenceLeast  = 800 * wasabiridge.Millis(1)
	// suspectAfter is how long after it was sent, and twice what was expected
	// besides, a request may be without an answer from a replica that says
	// nothing at all. Plain services take up to half a second.
	suspectAfter = 600 * wasabiridge.Millis(1)
	// queueFactor is by how much longer than expected a queue may take.
	queueFactor = 2
	// plainWork is the work of a request without a prompt, in milliseconds.
	plainWork = 0
	// runningCost is the time that all slots running add to an answer, in
	// milliseconds: the steps of the others, in which a prompt is not computed. It
	// decides between replicas of which none has a queue.
	runningCost = 8.0
	// spareCost is the surcharge, in milliseconds, for each request beyond the
	// slots of a server whose answers' times are not learned yet.
	spareCost = 25.0
)

// occupation is what an instance has inside a replica: attempts, and the tokens
// of their prompts and answers.
type occupation struct{ inside, tokens int }

func (o occupation) plus(other occupation) occupation {
	return occupation{inside: o.inside + other.inside, tokens: o.tokens + other.tokens}
}

// replica is what is known of one replica.
type replica struct {
	server wasabiridge.BackendServer
	gone   bool
	life   wasabilife.Life
	// doubted are the weights of an earlier life that is named again and may be new.
	doubted map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	// weights are the versions that it serves, by model.
	weights map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	cache   cache
	// own is what this instance has there, told what the others were told of it,
	// peers what they told.
	own, told occupation
	peers     map[wasabiridge.InstanceID]peerLoad
	// memory is how many tokens the replica has room for. Zero means that it is
	// not known.
	memory int
	// line is the work that was sent, by all instances.
	line line
	// running and waiting are from the last report, insideThen what inside was
	// when it came.
	running, waiting int
	reported         wasabiridge.Millis
	insideThen       int
	// heard is when anything last came from the replica.
	heard wasabiridge.Millis
	// restUntil is until when the replica takes no new work.
	restUntil wasabiridge.Millis
	// easeUntil is until when the replica takes light work only, if others can
	// take the rest.
	easeUntil wasabiridge.Millis
	// pausedUntil and pause leave it alone after failures.
	pausedUntil wasabiridge.Millis
	pause       wasabiridge.Millis
	trying      bool
	// failures is the learned share of failed attempts, delay the learned time
	// to the first byte beyond the work, in milliseconds.
	failures float64
	delay    float64
	samples  int
	// limit is the rate that the replica takes. limitNews is what the others have not
	// been told of it, limitTold when they were told last.
	limit     wasabirate.Limit
	limitNews wasabiridge.LimitNamed
	limitTold wasabiridge.Millis
}

func newReplica(b wasabiridge.BackendServer) *replica {
	return &replica{
		server: b, weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}, cache: newCache(),
		peers: map[wasabiridge.InstanceID]peerLoad{},
	}
}

// live takes in which life something was said of the replica. It reports false for
// one that is over. A new life holds nothing of the one before: no cache, weights,
// queue or load, and what was learned of its failures does not count.
//
// The failure it guards against: an engine starts again under its name, with an empty
// cache and older weights. It would be sent prompts for parts that it does not hold,
// and pass for one that has the newest weights.
func (r *replica) live(now wasabiridge.Millis, said wasabiridge.Incarnation) bool {
	switch r.life.Take(now, said) {
	case wasabilife.Over:
		return false
	case wasabilife.New:
		r.restart()
	}
	r.server.Incarnation = r.life.Known()
	return true
}

// restart forgets what was known of the life before. What this instance has sent there
// ends by itself, one by one.
func (r *replica) restart() {
	clear(r.weights)
	clear(r.peers)
	r.cache.clear()
	r.line.clear()
	r.running, r.waiting, r.reported, r.insideThen = 0, 0, 0, 0
	r.restUntil, r.easeUntil = 0, 0
	r.recovered()
	r.failures, r.delay, r.samples = 0, 0, 0
	r.limit, r.limitNews, r.limitTold = wasabirate.Limit{}, wasabiridge.LimitNamed{}, 0
	maps.Copy(r.weights, r.doubted)
	r.doubted = nil
}

// mayTry reports whether the replica may get work as far as its failures go.
// After a pause one request tries it; the others follow when that is answered.
func (r *replica) mayTry(now wasabiridge.Millis) bool {
	return r.pause == 0 || now >= r.pausedUntil && !r.trying
}

// fail leaves the replica alone for a while that doubles with each failure.
func (r *replica) fail(now wasabiridge.Millis) {
	r.pause = min(max(firstPause, 2*r.pause), pauseMost)
	r.pausedUntil = now + r.pause
	r.trying = false
}

// recovered ends the pause.
func (r *replica) recovered() {
	r.pause, r.pausedUntil, r.trying = 0, 0, false
}

// occupied is what is believed to be inside, that of other instances included.
func (r *replica) occupied(now wasabiridge.Millis) occupation {
	known := r.own
	for _, p := range r.peers {
		if now-p.at < peerLife {
			known = known.plus(p.occupation)
		}
	}
	if now-r.reported <= reportLife {
		known.inside = max(known.inside, r.running+r.waiting+r.own.inside-r.insideThen)
	}
	return known
}

// fullness is what is inside as a part of the replica's slots or of its memory,
// whichever is more, with so many further tokens.
func (r *replica) fullness(now wasabiridge.Millis, tokens int) float64 {
	o := r.occupied(now)
	full := 0.0
	if r.server.Slots > 0 {
		full = float64(o.inside) / float64(r.server.Slots)
	}
	if r.memory > 0 {
		full = max(full, float64(o.tokens+tokens)/float64(r.memory))
	}
	return full
}

// queue is the expected wait of a request in milliseconds: for what is computed
// before it, and for a slot and memory. Answers take stay milliseconds in the
// mean, so what is taken by then is free.
func (r *replica) queue(now wasabiridge.Millis, pr *prompt, stay float64) float64 {
	full := r.fullness(now, pr.tokens())
	wait := r.line.wait(now, pr.priority) + min(full, 1)*runningCost
	if full <= 1 {
		return wait
	}
	if stay == 0 {
		stay = spareCost * float64(max(1, r.server.Slots))
	}
	return wait + (full-1)*stay
}

// faults is the surcharge for what was learned, compared with the pool.
func (r *replica) faults(pl *pool) float64 {
	cost := max(0, r.failures-faultFree-pl.failures) * faultCost
	if r.samples > enoughSamples && r.delay > slowFactor*pl.delay {
		cost += r.delay - pl.delay
	}
	return cost
}

func (r *replica) learnFailure(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	r.failures += learnRate * (sample - r.failures)
}

func (r *replica) learnDelay(ms float64) {
	r.samples++
	if r.samples == 1 {
		r.delay = ms
		return
	}
	r.delay += learnRate * (ms - r.delay)
}

// silenceOf is how long a replica may send nothing before the request goes to
// another one. What waits in a long queue is not silent: sending it elsewhere
// would only make the queues longer, everywhere.
func silenceOf(q wasabiridge.Request, expected float64) wasabiridge.Millis {
	return max(silenceLeast, silenceFactor*q.Action.FirstByteTarget) + wasabiridge.Millis(queueFactor*expected)
}
