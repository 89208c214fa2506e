package wasabispeed

import "math"

// loadSteps are the upper ends of the ranges of load, as a multiple of the slots, that a
// Curve distinguishes. The first is the low load that the others are compared with.
var loadSteps = [...]float64{0.5, 0.8, 1.05, 1.5, 2.5}

const (
	// curveMemory is the number of recent answers that determine a range.
	curveMemory = 32.0
	// maxStep bounds how far the logarithm of an answer counts from the average.
	maxStep = 1.0
	// worthwhile is the part of the highest rate of answers that a higher load has to reach
	// to count as room.
	worthwhile = 0.9
)

// Curve learns how much longer a server takes near full than at a low load. The zero value
// has no effect.
type Curve struct {
	steps [len(loadSteps)]step
}

// step is the average logarithm of the ratios in a range of load.
type step struct{ log, answers float64 }

// Observe records that an answer took the given multiple of the expected time. The load is
// that of the server when the request was sent.
func (c *Curve) Observe(load, ratio float64) {
	log, ok := clampedLog(ratio)
	if !ok {
		return
	}
	s := &c.steps[stepOf(load)]
	s.answers = min(s.answers+1, curveMemory)
	off := log - s.log
	if s.answers > enoughAnswers {
		off = min(max(off, -maxStep), maxStep)
	}
	s.log += off / s.answers
}

// Effect returns how much longer a server takes at a load than at a low one, as a multiple
// of what that is for its pool. It is one where too little was observed, and near one.
func (c *Curve) Effect(load float64, pool *Curve) float64 {
	own, known := c.rise(stepOf(load))
	usual, usualKnown := pool.rise(stepOf(load))
	if !known || !usualKnown || math.Abs(own-usual) <= math.Log(neutral) {
		return 1
	}
	return min(max(math.Exp(own-usual), 1/maxSlowness), maxSlowness)
}

// HasEffect reports whether Effect differs from one for some load.
func (c *Curve) HasEffect(pool *Curve) bool {
	for i := range loadSteps {
		if c.Effect(loadSteps[i], pool) != 1 {
			return true
		}
	}
	return false
}

// Room returns the load up to which further requests raise the rate of answers, and
// infinity where that was not observed to end.
func (c *Curve) Room() float64 {
	best, room := 0.0, math.Inf(1)
	for i, end := range loadSteps {
		rise, known := c.rise(i)
		if !known {
			continue
		}
		rate := end / max(1, math.Exp(rise))
		if rate < worthwhile*best {
			return room
		}
		best, room = max(best, rate), end
	}
	return math.Inf(1)
}

// rise returns the logarithm of how much longer answers take in a range of load than at a
// low load. It reports false where too little was observed.
func (c *Curve) rise(i int) (float64, bool) {
	low, s := c.steps[0], c.steps[i]
	return s.log - low.log, low.answers >= enoughAnswers && s.answers >= enoughAnswers
}

func stepOf(load float64) int {
	for i, end := range loadSteps {
		if load < end {
			return i
		}
	}
	return len(loadSteps) - 1
}
