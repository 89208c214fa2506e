package wasabimeasure

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibaseline"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

const (
	tickEvery = 50 * wasabiridge.Millis(1)
	// drainTime is how long a run continues after the last arrival. Requests
	// that are still open then are reported as violations.
	drainTime = 2 * wasabiridge.Minute
	// overloadRetry is the Retry-After of an engine whose queue is full.
	overloadRetry = 500 * wasabiridge.Millis(1)
	// healthCheck is the delay after which health checks report a crash to all
	// instances.
	healthCheck = 500 * wasabiridge.Millis(1)
)

// instance is one simulated router.
type instance struct {
	decider     wasabiridge.Decider
	incarnation int
}

// server is a simulated engine with the pool that it belongs to.
type server struct {
	*wasabifake.Engine
	backend wasabiridge.BackendServer
	pool    PoolSpec
}

// requestState is the state of a request as its caller sees it.
type requestState struct {
	request  wasabiridge.Request
	stream   StreamSpec
	instance int
	ended    bool
	// winner is the attempt whose answer the caller receives, or 0.
	winner     wasabiridge.AttemptID
	firstToken wasabiridge.Millis
	delivered  int
	attempts   int
}

// attempt is one Dispatch in flight.
type attempt struct {
	dispatch wasabiridge.Dispatch
	instance int
	state    *requestState
	server   *server
	// computed and wasted count prompt tokens. They are zero until the attempt
	// has started.
	computed int
	wasted   int
}

type delivery struct {
	instance int
	event    wasabiridge.Event
}

// simulation is the state of one run.
type simulation struct {
	o         Options
	now       wasabiridge.Millis
	end       wasabiridge.Millis
	random    *rand.Rand
	config    wasabiridge.Config
	traffic   *traffic
	callers   *callers
	queue     taskQueue
	servers   []*server
	byID      map[wasabiridge.BackendServerID]*server
	instances []instance
	requests  []*requestState
	byRequest map[wasabiridge.RequestID]*requestState
	attempts  map[wasabiridge.AttemptID]*attempt
	open      int
	pending   []delivery
	faults    faultState
	checker   *checker
	tally     tally
}

func newSimulation(o Options) *simulation {
	sim := &simulation{
		o:         o,
		end:       o.Workload.Duration,
		random:    rand.New(rand.NewPCG(o.Seed, 3)),
		config:    o.Workload.Config(),
		traffic:   newTraffic(o.Workload, o.Load, o.Seed),
		callers:   newCallers(o),
		byID:      make(map[wasabiridge.BackendServerID]*server),
		byRequest: make(map[wasabiridge.RequestID]*requestState),
		attempts:  make(map[wasabiridge.AttemptID]*attempt),
		checker:   newChecker(),
	}
	for i, p := range sim.config.Pools {
		for _, b := range p.Backends {
			spec := o.Workload.Pools[i]
			s := &server{Engine: spec.engine(b.ID), backend: b, pool: spec}
			sim.servers = append(sim.servers, s)
			sim.byID[b.ID] = s
		}
	}
	for i := range o.Instances {
		sim.instances = append(sim.instances, instance{decider: sim.newDecider(i, 0)})
	}
	return sim
}

func (sim *simulation) run() {
	sim.arrive()
	sim.scheduleEvery(tickEvery, sim.tick)
	sim.scheduleEvery(sim.o.Workload.LoadReportEvery, sim.reportLoad)
	sim.scheduleFaults()
	for sim.now < sim.end+drainTime && (sim.now <= sim.end || sim.open > 0) {
		sim.step()
	}
	for _, state := range sim.requests {
		sim.checker.finished(state)
	}
}

// step advances the virtual time to the next engine output or task and handles
// all that are due at that time.
func (sim *simulation) step() {
	at := sim.queue.nextAt()
	for _, s := range sim.servers {
		if next, ok := s.NextAt(); ok && next < at {
			at = next
		}
	}
	sim.now = max(sim.now, at)
	for _, s := range sim.servers {
		if next, ok := s.NextAt(); ok && next <= sim.now {
			sim.processOutputs(s)
			sim.deliver()
		}
	}
	for do := sim.queue.popDue(sim.now); do != nil; do = sim.queue.popDue(sim.now) {
		do()
		sim.deliver()
	}
}

