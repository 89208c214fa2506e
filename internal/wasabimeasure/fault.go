package wasabimeasure

import (
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// Fault names a failure that is injected into a run.
type Fault string

// Faults that a run can inject. Each starts after 30 % of the measured time.
const (
	// EngineCrash stops one engine, which restarts with an empty cache after 5 s.
	EngineCrash Fault = "engine_crash"
	// EventsLost drops 30 % of the cache events.
	EventsLost Fault = "events_lost"
	// EventsStopped drops all cache events.
	EventsStopped Fault = "events_stopped"
	// LoadLagX10 multiplies the delay of load reports by ten.
	LoadLagX10 Fault = "load_lag_x10"
	// RoutersRestarted restarts all instances at once.
	RoutersRestarted Fault = "routers_restarted"
	// HotShift reverses the popularity of prefixes: the least requested become
	// the most requested.
	HotShift Fault = "hot_shift"
	// ThirdOfPoolDown stops a third of the first pool. The engines restart with
	// empty caches after 30 s.
	ThirdOfPoolDown Fault = "third_of_pool_gone"
	// BackendLeaving makes one engine leave. Instances are notified one after
	// another within 2 s.
	BackendLeaving Fault = "backend_leaving"
	// HalfOfPoolDown stops half of the first pool for 30 s. The engines restart
	// with empty caches.
	HalfOfPoolDown Fault = "half_of_pool_gone"
	// EngineFlapping crashes one engine repeatedly: it restarts 1 s after each
	// crash and crashes 1 s after each restart.
	EngineFlapping Fault = "engine_flapping"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{
		EngineCrash, EventsLost, EventsStopped, LoadLagX10, RoutersRestarted,
		HotShift, ThirdOfPoolDown, BackendLeaving, HalfOfPoolDown, EngineFlapping,
	}
}

func (f Fault) known() bool {
	for _, k := range Faults() {
		if f == k {
			return true
		}
	}
	return false
}

const (
	faultStart       = 0.3
	engineDowntime   = 5 * wasabiridge.Second
	poolDowntime     = 30 * wasabiridge.Second
	flapInterval     = wasabiridge.Second
	leavingSpread    = 2 * wasabiridge.Second
	callerRetryDelay = 100 * wasabiridge.Millis(1)
	eventLossRate    = 0.3
	lagFactor        = 10
)

// faultState holds the faults that stay active for the rest of the run.
type faultState struct {
	losingEvents  bool
	eventsStopped bool
	reportsLate   bool
}

func (f faultState) lag(normal wasabiridge.Millis) wasabiridge.Millis {
	if f.reportsLate {
		return lagFactor * normal
	}
	return normal
}

// dropEvents returns the cache events that are delivered under the active
// faults.
func (f faultState) dropEvents(sim *simulation, events []wasabiridge.CacheEvent) []wasabiridge.CacheEvent {
	if f.eventsStopped {
		return nil
	}
	if !f.losingEvents {
		return events
	}
	var kept []wasabiridge.CacheEvent
	for _, e := range events {
		if sim.random.Float64() >= eventLossRate {
			kept = append(kept, e)
		}
	}
	return kept
}

func (sim *simulation) scheduleFaults() {
	measured := float64(sim.o.Workload.Duration - sim.o.Workload.WarmUp)
	start := sim.o.Workload.WarmUp + wasabiridge.Millis(faultStart*measured)
	for _, f := range sim.o.Faults {
		sim.schedule(start, func() { sim.startFault(f) })
	}
}

func (sim *simulation) startFault(f Fault) {
	pool := sim.o.Workload.Pools[0]
	switch f {
	case EngineCrash:
		sim.kill(pool, 1, engineDowntime)
	case EventsLost:
		sim.faults.losingEvents = true
	case EventsStopped:
		sim.faults.eventsStopped = true
	case LoadLagX10:
		sim.faults.reportsLate = true
	case RoutersRestarted:
		sim.restartRouters()
	case HotShift:
		sim.traffic.shifted = true
	case ThirdOfPoolDown:
		sim.kill(pool, pool.Replicas/3, poolDowntime)
	case HalfOfPoolDown:
		sim.kill(pool, pool.Replicas/2, poolDowntime)
	case BackendLeaving:
		sim.leave(sim.servers[0])
	case EngineFlapping:
		sim.flap(sim.servers[0])
	}
}

// kill crashes the first count engines of a pool. They restart with empty caches
// after the downtime.
func (sim *simulation) kill(pool PoolSpec, count int, downtime wasabiridge.Millis) {
	for _, s := range sim.servers {
		if s.pool.ID == pool.ID && count > 0 {
			count--
			sim.crash(s)
			sim.schedule(sim.now+downtime, s.Restart)
		}
	}
}

func (sim *simulation) flap(s *server) {
	if sim.now > sim.end {
		return
	}
	sim.crash(s)
	sim.schedule(sim.now+flapInterval, func() {
		s.Restart()
		sim.schedule(sim.now+flapInterval, func() { sim.flap(s) })
	})
}

func (sim *simulation) leave(s *server) {
	s.SetLeaving()
	sim.checker.leaving[s.backend.ID] = sim.now
	for i := range sim.instances {
		notifiedAt := sim.now + leavingSpread*wasabiridge.Millis(i)/wasabiridge.Millis(len(sim.instances))
		sim.schedule(notifiedAt, func() { sim.notify(i, wasabiridge.BackendLeaving{Backend: s.backend.ID}) })
	}
}

// restartRouters restarts all instances. Their connections break: engines cancel
// the attempts in flight, and callers send their requests again. Non-idempotent
// requests are not sent again, because the caller cannot know whether the first
// one ran; they count as cut.
func (sim *simulation) restartRouters() {
	sim.pending = nil
	for _, id := range slices.Sorted(maps.Keys(sim.attempts)) {
		a := sim.attempts[id]
		a.server.Cancel(sim.now, a.dispatch.Attempt)
	}
	clear(sim.attempts)
	for i := range sim.instances {
		sim.instances[i].incarnation++
		sim.instances[i].decider = sim.newDecider(i, sim.instances[i].incarnation)
	}
	sim.checker.restarted()
	for _, state := range sim.requests {
		if state.ended {
			continue
		}
		if state.request.Action.NonIdempotent {
			sim.markEnded(state)
			sim.updateFigures(state, func(f *Figures) { f.Interrupted++ })
			continue
		}
		state.winner, state.delivered = 0, 0
		sim.schedule(sim.now+callerRetryDelay, func() { sim.sendToInstance(state) })
	}
}
