package wasabireplica

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

// Losses are fractions of the value of a complete answer that arrives in time.
const (
	// lateAnswerLoss is the loss of an answer whose first byte is late.
	lateAnswerLoss = 0.8
	// The probability that a first byte is late is a logistic function of its expected
	// time as a fraction of the target. It is one half at lateCentre, and lateWidth
	// sets its slope. It rises below the target already, because expected times are
	// inaccurate.
	lateCentre = 0.8
	lateWidth  = 0.14
	// defaultTarget is the first-byte target of rules that set none.
	defaultTarget = 500 * wasabiridge.Millis(1)
	// supersededLoss is the loss of an answer from weights that were superseded longer
	// than supersededGrace ago.
	supersededLoss  = 0.2
	supersededGrace = 1200 * wasabiridge.Millis(1)
	// drainLoss is the loss of heavy work at a draining replica, which should finish
	// its work before it loads new weights. It exceeds the differences between the
	// other replicas while none of them is late.
	drainLoss = 0.3
	// recomputeLoss is the loss for each token that is computed although some replica
	// has computed it or is computing it.
	recomputeLoss = 0.14 / 1000
	// copyLoss is the loss for each token that a replica fetches although another
	// replica holds it: the copy evicts tokens that may be needed again.
	copyLoss = 0.03 / 1000
	// computedCopyLoss is the loss for each token that a replica computes although another
	// replica holds it, where fetches save nothing. It lies between copyLoss and the
	// loss of an answer that is certainly late, so that a part is computed at a further
	// replica only while those that hold it cannot answer in time.
	computedCopyLoss = 0.045 / 1000
	// workLoss is the loss for each millisecond of computing, which delays the requests
	// behind, and waitLoss the loss for each millisecond of waiting.
	workLoss = 0.0008
	waitLoss = 0.0003
	// zoneLoss is the loss for a request to another availability zone: its traffic
	// between zones and the longer round trip.
	zoneLoss = 0.012
	// tieMargin is the difference in loss below which replicas count as equal.
	tieMargin = 0.002
)

// lateLoss returns the expected loss by a late first byte, for the expected time to the
// first byte in milliseconds. A target of zero or less means defaultTarget.
func lateLoss(expected float64, target wasabiridge.Millis) float64 {
	if target <= 0 {
		target = defaultTarget
	}
	x := (expected/float64(target) - lateCentre) / lateWidth
	return lateAnswerLoss / (1 + math.Exp(-x))
}
