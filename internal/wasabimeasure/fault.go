package wasabimeasure

import (
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// Fault names something that goes wrong during a run.
type Fault string

// Faults that a run may have. Each begins when three tenths of the measured
// time are over.
const (
	// EngineCrash kills one engine; it is back cold after 5 s.
	EngineCrash Fault = "engine_crash"
	// EventsLost drops three in ten cache events.
	EventsLost Fault = "events_lost"
	// EventsStopped ends all cache events.
	EventsStopped Fault = "events_stopped"
	// LoadLagX10 makes load reports ten times as late.
	LoadLagX10 Fault = "load_lag_x10"
	// RoutersRestarted restarts all instances at once.
	RoutersRestarted Fault = "routers_restarted"
	// HotShift makes the coldest prefixes the hottest.
	HotShift Fault = "hot_shift"
	// ThirdOfPoolGone kills a third of the first pool; it is back cold after
	// 30 s.
	ThirdOfPoolGone Fault = "third_of_pool_gone"
	// BackendLeaving makes one engine leave. Instances learn of it within 2 s.
	BackendLeaving Fault = "backend_leaving"
	// HalfOfPoolGone kills half of the first pool for 30 s.
	HalfOfPoolGone Fault = "half_of_pool_gone"
	// EngineFlapping kills one engine again and again, 1 s after each return.
	EngineFlapping Fault = "engine_flapping"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{
		EngineCrash, EventsLost, EventsStopped, LoadLagX10, RoutersRestarted,
		HotShift, ThirdOfPoolGone, BackendLeaving, HalfOfPoolGone, EngineFlapping,
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
	faultStart    = 0.3
	crashTime     = 5 * wasabiridge.Second
	goneTime      = 30 * wasabiridge.Second
	flapTime      = wasabiridge.Second
	leavingSpread = 2 * wasabiridge.Second
	askAgain      = 100 * wasabiridge.Millis(1)
	lostShare     = 0.3
	lagFactor     = 10
)

// faultState holds the faults that last.
type faultState struct {
	lost    bool
	stopped bool
	lagging bool
}

func (f faultState) lag(normal wasabiridge.Millis) wasabiridge.Millis {
	if f.lagging {
		return lagFactor * normal
	}
	return normal
}

// thin drops cache events that do not come through.
func (f faultState) thin(w *world, events []wasabiridge.CacheEvent) []wasabiridge.CacheEvent {
	if f.stopped {
		return nil
	}
	if !f.lost {
		return events
	}
	var kept []wasabiridge.CacheEvent
	for _, e := range events {
		if w.random.Float64() >= lostShare {
			kept = append(kept, e)
		}
	}
	return kept
}

func (w *world) planFaults() {
	measured := float64(w.o.Workload.Duration - w.o.Workload.WarmUp)
	start := w.o.Workload.WarmUp + wasabiridge.Millis(faultStart*measured)
	for _, f := range w.o.Faults {
		w.at(start, func() { w.begin(f) })
	}
}

func (w *world) begin(f Fault) {
	pool := w.o.Workload.Pools[0]
	switch f {
	case EngineCrash:
		w.kill(pool, 1, crashTime)
	case EventsLost:
		w.faults.lost = true
	case EventsStopped:
		w.faults.stopped = true
	case LoadLagX10:
		w.faults.lagging = true
	case RoutersRestarted:
		w.restartRouters()
	case HotShift:
		w.traffic.shifted = true
	case ThirdOfPoolGone:
		w.kill(pool, pool.Replicas/3, goneTime)
	case HalfOfPoolGone:
		w.kill(pool, pool.Replicas/2, goneTime)
	case BackendLeaving:
		w.leave(w.servers[0])
	case EngineFlapping:
		w.flap(w.servers[0])
	}
}

// kill crashes the first engines of a pool and brings them back cold.
func (w *world) kill(pool PoolSpec, count int, gone wasabiridge.Millis) {
	for _, s := range w.servers {
		if s.pool.ID == pool.ID && count > 0 {
			count--
			w.crash(s)
			w.at(w.now+gone, s.Return)
		}
	}
}

func (w *world) flap(s *server) {
	if w.now > w.end {
		return
	}
	w.crash(s)
	w.at(w.now+flapTime, func() {
		s.Return()
		w.at(w.now+flapTime, func() { w.flap(s) })
	})
}

func (w *world) leave(s *server) {
	s.Leave()
	w.checker.leaving[s.backend.ID] = w.now
	for i := range w.instances {
		told := w.now + leavingSpread*wasabiridge.Millis(i)/wasabiridge.Millis(len(w.instances))
		w.at(told, func() { w.tell(i, wasabiridge.BackendLeaving{Backend: s.backend.ID}) })
	}
}

// restartRouters ends the lives of all instances. Their connections break:
// engines stop what they did for them, and callers ask again. A caller whose
// request must not run twice cannot, because nobody knows whether it ran.
func (w *world) restartRouters() {
	w.inbox = nil
	for _, id := range slices.Sorted(maps.Keys(w.attempts)) {
		a := w.attempts[id]
		a.server.Cancel(w.now, a.dispatch.Attempt)
	}
	clear(w.attempts)
	for i := range w.instances {
		w.instances[i].life++
		w.instances[i].decider = w.newDecider(i, w.instances[i].life)
	}
	w.checker.restarted()
	for _, l := range w.lives {
		if l.ended {
			continue
		}
		if l.request.Action.NonIdempotent {
			w.endOf(l)
			w.each(l, func(f *Figures) { f.Cut++ })
			continue
		}
		l.winner, l.delivered = 0, 0
		w.at(w.now+askAgain, func() { w.ask(l) })
	}
}
