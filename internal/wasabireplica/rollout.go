package wasabireplica

import (
	"cmp"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirollout"
)

const (
	// versionSettleTime is how long a software version that appears beside others gets no
	// requests, where operators order rollouts: the order for it may be on its way.
	versionSettleTime = 1500 * wasabiridge.Millis(1)
	// stoppedTime is how long after the end of a rollout servers of the old versions may still
	// be listed although they have stopped.
	stoppedTime = 5 * wasabiridge.Second
	// A quantile of the times at the old versions is learned in steps of quantileStep, and
	// slowQuantile of them are below it. minQuantileAnswers determine it.
	quantileStep       = 0.05
	slowQuantile       = 0.75
	minQuantileAnswers = 20
	// answerFloor is added to times that are compared, in milliseconds.
	answerFloor = 2.0
)

// versions are the software versions that a request may be sent to.
type versions uint8

const (
	anyVersion versions = iota
	oldVersions
	newVersion
)

// rollout is the rollout of a software version in a pool, as this instance takes part in it.
type rollout struct {
	wasabiridge.SoftwareRollout
	since, phaseSince wasabiridge.Millis
	// sent counts the attempts at the pool since the order was first seen, and exposed those
	// at the new version.
	sent, exposed uint64
	drainedSince  wasabiridge.Millis
	answers       map[answerKey]*wasabiridge.SoftwareAnswers
	times         map[wasabiridge.RuleID]*quantile
}

type answerKey struct {
	rule    wasabiridge.RuleID
	backend wasabiridge.BackendServerID
}

// quantile is an estimate of a quantile of the ratios of actual to expected times.
type quantile struct {
	value   float64
	answers int
}

func (q *quantile) observe(ratio float64) {
	if q.answers++; q.answers == 1 {
		q.value = ratio
		return
	}
	if ratio > q.value {
		q.value *= 1 + quantileStep*slowQuantile
		return
	}
	q.value *= 1 - quantileStep*(1-slowQuantile)
}

// setRollouts applies the rollouts that are ordered. A final phase of an order stays, whatever
// is stored: what this instance has seen may have been lost in a restore of the store.
func (p *Placer) setRollouts(now wasabiridge.Millis, list []wasabiridge.SoftwareRollout) {
	next := map[wasabiridge.PoolID]*rollout{}
	for _, r := range list {
		known := p.rollouts[r.Pool]
		switch {
		case known == nil || known.Order != r.Order:
			known = &rollout{
				SoftwareRollout: r, since: now, phaseSince: now, answers: map[answerKey]*wasabiridge.SoftwareAnswers{},
				times: map[wasabiridge.RuleID]*quantile{},
			}
		case known.Phase.Precedes(r.Phase):
			known.Phase, known.phaseSince = r.Phase, now
		}
		next[r.Pool] = known
	}
	p.rollouts = next
}

// preferred returns the versions that a request may be sent to, the preferred ones first.
//
// It guards against a bad version that gets more requests than the operators allow. Each
// instance counts what it sends itself and gives the new version no more than its part of
// that, so the part of all of them holds however many they are, whenever they started and
// whether they hear from each other.
func (p *Placer) preferred(now wasabiridge.Millis, pl *pool) []versions {
	r := p.rollouts[pl.config.ID]
	switch {
	case r == nil, r.Phase == wasabiridge.RolloutCompleted && now-r.phaseSince >= stoppedTime:
		return anyVersions[:]
	case r.Phase == wasabiridge.RolloutRolledBack:
		return onlyOld[:]
	case r.Phase == wasabiridge.RolloutCompleted:
		return onlyNew[:]
	case !pl.hasVersions(r.To):
		return anyVersions[:]
	case r.Phase == wasabiridge.RolloutShift:
		if now-r.since >= r.Duration || r.mayExpose(wasabirollout.ExposureShare*p.options.MaxExposure) {
			return onlyNew[:]
		}
	default:
		if r.mayExpose(wasabirollout.TrialShare * p.options.MaxExposure) {
			return newFirst[:]
		}
	}
	return onlyOld[:]
}

var (
	anyVersions = [...]versions{anyVersion}
	onlyOld     = [...]versions{oldVersions}
	onlyNew     = [...]versions{newVersion}
	newFirst    = [...]versions{newVersion, oldVersions}
)

// mayExpose reports whether one more request may go to the new version.
func (r *rollout) mayExpose(share float64) bool {
	return float64(r.exposed+1) <= share*float64(r.sent+1)
}

// hasVersions reports whether the pool has servers of a version and of other ones.
func (pl *pool) hasVersions(to wasabiridge.SoftwareVersion) bool {
	added, old := pl.countVersions(to)
	return added > 0 && old > 0
}

func (pl *pool) countVersions(to wasabiridge.SoftwareVersion) (added, old int) {
	for _, r := range pl.replicas {
		switch {
		case r.gone:
		case r.server.Software == to:
			added++
		default:
			old++
		}
	}
	return added, old
}

