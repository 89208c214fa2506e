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
	// sentMost bounds the remembered parts of one replica.
	sentMost = 4096
	// silenceFactor and silenceLeast say how long a replica may send nothing
	// before an idempotent request goes to another one: four times the target
	// of the first byte.
	silenceFactor = 4
	silenceLeast  = 800 * wasabiridge.Millis(1)
)

// replica is what is known of one replica.
type replica struct {
	server wasabiridge.BackendServer
	gone   bool
	// weights are the versions that it serves, by model.
	weights map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	// inside counts this instance's attempts there, work the milliseconds of
	// computing that those without a first byte wait for.
	inside int
	work   float64
	// running and waiting are from the last report, insideThen what inside was
	// when it came.
	running, waiting int
	reported         wasabiridge.Millis
	insideThen       int
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
	sent     map[partKey]wasabiridge.Millis
}

func newReplica(b wasabiridge.BackendServer) *replica {
	return &replica{server: b, weights: map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}, sent: map[partKey]wasabiridge.Millis{}}
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
func (r *replica) load(now wasabiridge.Millis, instances int) float64 {
	if now-r.reported > reportLife {
		return float64(r.inside) * max(1, float64(instances)/2)
	}
	return max(float64(r.inside), float64(r.running+r.waiting+r.inside-r.insideThen))
}

// queue is the expected wait in milliseconds.
func (r *replica) queue(now wasabiridge.Millis, instances int) float64 {
	load := r.load(now, instances)
	slots := float64(max(1, r.server.Slots))
	wait := r.work + load*runningCost*16/slots
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
	if r.samples > 8 && r.delay > 2*pl.delay {
		cost += r.delay - pl.delay
	}
	return cost
}

func (r *replica) remember(now wasabiridge.Millis, k partKey) {
	if len(r.sent) >= sentMost {
		clear(r.sent)
	}
	r.sent[k] = now
}

// reborn drops what a new life or new weights make untrue.
func (r *replica) forgetCache() { clear(r.sent) }

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
// another one.
func silenceOf(q wasabiridge.Request) wasabiridge.Millis {
	return max(silenceLeast, silenceFactor*q.Action.FirstByteTarget)
}
