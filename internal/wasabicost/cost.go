// Package wasabicost estimates how long engines take to the first token of a prompt,
// from the answers that they return.
//
// # Model
//
// The time of a prompt that does not wait has three parts: a fixed one, one for each
// token that the engine computes, and one for each pair of a computed token and a token
// before it, which the engine attends to. Each part differs by a factor of twenty
// between kinds of engines, and the configuration contains none of them.
//
// # Estimate
//
// The three factors are fitted by weighted least squares, with exponentially decaying
// weights for older answers. Answers that took longer than expected weigh less than
// those that were faster, because other work of an engine only ever adds time. Factors
// are never negative. A weak prior is used until there are answers; a few of them
// outweigh it.
//
// # Usage
//
//	costs := wasabicost.New()
//	expected := costs.FirstToken(wasabicost.Work{Tokens: 4000, Preceding: 13000})
//	costs.Observe(wasabicost.Work{Tokens: 4000, Preceding: 13000}, 61)
//
// An Estimator is deterministic and not safe for concurrent use.
package wasabicost

import "math"

// Work is what an engine computes for one prompt. Negative counts are treated as zero.
type Work struct {
	// Tokens is the number of tokens to compute. Preceding is the number of tokens before
	// them that the engine holds already. Each computed token attends to these and to
	// the computed tokens before it.
	Tokens, Preceding int
}

// factorCount is the number of factors of the model.
const factorCount = 3

// Indices of the factors.
const (
	fixed = iota
	perToken
	perPair
)

// vector holds one value for each factor.
type vector [factorCount]float64

// Units of the features, chosen so that all factors have a similar magnitude.
const (
	tokensUnit = 1e3
	pairsUnit  = 1e6
)

// prior holds the assumed factors before the first answer: the fixed milliseconds, and
// the milliseconds for a thousand tokens and for a million pairs. It is the geometric
// middle of engines that compute 20 to 400 tokens per millisecond. spread is the
// standard deviation of the prior.
var (
	prior  = vector{fixed: 20, perToken: 10, perPair: 0.2}
	spread = vector{fixed: 30, perToken: 40, perPair: 0.5}
)

const (
	// decay is the factor by which the weight of an answer shrinks with each later one.
	// With 0.98 about fifty answers determine the estimate: enough for three factors,
	// and few enough to follow an engine that changes within seconds.
	decay = 0.98
	// lateWeight is the relative weight of an answer that took longer than expected.
	// With a quarter the estimate settles slightly below the middle of the times, where
	// little other work interfered.
	lateWeight = 0.25
	// noiseFloor and noiseShare are the assumed deviation of answers from the expected
	// time, in milliseconds and as a fraction of that time.
	noiseFloor = 5.0
	noiseShare = 0.3
	// Outliers are recognized once there are minAnswers answers. An answer counts in
	// the fit with at most outlierFactor times its expected time plus outlierFloor
	// milliseconds.
	minAnswers    = 8
	outlierFactor = 2.0
	outlierFloor  = 50.0
	// changeThreshold is the surplus of outliers over other answers that indicates that
	// the engines have changed. The estimate then starts afresh.
	changeThreshold = 16
	// iterations is the number of rounds of the coordinate descent that solves for the
	// factors. It starts from the last solution, so a few are enough.
	iterations = 8
)

// Estimator estimates the three factors. Use New to create one.
type Estimator struct {
	// products and sums are the matrix and the right-hand side of the weighted normal
	// equations.
	products [factorCount]vector
	sums     vector
	factors  vector
	answers  int
	// outliers is the recent surplus of outliers over other answers. It is never
	// negative.
	outliers int
}

// New returns an Estimator that starts from the prior.
func New() *Estimator { return &Estimator{factors: prior} }

// FirstToken returns the expected time to the first token of a prompt that does not
// wait, in milliseconds.
func (e *Estimator) FirstToken(w Work) float64 { return e.factors.dot(w.features()) }

// Compute returns the part of FirstToken in which the engine computes, in milliseconds.
// Other prompts have to wait for it.
func (e *Estimator) Compute(w Work) float64 { return e.FirstToken(w) - e.factors[fixed] }

// Fixed returns the part of FirstToken that does not depend on the prompt, in
// milliseconds.
func (e *Estimator) Fixed() float64 { return e.factors[fixed] }

// Answers returns the number of answers behind the estimate.
func (e *Estimator) Answers() int { return e.answers }

// Observe updates the estimate with the time to the first token of a prompt, in
// milliseconds, less the time that it waited. It ignores values that are negative or
// not finite.
func (e *Estimator) Observe(w Work, took float64) {
	if took < 0 || math.IsNaN(took) || math.IsInf(took, 0) {
		return
	}
	x := w.features()
	expected := e.factors.dot(x)
	if e.answers >= minAnswers {
		took = e.clampOutlier(took, expected)
	}
	e.answers++
	noise := noiseFloor + noiseShare*expected
	weight := 1 / (noise * noise)
	if took > expected {
		weight *= lateWeight
	}
	for i := range factorCount {
		for j := range factorCount {
			e.products[i][j] = decay*e.products[i][j] + weight*x[i]*x[j]
		}
		e.sums[i] = decay*e.sums[i] + weight*x[i]*took
	}
	e.solve()
}

// clampOutlier limits the time of an outlier. It resets the estimate when nearly all
// answers are outliers.
func (e *Estimator) clampOutlier(took, expected float64) float64 {
	limit := outlierFactor*expected + outlierFloor
	if took <= limit {
		e.outliers = max(0, e.outliers-1)
		return took
	}
	if e.outliers++; e.outliers < changeThreshold {
		return limit
	}
	*e = Estimator{factors: e.factors}
	return took
}

// solve minimizes the weighted squares by coordinate descent over factors that are not
// negative.
func (e *Estimator) solve() {
	for range iterations {
		for i := range factorCount {
			confidence := 1 / (spread[i] * spread[i])
			numerator := e.sums[i] + confidence*prior[i]
			for j := range factorCount {
				if j != i {
					numerator -= e.products[i][j] * e.factors[j]
				}
			}
			e.factors[i] = max(0, numerator/(e.products[i][i]+confidence))
		}
	}
}

func (w Work) features() vector {
	n, behind := float64(max(w.Tokens, 0)), float64(max(w.Preceding, 0))
	return vector{fixed: 1, perToken: n / tokensUnit, perPair: n * (behind + n/2) / pairsUnit}
}

func (v vector) dot(x vector) float64 {
	sum := 0.0
	for i := range factorCount {
		sum += v[i] * x[i]
	}
	return sum
}