// serves reports whether a replica is of the versions that a request may be sent to.
func (p *Placer) serves(now wasabiridge.Millis, pl *pool, r *replica, v versions) bool {
	switch v {
	case oldVersions:
		return r.server.Software != p.rollouts[pl.config.ID].To
	case newVersion:
		return r.server.Software == p.rollouts[pl.config.ID].To
	}
	return !p.options.Rollouts || !pl.isUnsettled(now, r.server.Software)
}

// isUnsettled reports whether a version has appeared beside others so recently that the order
// for it may not be known yet.
func (pl *pool) isUnsettled(now wasabiridge.Millis, version wasabiridge.SoftwareVersion) bool {
	since := pl.software[version].since
	return len(pl.software) > 1 && since != 0 && now-since < versionSettleTime
}

// countAttempt counts an attempt that is sent to a replica.
func (p *Placer) countAttempt(pool wasabiridge.PoolID, r *replica) {
	if o := p.rollouts[pool]; o != nil {
		o.sent++
		if r.server.Software == o.To {
			o.exposed++
		}
	}
}

// observeAnswer counts the end of an attempt as an answer under the rollout of its pool. An
// attempt that got none counts only if its replica answered others meanwhile: otherwise the
// replica or the path to it is at fault.
func (p *Placer) observeAnswer(a *attempt, e wasabiridge.AttemptEnded) {
	r := p.rollouts[a.pool]
	if r == nil || r.Phase.IsFinal() || a.sent < r.since || a.hasOutlived() {
		return
	}
	silent := e.FirstByteTimeout && a.replica.lastReceived > a.sent
	failed := e.Failed || e.ServerError || e.Result == wasabiridge.AttemptBroken && a.firstByteSeen && !e.Stopped
	if e.Result != wasabiridge.AttemptCompleted && !failed && !silent {
		return
	}
	times := r.times[a.rule]
	if times == nil {
		times = &quantile{}
		r.times[a.rule] = times
	}
	key, isNew := answerKey{rule: a.rule}, a.replica.server.Software == r.To
	if isNew {
		key.backend = a.replica.server.ID
	}
	ratio := a.timeRatio()
	slow := silent || times.answers >= minQuantileAnswers && ratio > times.value
	if !isNew && ratio > 0 {
		times.observe(ratio)
	}
	if !isNew && times.answers < minQuantileAnswers {
		return
	}
	c := r.answers[key]
	if c == nil {
		c = &wasabiridge.SoftwareAnswers{Pool: a.pool, Order: r.Order, Rule: a.rule, Backend: key.backend}
		r.answers[key] = c
	}
	c.Total++
	if failed {
		c.Failed++
	}
	if slow {
		c.Slow++
	}
}

// timeRatio returns the time to the first byte as a multiple of the expected time, or zero if
// there was none.
func (a *attempt) timeRatio() float64 {
	if !a.firstByteSeen {
		return 0
	}
	return (float64(a.firstByteAt-a.sent) + answerFloor) / (a.expected + answerFloor)
}

// RolloutState is what this instance knows of a rollout.
type RolloutState struct {
	wasabirollout.SoftwareState
	Sent, Exposed uint64
	// Answers are those that this instance has counted.
	Answers []wasabiridge.SoftwareAnswers
}

// Rollouts returns the state of all rollouts, sorted by pool.
func (p *Placer) Rollouts(now wasabiridge.Millis) []RolloutState {
	var out []RolloutState
	for id, r := range p.rollouts {
		s := RolloutState{Sent: r.sent, Exposed: r.exposed, SoftwareState: wasabirollout.SoftwareState{
			Rollout: r.SoftwareRollout, Since: r.since, PhaseSince: r.phaseSince, MaxShare: p.options.MaxExposure,
		}}
		if pl := p.pools[id]; pl != nil {
			s.New, s.Old = pl.countVersions(r.To)
			s.Parted = pl.config.Parted
			r.updateDrained(now, pl)
		}
		s.DrainedSince = r.drainedSince
		for _, a := range r.answers {
			s.Answers = append(s.Answers, *a)
		}
		slices.SortFunc(s.Answers, func(a, b wasabiridge.SoftwareAnswers) int {
			return cmp.Or(cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Backend, b.Backend))
		})
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b RolloutState) int { return cmp.Compare(a.Rollout.Pool, b.Rollout.Pool) })
	return out
}

// updateDrained updates since when no instance has anything in flight at the old versions.
func (r *rollout) updateDrained(now wasabiridge.Millis, pl *pool) {
	for _, rep := range pl.replicas {
		if rep.server.Software != r.To && rep.totalLoad(now).requests > 0 {
			r.drainedSince = 0
			return
		}
	}
	if r.drainedSince == 0 {
		r.drainedSince = now
	}
}
