// Package wasabispeed learns how long one backend server takes for its work, as a multiple
// of what its pool takes on average.
//
// # Learned slowness
//
// A Meter keeps the ratios of actual to expected time of recent answers and takes a low
// quantile of them, because queues and other prompts that nobody knows of only ever add
// time. So one answer in a queue or beside a large prompt changes next to nothing. What was
// learned loses its effect with age: a server without answers returns to its pool's
// average, from which a new one starts. A Meter knows nothing of other servers. The caller
// compares it with the mean of the pool, so that a pool whose servers all become slower
// stays even.
//
// Slowness near one counts as exactly one, and so does slowness that the spread of the
// answers may explain: a pool of even servers is served as if nothing were learned.
//
// # The moment
//
// A Figure is what a server reports of the moment. It loses its effect with its age.
//
// # Usage
//
//	var m wasabispeed.Meter
//	m.Observe(now, 48.0/30) // 48 ms instead of 30 ms
//	factor := m.Estimate(now).Relative(meanOfPool)
//
// Everything here is deterministic and not safe for concurrent use. The zero values are
// ready for use.
package wasabispeed

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// window is the number of recent observations that a Meter keeps, at most one in
	// minInterval, so that they don't all stem from one queue.
	window      = 32
	minInterval = 50 * wasabiridge.Millis(1)
	// quantile is the part of the observations that are faster than what is learned.
	quantile = 0.35
	// halfLife is the age at which an observation has half of its weight.
	halfLife = 10 * wasabiridge.Second
	// maxMerged bounds the answers that one observation of another instance stands for.
	maxMerged = 8
	// maxSlowness bounds the slowness of a server. One that takes even longer fails.
	maxSlowness = 4.0
	// refreshInterval is how long an estimate is kept.
	refreshInterval = 200 * wasabiridge.Millis(1)
	// deviationFactor relates the mean deviation of observations to the standard error of
	// the quantile.
	deviationFactor = 1.0
)

// observation is the logarithm of a ratio that some answers had on average.
type observation struct {
	log, weight float64
	at          wasabiridge.Millis
}

// Meter learns from the answers of one server.
type Meter struct {
	observations [window]observation
	count, next  int
	last         wasabiridge.Millis
	estimate     Estimate
	estimatedAt  wasabiridge.Millis
	// pendingLog is the sum of the logarithms of the own answers that were not taken yet,
	// and pending their number.
	pendingLog float64
	pending    int
}

// Observe records an own answer, which took the given multiple of the expected time.
func (m *Meter) Observe(now wasabiridge.Millis, ratio float64) {
	log, ok := clampedLog(ratio)
	if !ok {
		return
	}
	m.pendingLog += log
	m.pending++
	m.add(now, observation{log: log, weight: 1, at: now})
}

// Merge records answers that were observed elsewhere.
func (m *Meter) Merge(now wasabiridge.Millis, ratio float64, answers int) {
	if log, ok := clampedLog(ratio); ok && answers > 0 {
		m.add(now, observation{log: log, weight: float64(min(answers, maxMerged)), at: now})
	}
}

// Take returns the average ratio of the own answers since the last call and their number.
func (m *Meter) Take() (ratio float64, answers int) {
	if m.pending == 0 {
		return 0, 0
	}
	ratio, answers = math.Exp(m.pendingLog/float64(m.pending)), m.pending
	m.pendingLog, m.pending = 0, 0
	return ratio, answers
}

func (m *Meter) add(now wasabiridge.Millis, o observation) {
	if m.count > 0 && now-m.last < minInterval {
		return
	}
	m.observations[m.next] = o
	m.next = (m.next + 1) % window
	m.count = min(m.count+1, window)
	m.last = now
	if m.count <= enoughAnswers {
		m.refresh(now)
	}
}

// Estimate returns what is known of the server.
func (m *Meter) Estimate(now wasabiridge.Millis) Estimate {
	if m.count > 0 && now-m.estimatedAt >= refreshInterval {
		m.refresh(now)
	}
	return m.estimate
}

func (m *Meter) refresh(now wasabiridge.Millis) {
	m.estimatedAt = now
	var sorted [window]observation
	total := 0.0
	for i, o := range m.observations[:m.count] {
		o.weight *= math.Exp2(-float64(now-o.at) / float64(halfLife))
		total += o.weight
		insert(sorted[:i+1], o)
	}
	log, deviation := weightedQuantile(sorted[:m.count], quantile*total), 0.0
	for _, o := range sorted[:m.count] {
		deviation += o.weight * math.Abs(o.log-log) / total
	}
	m.estimate = Estimate{Log: log, Deviation: deviation * deviationFactor / math.Sqrt(float64(m.count)), Answers: total}
}

// insert puts o into the sorted observations, the last of which is free.
func insert(sorted []observation, o observation) {
	i := len(sorted) - 1
	for ; i > 0 && sorted[i-1].log > o.log; i-- {
		sorted[i] = sorted[i-1]
	}
	sorted[i] = o
}

// weightedQuantile returns the first logarithm up to which the weights exceed a sum.
func weightedQuantile(sorted []observation, weight float64) float64 {
	sum := 0.0
	for _, o := range sorted {
		if sum += o.weight; sum > weight {
			return o.log
		}
	}
	return 0
}

func clampedLog(ratio float64) (float64, bool) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return 0, false
	}
	const bound = 2 * maxSlowness
	return math.Log(min(max(ratio, 1/bound), bound)), true
}
