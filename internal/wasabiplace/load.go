package wasabiplace

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// sendLogSize is the number of recent sends that are kept per server, to
	// add those that a delayed load report does not include yet.
	sendLogSize = 32
	// inflowTimeConstant is the time constant of the moving average of the work
	// sent by other instances. maxInflowAge bounds the age of a report for
	// which that work is extrapolated.
	inflowTimeConstant = 2000 * wasabiridge.Millis(1)
	maxInflowAge       = 2 * wasabiridge.Second
	// A sample below the estimated cost of a token lowers the estimate by the
	// share costFallStep in the long run. One above raises it by costRiseShare
	// of that. Samples include hidden waiting, which only lengthens them, so
	// the steps are uneven and the estimate settles at the first quartile.
	costFallStep  = 0.03
	costRiseShare = 1.0 / 3
	// costInitialStep divided by the number of samples is added to the step,
	// for larger initial steps.
	costInitialStep = 2
	// maxCostRatio bounds the ratio between the cost of one server and that of
	// its pool.
	maxCostRatio = 2
	// slotTimeStep is the step of the moving average of the time that an answer
	// occupies a slot.
	slotTimeStep = 0.05
	// initialSlotTime is the assumed time that an answer occupies a slot before
	// the first sample, in milliseconds.
	initialSlotTime = 2000
)

type send struct {
	at wasabiridge.Millis
	// tokens is the number of prompt tokens that were expected to be computed.
	tokens float64
}

// load is the estimated load of one server.
type load struct {
	taken    wasabiridge.Millis
	reported bool
	// running counts the requests at the server. queued counts those of them
	// that wait.
	running int
	queued  int
	// idleAt is when all known prompts will be computed, in milliseconds.
	idleAt float64
	// reportedWork is the work in the last report, in milliseconds.
	reportedWork float64
	// inflow is the work per millisecond that other instances send. It is
	// derived from the growth of work between reports beyond what this instance
	// sent.
	inflow float64
	sends  [sendLogSize]send
	sent   int
	// open counts the attempts of this instance that have not ended.
	open int
	cost tokenCost
	// slotTime is the average time that an answer occupies a slot. Zero means
	// no sample yet.
	slotTime float64
	// refusedUntil is the retry time of an overloaded server.
	refusedUntil wasabiridge.Millis
	leaving      bool
	// drainAnnounced is set if a BackendLeaving event announced that the server
	// is leaving. The server's own reports do not reset it.
	drainAnnounced bool
	lost           bool
	lostAt         wasabiridge.Millis
	// pool holds the data of the server's pool.
	pool *table
}

// report applies a load report. Reports are delayed, so the attempts sent after
// the report was taken are added.
func (l *load) report(r wasabiridge.LoadReport, cost, avgComputed float64) {
	if l.reported && r.MeasuredAt < l.taken {
		return
	}
	tokens := float64(r.WaitingTokens)
	if tokens == 0 {
		tokens = float64(r.Waiting) * avgComputed
	}
	l.learnInflow(r.MeasuredAt, tokens*cost, cost)
	l.taken, l.reported = r.MeasuredAt, true
	l.running = r.Running + r.Waiting
	queued := r.Waiting
	l.idleAt = float64(r.MeasuredAt) + tokens*cost
	kept := min(l.sent, sendLogSize)
	for i := l.sent - kept; i < l.sent; i++ {
		s := l.sends[i%sendLogSize]
		if s.at > r.MeasuredAt {
			l.add(s.at, s.tokens*cost)
			l.running++
			queued++
		}
	}
	l.setQueued(queued)
}

// learnInflow updates the inflow from two consecutive reports. Requests of
// other instances are visible only in reports, with their delay.
func (l *load) learnInflow(taken wasabiridge.Millis, work, cost float64) {
	passed := float64(taken - l.taken)
	if l.reported && passed > 0 {
		grown := work - max(0, l.reportedWork-passed)
		for i := l.sent - min(l.sent, sendLogSize); i < l.sent; i++ {
			if s := l.sends[i%sendLogSize]; s.at > l.taken && s.at <= taken {
				grown -= s.tokens * cost
			}
		}
		rate := 1 - math.Exp(-passed/float64(inflowTimeConstant))
		l.inflow += rate * (max(0, grown/passed) - l.inflow)
	}
	l.reportedWork = work
}

// setQueued also maintains the sum over the pool, so that its mean queue length
// is available without iterating over all servers.
func (l *load) setQueued(n int) {
	if l.pool != nil {
		l.pool.queued += min(n, maxDelayed) - min(l.queued, maxDelayed)
	}
	l.queued = n
}

func (l *load) add(at wasabiridge.Millis, work float64) {
	l.idleAt = max(l.idleAt, float64(at)) + work
}

// sentTokens records an attempt that this instance sends.
func (l *load) sentTokens(now wasabiridge.Millis, tokens, cost float64) {
	l.sends[l.sent%sendLogSize] = send{at: now, tokens: tokens}
	l.sent++
	l.running++
	l.setQueued(l.queued + 1)
	l.open++
	l.add(now, tokens*cost)
}

// ended records the end of an attempt of this instance.
func (l *load) ended() {
	l.open = max(0, l.open-1)
	l.running = max(l.open, l.running-1)
}

// firstTokenSeen records the first token of an attempt of this instance.
func (l *load) firstTokenSeen() { l.setQueued(max(0, l.queued-1)) }

// wait estimates the time in milliseconds until a new prompt would be started.
func (l *load) wait(now wasabiridge.Millis, slots int) float64 {
	unseen := l.inflow * float64(min(now-l.taken, maxInflowAge))
	wait := max(0, l.idleAt+unseen-float64(now), float64(l.refusedUntil-now))
	if slots > 0 && l.running-l.queued >= slots {
		wait = max(wait, float64(l.queued+1)*l.meanSlotTime()/float64(slots))
	}
	return wait
}

func (l *load) meanSlotTime() float64 {
	if l.slotTime == 0 {
		return initialSlotTime
	}
	return l.slotTime
}

// tokenCost estimates the time to compute one token, in milliseconds. The zero
// value has no samples.
type tokenCost struct {
	value   float64
	samples int
}

// learn adds a sample: the time to the first token divided by the tokens
// computed until then.
func (c *tokenCost) learn(sample float64) {
	c.samples++
	if c.samples == 1 {
		c.value = sample
		return
	}
	step := costFallStep + costInitialStep/float64(c.samples)
	if sample < c.value {
		c.value = max(sample, c.value/(1+step))
		return
	}
	c.value = min(sample, c.value*(1+step*costRiseShare))
}

func (l *load) learnSlotTime(sample float64) {
	if l.slotTime == 0 {
		l.slotTime = sample
		return
	}
	l.slotTime += slotTimeStep * (sample - l.slotTime)
}
