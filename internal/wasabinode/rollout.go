package wasabinode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
	"github.com/wasabiridge/wasabiridge/internal/wasabirollout"
)

const (
	// rolloutInterval is how often it is decided on the rollouts of software versions.
	rolloutInterval = 100 * time.Millisecond
	// noRolloutInterval is the same while none is ordered.
	noRolloutInterval = 500 * time.Millisecond
	// rolloutRankDelay is the delay, for each lower rank, after which an instance stores a
	// phase that no other one has stored.
	rolloutRankDelay = 900 * wasabiridge.Millis(1)
	// rolloutTimeout bounds the storing of a phase.
	rolloutTimeout = 1500 * time.Millisecond
	// maxSentAnswers bounds the counts of answers in one message.
	maxSentAnswers = 1024
)

// rollouts decides on the rollouts of software versions. Every instance collects what all of
// them count and decides by itself that a version is bad; that of the lowest rank stores the
// phases, and the others read them with the configuration. Two instances that store at the same
// time do no harm, since a row changes only from the state that was read. It is safe for
// concurrent use.
type rollouts struct {
	node *Node
	log  zerolog.Logger

	mu     sync.Mutex
	byPool map[wasabiridge.PoolID]*rolloutState
}

// rolloutState is the state of one order.
type rolloutState struct {
	order    uint64
	evidence wasabirollout.Evidence
	// sent are the counts that the other instances were last sent.
	sent []wasabiridge.SoftwareAnswers
	// wanted is the phase that should be stored, and wantedSince since when; stored is the one
	// that this instance has stored itself.
	wanted      wasabiridge.RolloutPhase
	wantedSince wasabiridge.Millis
	stored      wasabiridge.RolloutPhase
	storing     bool
	logged      wasabiridge.RolloutPhase
	verdict     wasabirollout.Verdict
}

func newRollouts(n *Node) *rollouts {
	return &rollouts{node: n, log: wasabilog.Part(n.log, "rollout"), byPool: map[wasabiridge.PoolID]*rolloutState{}}
}

// state returns the state of an order, a new one if it is later than the known one. The mutex
// must be held.
func (o *rollouts) state(pool wasabiridge.PoolID, order uint64) *rolloutState {
	s := o.byPool[pool]
	if s == nil || s.order != order {
		s = &rolloutState{order: order}
		o.byPool[pool] = s
	}
	return s
}

