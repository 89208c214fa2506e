package wasabispeed

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// enoughAnswers is the number of answers from which slowness has its full effect.
	// With fewer its logarithm is proportionally smaller, and with less than minAnswers
	// it has none.
	enoughAnswers = 8.0
	minAnswers    = 5.0
	// neutral is the slowness up to which a server counts as average, and the inverse of
	// that down to which it does.
	neutral = 1.25
)

// Estimate is what a Meter knows of its server.
type Estimate struct {
	// Log is the logarithm of the slowness compared with what was expected of the pool,
	// and Deviation its standard error.
	Log, Deviation float64
	// Answers is the number of answers behind it, less what they have lost by age.
	Answers float64
}

// Confidence returns how far the estimate has its effect, from 0 to 1.
func (e Estimate) Confidence() float64 { return min(1, e.Answers/enoughAnswers) }

// Relative returns the slowness compared with the mean of the logarithms over the pool.
func (e Estimate) Relative(mean float64) float64 {
	log := (e.Log - mean) * e.Confidence()
	if e.Answers < minAnswers || math.Abs(log)-e.Deviation <= math.Log(neutral) {
		return 1
	}
	return min(max(math.Exp(log), 1/maxSlowness), maxSlowness)
}

// Mean averages the estimates of the servers of a pool. The zero value has none.
type Mean struct{ sum, weight float64 }

// Add returns the mean with a further server.
func (m Mean) Add(e Estimate) Mean {
	bound := math.Log(maxSlowness)
	return Mean{sum: m.sum + e.Confidence()*min(max(e.Log, -bound), bound), weight: m.weight + e.Confidence()}
}

// Log returns the mean of the logarithms, and zero without servers.
func (m Mean) Log() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// figureExpiry is the age at which a reported figure has no effect any more. What makes a
// server slow for a moment lasts some hundred milliseconds.
const figureExpiry = 400 * wasabiridge.Millis(1)

// Figure is the slowness that a server reports of the moment.
type Figure struct {
	// Slowness is a multiple of the usual. Zero means that none was reported.
	Slowness float64
	At       wasabiridge.Millis
}

// Effect returns by how much work takes longer at a time: the figure shortly after the
// report, and less from then on.
func (f Figure) Effect(now wasabiridge.Millis) float64 {
	age := now - f.At
	if f.Slowness <= 0 || age >= figureExpiry || f.Slowness > 1/neutral && f.Slowness < neutral {
		return 1
	}
	left := 1 - float64(max(age, 0))/float64(figureExpiry)
	return 1 + left*(min(max(f.Slowness, 1/maxSlowness), maxSlowness)-1)
}

// Shift returns a slowness with the given difference added to its logarithm.
func Shift(slowness, log float64) float64 { return slowness * math.Exp(log) }
