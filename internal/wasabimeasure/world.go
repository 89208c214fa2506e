package wasabimeasure

import (
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabibaseline"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

const (
	tickEvery = 50 * wasabiridge.Millis(1)
	// drainTime is how long a run goes on after the last arrival. A request
	// that is still open then is lost.
	drainTime = 2 * wasabiridge.Minute
	// overloadRetry is what a full engine tells its caller.
	overloadRetry = 500 * wasabiridge.Millis(1)
	// healthCheck is how long after a crash every instance knows of it.
	healthCheck = 500 * wasabiridge.Millis(1)
)

// instance is one router.
type instance struct {
	decider wasabiridge.Decider
	life    int
}

// server is one engine with the pool that it belongs to.
type server struct {
	*wasabifake.Engine
	backend wasabiridge.BackendServer
	pool    PoolSpec
}

// life is what the caller of a request sees.
type life struct {
	request  wasabiridge.Request
	stream   StreamSpec
	instance int
	ended    bool
	// winner is the attempt whose answer reaches the caller.
	winner     wasabiridge.AttemptID
	firstToken wasabiridge.Millis
	delivered  int
	attempts   int
}

// attempt is one Dispatch under way.
type attempt struct {
	dispatch wasabiridge.Dispatch
	instance int
	life     *life
	server   *server
	// computed and wasted count prompt tokens, once the attempt has started.
	computed int
	wasted   int
}

type delivery struct {
	instance int
	event    wasabiridge.Event
}

// world is one run.
type world struct {
	o         Options
	now       wasabiridge.Millis
	end       wasabiridge.Millis
	random    *rand.Rand
	config    wasabiridge.Config
	traffic   *traffic
	callers   *callers
	agenda    agenda
	servers   []*server
	byID      map[wasabiridge.BackendServerID]*server
	instances []instance
	lives     []*life
	byRequest map[wasabiridge.RequestID]*life
	attempts  map[wasabiridge.AttemptID]*attempt
	open      int
	inbox     []delivery
	faults    faultState
	checker   *checker
	tally     tally
}

func newWorld(o Options) *world {
	w := &world{
		o:         o,
		end:       o.Workload.Duration,
		random:    rand.New(rand.NewPCG(o.Seed, 3)),
		config:    o.Workload.Config(),
		traffic:   newTraffic(o.Workload, o.Load, o.Seed),
		callers:   newCallers(o),
		byID:      make(map[wasabiridge.BackendServerID]*server),
		byRequest: make(map[wasabiridge.RequestID]*life),
		attempts:  make(map[wasabiridge.AttemptID]*attempt),
		checker:   newChecker(),
	}
	for i, p := range w.config.Pools {
		for _, b := range p.Backends {
			spec := o.Workload.Pools[i]
			s := &server{Engine: spec.engine(b.ID), backend: b, pool: spec}
			w.servers = append(w.servers, s)
			w.byID[b.ID] = s
		}
	}
	for i := range o.Instances {
		w.instances = append(w.instances, instance{decider: w.newDecider(i, 0)})
	}
	return w
}

func (w *world) run() {
	w.arrive()
	w.every(tickEvery, w.tick)
	w.every(w.o.Workload.LoadReportEvery, w.reportLoad)
	w.planFaults()
	for w.now < w.end+drainTime && (w.now <= w.end || w.open > 0) {
		w.step()
	}
	for _, l := range w.lives {
		w.checker.finished(l)
	}
}

// step moves to the next point in time at which something happens.
func (w *world) step() {
	at := w.agenda.next()
	for _, s := range w.servers {
		if next, ok := s.NextAt(); ok && next < at {
			at = next
		}
	}
	w.now = max(w.now, at)
	for _, s := range w.servers {
		if next, ok := s.NextAt(); ok && next <= w.now {
			w.outputs(s)
			w.deliver()
		}
	}
	for do := w.agenda.due(w.now); do != nil; do = w.agenda.due(w.now) {
		do()
		w.deliver()
	}
}

func (w *world) at(at wasabiridge.Millis, do func()) {
	w.agenda.add(at, do)
}

func (w *world) every(span wasabiridge.Millis, do func()) {
	w.at(w.now+span, func() {
		do()
		w.every(span, do)
	})
}

func (w *world) arrive() {
	r, s := w.traffic.next()
	if r.Arrived > w.end {
		return
	}
	w.at(r.Arrived, func() {
		l := &life{request: r, stream: s}
		w.lives = append(w.lives, l)
		w.byRequest[r.ID] = l
		w.open++
		w.each(l, func(f *Figures) { f.Requests++ })
		w.ask(l)
		w.arrive()
	})
}

// ask hands a request to the instance that its caller chose.
func (w *world) ask(l *life) {
	l.instance = w.callers.choose(l.request.Account)
	w.tell(l.instance, wasabiridge.RequestArrived{Request: l.request})
}

func (w *world) tell(instance int, e wasabiridge.Event) {
	w.inbox = append(w.inbox, delivery{instance, e})
}

func (w *world) tellAll(e wasabiridge.Event) {
	for i := range w.instances {
		w.tell(i, e)
	}
}

// deliver hands out events until none is left. Effects may add more.
func (w *world) deliver() {
	for len(w.inbox) > 0 {
		d := w.inbox[0]
		w.inbox = w.inbox[1:]
		for _, e := range w.handle(d) {
			w.apply(d.instance, e)
		}
	}
}

func (w *world) handle(d delivery) []wasabiridge.Effect {
	w.checker.told(d)
	decider := w.instances[d.instance].decider
	if w.o.Stopwatch == nil {
		return decider.Handle(w.now, d.event)
	}
	start := w.o.Stopwatch()
	effects := decider.Handle(w.now, d.event)
	if _, ok := d.event.(wasabiridge.RequestArrived); ok {
		w.tally.costs = append(w.tally.costs, w.o.Stopwatch()-start)
	}
	return effects
}

func (w *world) tick() {
	w.publish()
	w.tellAll(wasabiridge.Ticked{})
}

// publish takes the cache events of all engines on their way.
func (w *world) publish() {
	for _, s := range w.servers {
		if events := w.faults.thin(w, s.TakeEvents()); len(events) > 0 {
			w.at(w.now+w.o.Workload.CacheEventDelay, func() { w.tellAll(wasabiridge.CacheChanged{Events: events}) })
		}
	}
}

func (w *world) reportLoad() {
	for _, s := range w.servers {
		if s.Down() {
			continue
		}
		report := wasabiridge.LoadReported{Report: s.Load(w.now)}
		w.at(w.now+w.faults.lag(w.o.Workload.LoadReportLag), func() { w.tellAll(report) })
	}
}

// Forecast lets the oracle see everything.
func (w *world) Forecast(now wasabiridge.Millis, b wasabiridge.BackendServerID, c wasabiridge.Chain) wasabibaseline.Forecast {
	s := w.byID[b]
	wait, cached := s.Engine.Forecast(now, c)
	return wasabibaseline.Forecast{
		Incarnation: s.Incarnation(), Down: s.Down(), Wait: wait, Cached: cached,
		Compute: s.PrefillTime(c.Tokens - cached),
	}
}
