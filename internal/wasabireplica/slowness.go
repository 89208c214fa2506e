package wasabireplica

import (
	"math"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicost"
	"github.com/wasabiridge/wasabiridge/internal/wasabispeed"
)

const (
	// minCostAnswers is the number of answers behind the costs of a pool from which the
	// time of an answer measures the slowness of its server.
	minCostAnswers = 30
	// timeFloor is added to the times of plain services that are compared, in
	// milliseconds, because these times are short and exact to a millisecond only.
	timeFloor = 2.0
	// The time of an answer measures the speed of a single replica only where nothing else
	// explains it: the load was at most maxSampleLoad when it was sent, and its prompt
	// waited shortWaitRatio of its own work at most.
	maxSampleLoad  = 0.6
	shortWaitRatio = 0.25
)

// speed is what is known of how long work takes at a replica.
type speed struct {
	meter wasabispeed.Meter
	// mean is that of the pool, and learned the slowness compared with it.
	mean    float64
	learned float64
	figure  wasabispeed.Figure
}

// slowness returns how long work takes at the replica now, as a multiple of the average of
// its pool. Whatever expects a time at a replica multiplies it by this.
func (r *replica) slowness(now wasabiridge.Millis) float64 {
	return r.learnedSlowness() * r.speed.figure.Effect(now)
}

// learnedSlowness is slowness apart from what the replica reports of the moment.
func (r *replica) learnedSlowness() float64 {
	if r.speed.learned == 0 {
		return 1
	}
	return r.speed.learned
}

// observeSlowness records that an answer took the given multiple of the time that the pool
// takes on average.
func (r *replica) observeSlowness(now wasabiridge.Millis, ratio float64) {
	r.speed.meter.Observe(now, ratio)
}

// takeSlowness returns what this instance has learned of the replica since the last call.
func (r *replica) takeSlowness() (slowness float64, answers int) {
	ratio, answers := r.speed.meter.Take()
	return wasabispeed.Shift(ratio, -r.speed.mean), answers
}

// mergeSlowness records what another instance has learned.
func (r *replica) mergeSlowness(now wasabiridge.Millis, slowness float64, answers int) {
	if slowness <= 0 || answers <= 0 {
		return
	}
	r.speed.meter.Merge(now, wasabispeed.Shift(slowness, r.speed.mean), answers)
}

// updateSpeeds updates the mean of the pool and what it makes of its replicas.
func (pl *pool) updateSpeeds(now wasabiridge.Millis) {
	pl.uneven = false
	var mean wasabispeed.Mean
	for _, r := range pl.replicas {
		mean = mean.Add(r.speed.meter.Estimate(now))
	}
	for _, r := range pl.replicas {
		r.speed.mean = mean.Log()
		r.speed.learned = r.speed.meter.Estimate(now).Relative(r.speed.mean)
		pl.uneven = pl.uneven || r.slowness(now) != 1
	}
	pl.updateRetention(now)
}

// plainExcess returns how much longer than on average a plain service of the given slowness
// takes, in milliseconds. It is zero for an engine, whose expected time contains it.
func (pl *pool) plainExcess(pr *prompt, slowness float64) float64 {
	if pr.engine {
		return 0
	}
	return pl.delay * max(0, slowness-1)
}

// observeUsual compares the time of an answer of a plain service, in milliseconds, with
// that of its pool. Answers that had to wait for a slot measure no speed.
func (pl *pool) observeUsual(now wasabiridge.Millis, a *attempt, took float64) {
	if a.load > maxSampleLoad || a.suspected {
		return
	}
	if pl.usualAnswers >= minCostAnswers {
		a.replica.observeSlowness(now, (took+timeFloor)/((pl.usual+timeFloor)*a.moment(now)))
	}
	if took /= a.slowness; pl.usualAnswers == 0 {
		pl.usual = took
	}
	pl.usualAnswers++
	pl.usual += workSmoothing * (took - pl.usual)
}

// applyReport applies what a load report says of the speed and the slots of the replica.
func (r *replica) applyReport(now wasabiridge.Millis, report wasabiridge.LoadReport) {
	if report.Slots > 0 {
		r.slots = report.Slots
	}
	if report.Slowness > 0 {
		r.speed.figure = wasabispeed.Figure{Slowness: report.Slowness, At: now}
	}
}

// measuresSpeed reports whether the time of a prompt, in milliseconds at average speed,
// measures how fast the replica is.
func (a *attempt) measuresSpeed(w wasabicost.Work, took float64) bool {
	return a.load <= maxSampleLoad && a.wait <= shortWaitRatio*a.work*a.slowness &&
		a.prompt.costs.Answers() >= minCostAnswers && a.heldAsExpected(w, took)
}

// heldAsExpected reports whether the time of a prompt, in milliseconds at average speed,
// fits the tokens that the replica was assumed to hold. Where it fits the other case better,
// the replica has evicted them, or held them, and the time says nothing of its speed.
func (a *attempt) heldAsExpected(assumed wasabicost.Work, took float64) bool {
	if !a.prompt.worthFetching() {
		return true
	}
	other := wasabicost.Work{Tokens: a.prompt.tokens()}
	if a.held == 0 {
		other = wasabicost.Work{Tokens: a.prompt.own, Preceding: a.prompt.shared}
	}
	costs := a.prompt.costs
	return math.Abs(took-costs.FirstToken(assumed)) < math.Abs(took-costs.FirstToken(other))
}

// moment returns the mean effect of what the replica reported while it answered.
func (a *attempt) moment(now wasabiridge.Millis) float64 {
	return (a.figureEffect + a.replica.speed.figure.Effect(now)) / 2
}

// ServerSpeed is the speed of a replica that differs from the average of its pool.
type ServerSpeed struct {
	Pool    wasabiridge.PoolID
	Backend wasabiridge.BackendServerID
	// Slowness is how long work takes, as a multiple of the average of the pool, Learned
	// the part of it that was learned from Answers answers.
	Slowness, Learned, Answers float64
	// Figure is what the replica reported FigureAge ago. Zero means that it reported
	// nothing.
	Figure    float64
	FigureAge wasabiridge.Millis
}

// ServerSpeeds returns the replicas whose speed differs from the average of their pool, by
// pool and ID.
func (p *Placer) ServerSpeeds(now wasabiridge.Millis) []ServerSpeed {
	var out []ServerSpeed
	for id, pl := range p.pools {
		for _, r := range pl.replicas {
			s := ServerSpeed{
				Pool: id, Backend: r.server.ID, Slowness: r.slowness(now), Learned: r.learnedSlowness(),
				Answers: r.speed.meter.Estimate(now).Answers, Figure: r.speed.figure.Slowness,
			}
			if s.Slowness == 1 && s.Learned == 1 {
				continue
			}
			if s.Figure > 0 {
				s.FigureAge = now - r.speed.figure.At
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b ServerSpeed) int {
		if a.Pool != b.Pool {
			return compare(wasabiridge.BackendServerID(a.Pool), wasabiridge.BackendServerID(b.Pool))
		}
		return compare(a.Backend, b.Backend)
	})
	return out
}
