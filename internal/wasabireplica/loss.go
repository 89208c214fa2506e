package wasabireplica

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

// Losses, as parts of what a whole answer in time is worth.
const (
	// lateShare is what an answer loses whose first byte comes late.
	lateShare = 0.8
	// lateCentre and lateWidth are where, as parts of the target, the chance
	// of being late is a half, and how fast it rises around there. Expected
	// times are rough, so it rises early.
	lateCentre = 0.8
	lateWidth  = 0.14
	// defaultTarget is the target of rules that set none.
	defaultTarget = 500 * wasabiridge.Millis(1)
	// oldLoss is what an answer loses on weights that were replaced longer ago
	// than oldGrace.
	oldLoss  = 0.2
	oldGrace = 1200 * wasabiridge.Millis(1)
	// easeLoss is for heavy work at a replica that takes light work only, so that
	// it has little to finish before it loads new weights. It is more than the
	// other replicas differ by while none of them is late.
	easeLoss = 0.3
	// againLoss is for each token that is computed although some replica has
	// read it or is reading it.
	againLoss = 0.14 / 1000
	// copyLoss is for each token that a replica takes in beside another one
	// that holds it: it displaces others that may be asked for again.
	copyLoss = 0.03 / 1000
	// workLoss is for each millisecond of computing, which those behind wait
	// for, and waitLoss for each millisecond of waiting.
	workLoss = 0.0008
	waitLoss = 0.0003
	// zoneLoss is for bytes between zones, and for the way.
	zoneLoss = 0.012
	// near is the difference in loss that counts as none.
	near = 0.002
)

// lateLoss is what a request is expected to lose by its first byte being late.
func lateLoss(expected float64, target wasabiridge.Millis) float64 {
	if target <= 0 {
		target = defaultTarget
	}
	x := (expected/float64(target) - lateCentre) / lateWidth
	return lateShare / (1 + math.Exp(-x))
}