// run decides until the context ends.
func (o *rollouts) run(ctx context.Context) {
	ticker := wasabipulse.New(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if len(o.node.catalog.View().Snapshot.Rollouts) == 0 {
				ticker.Next(noRolloutInterval)
				continue
			}
			ticker.Next(rolloutInterval)
			o.decide(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (o *rollouts) decide(ctx context.Context) {
	now := o.node.options.Clock.Now()
	var states []wasabireplica.RolloutState
	o.node.loop.Inspect(func() { states = o.node.placer.Rollouts(now) })
	var update wasabiridge.StateUpdate
	var set []wasabiridge.SoftwareRollout
	local := false
	for _, s := range states {
		phase := o.decideOne(ctx, now, s, &update)
		// A verdict takes effect here at once, and not only when it was stored.
		local = local || phase == wasabiridge.RolloutRolledBack && s.Rollout.Phase != phase
		if phase != wasabiridge.RolloutRolledBack {
			phase = s.Rollout.Phase
		}
		set = append(set, s.Rollout.WithPhase(phase))
	}
	if local {
		o.node.loop.Post(wasabiridge.SoftwareRolloutsSet{Rollouts: set})
	}
	if len(update.Answers) > 0 {
		o.node.catalog.SendUpdate(ctx, o.node.active(), update)
	}
}

// decideOne decides on one rollout, and adds to an update what the other instances have to
// know.
func (o *rollouts) decideOne(ctx context.Context, now wasabiridge.Millis, s wasabireplica.RolloutState, update *wasabiridge.StateUpdate) wasabiridge.RolloutPhase {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.state(s.Rollout.Pool, s.Rollout.Order)
	r.evidence.Add(o.node.options.Settings.Instance, s.Answers)
	if !slices.Equal(r.sent, s.Answers) {
		for _, a := range s.Answers {
			if len(update.Answers) < maxSentAnswers && !slices.Contains(r.sent, a) {
				update.Answers = append(update.Answers, a)
			}
		}
		r.sent = s.Answers
	}
	s.Verdict = r.evidence.Verdict()
	if s.Verdict.Bad {
		r.verdict = s.Verdict
	}
	phase, reason := wasabirollout.Decide(now, s.SoftwareState)
	if r.logged != phase {
		r.logged = phase
		o.logPhase(now, s, phase, reason)
	}
	if r.wanted != phase {
		r.wanted, r.wantedSince = phase, now
	}
	if r.stored != phase && !r.storing && now-r.wantedSince >= wasabiridge.Millis(o.node.rank())*rolloutRankDelay {
		r.storing = true
		go o.store(ctx, s.Rollout.WithPhase(phase))
	}
	return phase
}

// store stores a phase.
func (o *rollouts) store(ctx context.Context, r wasabiridge.SoftwareRollout) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	n := o.node
	id := fmt.Sprintf("%s/%d/%d", n.options.Settings.Instance, n.incarnation, n.options.Clock.Now())
	err := wasabirollout.StorePhase(ctx, n.options.Platform.Table, id, r)
	o.log.Info().Err(err).Str("pool", string(r.Pool)).Str("software", string(r.To)).Str("phase", string(r.Phase)).Msg("Phase of a rollout stored.")
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.state(r.Pool, r.Order)
	if s.storing = false; err == nil {
		s.stored = r.Phase
	}
}

// logPhase logs a phase with the evidence for it.
func (o *rollouts) logPhase(now wasabiridge.Millis, s wasabireplica.RolloutState, phase wasabiridge.RolloutPhase, reason string) {
	v := s.Verdict
	o.log.Info().Str("pool", string(s.Rollout.Pool)).Str("software", string(s.Rollout.To)).Uint64("order", wasabiridge.VersionOf(s.Rollout.Order)).
		Str("phase", string(phase)).Str("cause", reason).Int64("age_ms", int64(now-s.Since)).Int("servers_new", s.New).Int("servers_old", s.Old).
		Uint64("sent", s.Sent).Uint64("exposed", s.Exposed).Str("measure", v.Measure).Str("rule", string(v.Rule)).Uint64("answers", v.Answers).
		Uint64("bad", v.BadAnswers).Uint64("old_answers", v.OldAnswers).Uint64("old_bad", v.OldBad).Float64("chance", v.Chance).
		Msg("Phase of a rollout decided.")
}

// receive takes what another instance has counted.
func (o *rollouts) receive(update wasabiridge.StateUpdate) {
	if len(update.Answers) == 0 {
		return
	}
	orders := map[wasabiridge.PoolID]uint64{}
	for _, r := range o.node.catalog.View().Snapshot.Rollouts {
		orders[r.Pool] = r.Order
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range update.Answers {
		if orders[a.Pool] == a.Order {
			o.state(a.Pool, a.Order).evidence.Add(update.From, []wasabiridge.SoftwareAnswers{a})
		}
	}
}

// rolloutReport is what the metrics listener shows of a rollout.
type rolloutReport struct {
	Pool     wasabiridge.PoolID          `json:"pool"`
	To       wasabiridge.SoftwareVersion `json:"to"`
	Phase    wasabiridge.RolloutPhase    `json:"phase"`
	Age      wasabiridge.Millis          `json:"age_ms"`
	Duration wasabiridge.Millis          `json:"duration_ms"`
	New      int                         `json:"servers_new"`
	Old      int                         `json:"servers_old"`
	Sent     uint64                      `json:"sent"`
	Exposed  uint64                      `json:"exposed"`
	Verdict  *wasabirollout.Verdict      `json:"verdict,omitempty"`
}

func (o *rollouts) reports() []rolloutReport {
	now := o.node.options.Clock.Now()
	var states []wasabireplica.RolloutState
	o.node.loop.Inspect(func() { states = o.node.placer.Rollouts(now) })
	o.mu.Lock()
	defer o.mu.Unlock()
	out := []rolloutReport{}
	for _, s := range states {
		r := rolloutReport{
			Pool: s.Rollout.Pool, To: s.Rollout.To, Phase: s.Rollout.Phase, Age: now - s.Since, Duration: s.Rollout.Duration,
			New: s.New, Old: s.Old, Sent: s.Sent, Exposed: s.Exposed,
		}
		if known := o.byPool[r.Pool]; known != nil && known.verdict.Bad {
			v := known.verdict
			r.Verdict = &v
		}
		out = append(out, r)
	}
	return out
}

// serve writes the rollouts as JSON.
func (o *rollouts) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o.reports())
}

// lines returns the metrics of the rollouts.
func (o *rollouts) lines() []string {
	var out []string
	for _, r := range o.reports() {
		labels := fmt.Sprintf("{pool=%q,software=%q,phase=%q}", r.Pool, r.To, r.Phase)
		out = append(out, line("rollout_age_ms"+labels, int64(r.Age)), line("rollout_sent_total"+labels, int64(r.Sent)), line("rollout_exposed_total"+labels, int64(r.Exposed)))
	}
	return out
}
