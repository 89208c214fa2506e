package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
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
	// waitingCost is the time that a request waiting inside a replica adds, in
	// milliseconds, runningCost that of all slots running.
	waitingCost = 8.0
	runningCost = 8.0
	// fullCost is the surcharge for each request beyond the replica's slots.
	fullCost = 25.0
)

// replica is what is known of one replica.
type replica struct {
	server wasabiridge.BackendServer
	gone   bool
	// weights are the versions that it serves, by model.
	weights map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	cache   cache
	// inside counts this instance's attempts there, told what the others were
	// told of it, peers what they told.
	inside, told int
	peers        map[wasabiridge.InstanceID]peerLoad
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
	// pausedUntil and pause leave it alone after failures.
	pausedUntil wasabiridge.Millis
	pause       wasabiridge.Millis
	trying      bool
	// failures is the learned share of failed attempts, delay the learned time
	// to the first byte beyond the work, in milliseconds.
	failures float64
	delay    float64
	samples  int
}

func newReplica(b wasabiridge.BackendServer) *replica {
	return &replica{
		server: b, weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}, cache: newCache(),
		peers: map[wasabiridge.InstanceID]peerLoad{},
	}
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

// load is how many requests are believed to be inside, those of other
// instances included.
func (r *replica) load(now wasabiridge.Millis) float64 {
	known := r.inside
	for _, p := range r.peers {
		if now-p.at < peerLife {
			known += p.inside
		}
	}
	if now-r.reported <= reportLife {
		return max(float64(known), float64(r.running+r.waiting+r.inside-r.insideThen))
	}
	return float64(known)
}

// queue is the expected wait in milliseconds.
func (r *replica) queue(now wasabiridge.Millis) float64 {
	load := r.load(now)
	slots := float64(max(1, r.server.Slots))
	wait := r.line.wait(now) + load*runningCost/slots
	if now-r.reported <= reportLife {
		wait += float64(r.waiting) * waitingCost
	}
	if load >= slots {
		wait += (load - slots + 1) * fullCost
	}
	return wait
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
