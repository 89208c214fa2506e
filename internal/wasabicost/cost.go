// Package wasabicost learns how long engines take to the first token of a
// prompt, from the answers that come back.
//
// # Model
//
// The time of a prompt that waits for nothing has three parts: a fixed one, one
// for each token that the engine computes, and one for each pair of such a token
// and a token before it, which the engine attends to. Engines of different makes
// differ by a factor of twenty in each, and no configuration tells them.
//
// # Estimate
//
// The three factors are fitted by weighted least squares, in which older answers
// count less and less. Answers that took longer than expected count less than
// those that took less: what else an engine did meanwhile only ever adds time.
// Factors are never negative. A weak prior stands for the answers that have not
// come yet; a few answers outweigh it.
//
// # Usage
//
//	costs := wasabicost.New()
//	expected := costs.FirstToken(wasabicost.Work{Tokens: 4000, Behind: 13000})
//	costs.Observe(wasabicost.Work{Tokens: 4000, Behind: 13000}, 61)
//
// An Estimator is deterministic and not safe for concurrent use.
package wasabicost

import "math"

// Work is what an engine computes for one prompt.
type Work struct {
	// Tokens are computed, each behind Behind others that the engine holds and
	// behind those of Tokens before it.
	Tokens, Behind int
}

// parts is how many factors the model has.
const parts = 3

// Indices of the factors.
const (
	fixed = iota
	perToken
	perPair
)

// vector holds one value for each factor.
type vector [parts]float64

// Units in which the factors are fitted, so that all are of like size.
const (
	tokensUnit = 1e3
	pairsUnit  = 1e6
)

// prior is what is assumed before the first answer: milliseconds fixed, for a
// thousand tokens, and for a million pairs. It lies in the middle, by ratio, of
// engines that compute 20 to 400 tokens in a millisecond. spread is how far from
// it the factors may lie.
var (
	prior  = vector{fixed: 20, perToken: 10, perPair: 0.2}
	spread = vector{fixed: 30, perToken: 40, perPair: 0.5}
)

const (
	// memory is how much an answer counts when the next one has come. With 0.98
	// some fifty answers make up the estimate: enough for three factors, and
	// few enough to follow an engine that changes within seconds.
	memory = 0.98
	// lateWeight is how much an answer counts that took longer than expected,
	// beside one that took less. A quarter lets the estimate settle a little
	// below the middle of the times, where little else interfered.
	lateWeight = 0.25
	// noiseFloor and noiseShare are by how much answers differ from the
	// expected time, in milliseconds and as a part of it.
	noiseFloor = 5.0
	noiseShare = 0.3
	// enough is how many answers make an estimate from which outliers can be
	// told. outlier is how many times the expected time, beside outlierFloor
	// milliseconds, an answer then takes at most in the fit.
	enough       = 8
	outlier      = 2.0
	outlierFloor = 50.0
	// changed is how many outliers more than other answers show that the engines
	// have changed. What was learned before them is forgotten then.
	changed = 16
	// rounds of the descent that solves for the factors. They start at the
	// last solution, so few are needed.
	rounds = 8
)

// Estimator is an estimate of the three factors.
type Estimator struct {
	// products and sums are those of the weighted normal equations.
	products [parts]vector
	sums     vector
	factors  vector
	answers  int
	// outliers counts those by which lately there were more than other answers.
	outliers int
}

// New returns an estimate that knows only the prior.
func New() *Estimator { return &Estimator{factors: prior} }

// FirstToken returns the expected time to the first token of a prompt that
// waits for nothing, in milliseconds.
func (e *Estimator) FirstToken(w Work) float64 { return e.factors.dot(w.features()) }

// Compute returns the part of that time in which the engine computes, which
// others wait for.
func (e *Estimator) Compute(w Work) float64 { return e.FirstToken(w) - e.factors[fixed] }

// Fixed returns the part of the time that does not depend on the prompt.
func (e *Estimator) Fixed() float64 { return e.factors[fixed] }

// Answers returns how many answers were observed.
func (e *Estimator) Answers() int { return e.answers }

// Observe takes the time to the first token of a prompt that waited for nothing
// that is known, in milliseconds.
func (e *Estimator) Observe(w Work, took float64) {
	if took < 0 || math.IsNaN(took) || math.IsInf(took, 0) {
		return
	}
	x := w.features()
	expected := e.factors.dot(x)
	if e.answers >= enough {
		took = e.bounded(took, expected)
	}
	e.answers++
	noise := noiseFloor + noiseShare*expected
	weight := 1 / (noise * noise)
	if took > expected {
		weight *= lateWeight
	}
	for i := range parts {
		for j := range parts {
			e.products[i][j] = memory*e.products[i][j] + weight*x[i]*x[j]
		}
		e.sums[i] = memory*e.sums[i] + weight*x[i]*took
	}
	e.solve()
}

// bounded is the time that an answer counts with. It forgets what was learned
// when outliers are all that comes.
func (e *Estimator) bounded(took, expected float64) float64 {
	most := outlier*expected + outlierFloor
	if took <= most {
		e.outliers = max(0, e.outliers-1)
		return took
	}
	if e.outliers++; e.outliers < changed {
		return most
	}
	*e = Estimator{factors: e.factors}
	return took
}

// solve minimises the weighted squares over factors that are not negative, one
// factor after the other.
func (e *Estimator) solve() {
	for range rounds {
		for i := range parts {
			confidence := 1 / (spread[i] * spread[i])
			rest := e.sums[i] + confidence*prior[i]
			for j := range parts {
				if j != i {
					rest -= e.products[i][j] * e.factors[j]
				}
			}
			e.factors[i] = max(0, rest/(e.products[i][i]+confidence))
		}
	}
}

func (w Work) features() vector {
	n, behind := float64(max(w.Tokens, 0)), float64(max(w.Behind, 0))
	return vector{fixed: 1, perToken: n / tokensUnit, perPair: n * (behind + n/2) / pairsUnit}
}

func (v vector) dot(x vector) float64 {
	sum := 0.0
	for i := range parts {
		sum += v[i] * x[i]
	}
	return sum
}
