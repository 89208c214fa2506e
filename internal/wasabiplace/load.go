package wasabiplace

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// sendsKept is how many sends a server's load remembers, to add those
	// that a late report does not show yet.
	sendsKept = 32
	// inflowMemory is the time over which the work that others send is
	// averaged, maxUnseen the age of a report up to which it is added.
	inflowMemory = 2000 * wasabiridge.Millis(1)
	maxUnseen    = 2 * wasabiridge.Second
	// costStep is the share by which a short sample moves the learned cost of
	// a token in the long run, and costRise how much less a long one does.
	// Samples hold hidden waiting, which only makes them longer, so the cost
	// settles where a quarter of the samples are shorter.
	costStep = 0.03
	costRise = 1.0 / 3
	// costBegin makes the first steps larger.
	costBegin = 2
	// costSpread bounds how far the cost at one server may be from that of its
	// pool.
	costSpread = 2
	// holdRate moves the learned time for which an answer holds a slot.
	holdRate = 0.05
	// firstHold is the time for which an answer holds a slot before any is
	// learned, in milliseconds.
	firstHold = 2000
)

type send struct {
	at wasabiridge.Millis
	// tokens is how many prompt tokens were expected to be computed.
	tokens float64
}

// load is what is known of the work inside one server.
type load struct {
	taken    wasabiridge.Millis
	reported bool
	// running counts requests inside, queued those of them that wait.
	running int
	queued  int
	// idleAt is when the prompts known of will be computed, in milliseconds.
	idleAt float64
	// reportedWork is the work that the last report showed, in milliseconds.
	reportedWork float64
	// inflow is the work that others send per millisecond, from the growth of
	// the work between reports beyond what this instance sent.
	inflow float64
	sends  [sendsKept]send
	sent   int
	// open counts the attempts of this instance that did not end yet.
	open int
	cost tokenCost
	// hold is the time for which an answer holds a slot.
	hold float64
	// refusedUntil is when a server that had no room asked to be tried again.
	refusedUntil wasabiridge.Millis
	leaving      bool
	// drained says that the news of the leaving came from elsewhere than the
	// server's own reports.
	drained bool
	lost    bool
	lostAt  wasabiridge.Millis
	// pool is the prepared pool that holds the server.
	pool *table
}

// report takes a load report. Reports lag, so what was sent after the report
// was taken is added again.
func (l *load) report(r wasabiridge.LoadReport, cost, usualTokens float64) {
	if l.reported && r.Taken < l.taken {
		return
	}
	tokens := float64(r.WaitingTokens)
	if tokens == 0 {
		tokens = float64(r.Waiting) * usualTokens
	}
	l.learnInflow(r.Taken, tokens*cost, cost)
	l.taken, l.reported = r.Taken, true
	l.running = r.Running + r.Waiting
	queued := r.Waiting
	l.idleAt = float64(r.Taken) + tokens*cost
	kept := min(l.sent, sendsKept)
	for i := l.sent - kept; i < l.sent; i++ {
		s := l.sends[i%sendsKept]
		if s.at > r.Taken {
			l.add(s.at, s.tokens*cost)
			l.running++
			queued++
		}
	}
	l.setQueued(queued)
}

// learnInflow compares the work of two reports. Other instances' requests are
// seen only through it, as late as the reports are.
func (l *load) learnInflow(taken wasabiridge.Millis, work, cost float64) {
	passed := float64(taken - l.taken)
	if l.reported && passed > 0 {
		grown := work - max(0, l.reportedWork-passed)
		for i := l.sent - min(l.sent, sendsKept); i < l.sent; i++ {
			if s := l.sends[i%sendsKept]; s.at > l.taken && s.at <= taken {
				grown -= s.tokens * cost
			}
		}
		rate := 1 - math.Exp(-passed/float64(inflowMemory))
		l.inflow += rate * (max(0, grown/passed) - l.inflow)
	}
	l.reportedWork = work
}

// setQueued keeps the sum over the pool, which tells how full the pool is
// without a look at every server.
func (l *load) setQueued(n int) {
	if l.pool != nil {
		l.pool.queued += min(n, maxDelayed) - min(l.queued, maxDelayed)
	}
	l.queued = n
}

func (l *load) add(at wasabiridge.Millis, work float64) {
	l.idleAt = max(l.idleAt, float64(at)) + work
}

// sentTokens counts an attempt of this instance.
func (l *load) sentTokens(now wasabiridge.Millis, tokens, cost float64) {
	l.sends[l.sent%sendsKept] = send{at: now, tokens: tokens}
	l.sent++
	l.running++
	l.setQueued(l.queued + 1)
	l.open++
	l.add(now, tokens*cost)
}

// ended counts the end of an attempt of this instance.
func (l *load) ended() {
	l.open = max(0, l.open-1)
	l.running = max(l.open, l.running-1)
}

// began counts the first token of an attempt of this instance.
func (l *load) began() { l.setQueued(max(0, l.queued-1)) }

// wait estimates the time until a new prompt is begun.
func (l *load) wait(now wasabiridge.Millis, slots int) float64 {
	unseen := l.inflow * float64(min(now-l.taken, maxUnseen))
	wait := max(0, l.idleAt+unseen-float64(now), float64(l.refusedUntil-now))
	if slots > 0 && l.running-l.queued >= slots {
		wait = max(wait, float64(l.queued+1)*l.held()/float64(slots))
	}
	return wait
}

func (l *load) held() float64 {
	if l.hold == 0 {
		return firstHold
	}
	return l.hold
}

// tokenCost is the learned time to compute one token in milliseconds. The zero
// tokenCost has learned nothing.
type tokenCost struct {
	value   float64
	samples int
}

// learn takes the time that a prompt took for each token that was computed
// before its first token.
func (c *tokenCost) learn(sample float64) {
	c.samples++
	if c.samples == 1 {
		c.value = sample
		return
	}
	step := costStep + costBegin/float64(c.samples)
	if sample < c.value {
		c.value = max(sample, c.value/(1+step))
		return
	}
	c.value = min(sample, c.value*(1+step*costRise))
}

func (l *load) learnHold(sample float64) {
	if l.hold == 0 {
		l.hold = sample
		return
	}
	l.hold += holdRate * (sample - l.hold)
}