func (sim *simulation) schedule(at wasabiridge.Millis, do func()) {
	sim.queue.add(at, do)
}

func (sim *simulation) scheduleEvery(span wasabiridge.Millis, do func()) {
	sim.schedule(sim.now+span, func() {
		do()
		sim.scheduleEvery(span, do)
	})
}

func (sim *simulation) arrive() {
	r, s := sim.traffic.next()
	if r.Arrived > sim.end {
		return
	}
	sim.schedule(r.Arrived, func() {
		state := &requestState{request: r, stream: s}
		sim.requests = append(sim.requests, state)
		sim.byRequest[r.ID] = state
		sim.open++
		sim.updateFigures(state, func(f *Figures) { f.Requests++ })
		sim.sendToInstance(state)
		sim.arrive()
	})
}

// sendToInstance sends a request to the instance that its caller chose.
func (sim *simulation) sendToInstance(state *requestState) {
	state.instance = sim.callers.choose(state.request.Account)
	sim.notify(state.instance, wasabiridge.RequestArrived{Request: state.request})
}

func (sim *simulation) notify(instance int, e wasabiridge.Event) {
	sim.pending = append(sim.pending, delivery{instance, e})
}

func (sim *simulation) notifyAll(e wasabiridge.Event) {
	for i := range sim.instances {
		sim.notify(i, e)
	}
}

// deliver passes pending events to their instances and applies the resulting
// effects, which may add events, until none is pending.
func (sim *simulation) deliver() {
	for len(sim.pending) > 0 {
		d := sim.pending[0]
		sim.pending = sim.pending[1:]
		for _, e := range sim.handle(d) {
			sim.apply(d.instance, e)
		}
	}
}

func (sim *simulation) handle(d delivery) []wasabiridge.Effect {
	sim.checker.delivered(d)
	decider := sim.instances[d.instance].decider
	if sim.o.Stopwatch == nil {
		return decider.Handle(sim.now, d.event)
	}
	start := sim.o.Stopwatch()
	effects := decider.Handle(sim.now, d.event)
	if _, ok := d.event.(wasabiridge.RequestArrived); ok {
		sim.tally.decisionTimes = append(sim.tally.decisionTimes, sim.o.Stopwatch()-start)
	}
	return effects
}

func (sim *simulation) tick() {
	sim.publish()
	sim.notifyAll(wasabiridge.Ticked{})
}

// publish schedules the delivery of new cache events of all engines to all
// instances.
func (sim *simulation) publish() {
	for _, s := range sim.servers {
		if events := sim.faults.dropEvents(sim, s.TakeEvents()); len(events) > 0 {
			sim.schedule(sim.now+sim.o.Workload.CacheEventDelay, func() { sim.notifyAll(wasabiridge.CacheChanged{Events: events}) })
		}
	}
}

func (sim *simulation) reportLoad() {
	for _, s := range sim.servers {
		if s.Down() {
			continue
		}
		report := wasabiridge.LoadReported{Report: s.Load(sim.now)}
		sim.schedule(sim.now+sim.faults.lag(sim.o.Workload.LoadReportLag), func() { sim.notifyAll(report) })
	}
}

// Forecast gives the oracle policy the exact queueing delay and cached tokens of
// an engine, which routers can only estimate.
func (sim *simulation) Forecast(now wasabiridge.Millis, b wasabiridge.BackendServerID, c wasabiridge.Chain) wasabibaseline.Forecast {
	s := sim.byID[b]
	wait, cached := s.Engine.Forecast(now, c)
	return wasabibaseline.Forecast{
		Incarnation: s.Incarnation(), Down: s.Down(), Wait: wait, Cached: cached,
		Compute: s.PrefillTime(c.Tokens - cached),
	}
}
