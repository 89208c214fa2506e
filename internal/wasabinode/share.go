package wasabinode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiloop"
	"github.com/wasabiridge/wasabiridge/internal/wasabireplica"
	"github.com/wasabiridge/wasabiridge/internal/wasabishare"
)

// watchInterval is how often it is checked which pools are shared. It is the shortest time
// between two log lines on one pool.
const watchInterval = time.Second

// shares reports how the pools are shared among client accounts. It is safe for concurrent
// use, except for add.
type shares struct {
	self  wasabiridge.InstanceID
	clock wasabiridge.Clock
	log   zerolog.Logger
	loop  *wasabiloop.Loop
	// limiter is nil if the settings do not ask for sharing. It must be used only inside
	// loop.Inspect.
	limiter *wasabishare.Limiter
	gauge   wasabiridge.PoolGauge
}

var _ wasabiridge.ShareReader = (*shares)(nil)

// assembleShares creates the limiter of the node, which shares the pools if the settings
// ask for it.
func (n *Node) assembleShares(seed uint64) wasabiridge.Limiter {
	o := n.options
	limiter := wasabireplica.NewLimiter(n.placer)
	n.shares = &shares{self: o.Settings.Instance, clock: o.Clock, log: wasabilog.Part(n.log, "share")}
	if !o.Settings.Hosted.SharesPools(o.Platform.Features) {
		return limiter
	}
	n.shares.gauge = limiter
	n.shares.limiter = wasabishare.New(wasabishare.Options{Self: o.Settings.Instance, Gauge: limiter, Next: limiter, Seed: seed})
	return n.shares.limiter
}

// add adds to an update what the other instances have to know. It must be called inside
// loop.Inspect.
func (s *shares) add(now wasabiridge.Millis, update *wasabiridge.StateUpdate) {
	if s.limiter != nil {
		update.Demands = s.limiter.TakeUpdate(now)
	}
}

// Shares implements wasabiridge.ShareReader. The capacity of a pool that is not shared is
// that which the gauge states.
func (s *shares) Shares() wasabiridge.ShareReport {
	out := wasabiridge.ShareReport{Instance: s.self, Enabled: s.limiter != nil, Pools: []wasabiridge.PoolShares{}}
	if s.limiter == nil {
		return out
	}
	s.loop.Inspect(func() {
		now := s.clock.Now()
		out.Pools = append(out.Pools, s.limiter.Report(now)...)
		for i, p := range out.Pools {
			if !p.Shared {
				out.Pools[i].Capacity = s.gauge.Capacity(now, p.Pool)
			}
		}
	})
	return out
}

// serve writes the report as JSON.
func (s *shares) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Shares())
}

// watch logs when a pool begins and ceases to be shared.
func (s *shares) watch(ctx context.Context) {
	if s.limiter == nil {
		return
	}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	began := map[wasabiridge.PoolID]wasabiridge.Millis{}
	for {
		select {
		case <-ticker.C:
			s.logChanges(began)
		case <-ctx.Done():
			return
		}
	}
}

// logChanges logs the pools of which the state differs from began, the times since which
// pools are shared, and brings that up to date.
func (s *shares) logChanges(began map[wasabiridge.PoolID]wasabiridge.Millis) {
	now := s.clock.Now()
	listed := map[wasabiridge.PoolID]bool{}
	for _, p := range s.Shares().Pools {
		listed[p.Pool] = true
		since, shared := began[p.Pool]
		if shared == p.Shared {
			continue
		}
		line := s.log.Info().Str("pool", string(p.Pool)).Float64("pressure", p.Pressure).Int64("capacity_ms", int64(p.Capacity)).
			Int("instances", p.Instances).Int64("news_age_ms", int64(p.Oldest))
		if p.Shared {
			began[p.Pool] = now
			line.Msg("Pool is short of capacity and shared among accounts.")
			continue
		}
		delete(began, p.Pool)
		line.Int64("lasted_ms", int64(now-since)).Msg("Pool has capacity for all again.")
	}
	for id := range began {
		if !listed[id] {
			delete(began, id)
		}
	}
}

// lines returns the metrics of the pools, with pressures in percent and work in milliseconds
// per second.
func (s *shares) lines() []string {
	r := s.Shares()
	lines := []string{line("share_enabled", count(r.Enabled))}
	for _, p := range r.Pools {
		pool := fmt.Sprintf("{pool=%q}", p.Pool)
		lines = append(lines,
			line("share_active"+pool, count(p.Shared)), line("share_pressure_percent"+pool, int64(100*p.Pressure)),
			line("share_capacity_ms"+pool, int64(p.Capacity)), line("share_instances"+pool, int64(p.Instances)),
			line("share_news_age_ms"+pool, int64(p.Oldest)),
		)
		for _, k := range p.Ranks {
			rank := fmt.Sprintf("{pool=%q,priority=\"%d\"}", p.Pool, k.Priority)
			lines = append(lines,
				line("share_offered_ms"+rank, int64(k.Offered)), line("share_admitted_ms"+rank, int64(k.Admitted)),
				line("share_level_ms"+rank, int64(k.Level)), line("share_refused_total"+rank, int64(k.Refused)),
				line("share_waiting"+rank, int64(k.Waiting)),
			)
		}
	}
	return lines
}

func count(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
