package wasabirollout

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
)

// States of a rollout.
const (
	stateRunning    = "running"
	statePaused     = "paused"
	stateDone       = "done"
	stateRolledBack = "rolled_back"
)

// Reasons why a rollout does not move.
const (
	blockedByPause   = "paused"
	blockedByFloor   = "floor of serving replicas"
	blockedByLost    = "replicas that do not answer"
	blockedByLease   = "replicas that know a newer lease"
	blockedByReading = "reading replicas"
)

// Limits bound what a rollout does to its pool. A zero field takes its
// default.
type Limits struct {
	// MaxLoads is how many replicas load at once, 2 by default: more make
	// each load take longer.
	MaxLoads int
	// LoadInterval is the pause between the beginnings of two loads, for the
	// rate of the weight store. The default is one second.
	LoadInterval wasabiridge.Millis
	// Order sets the pace of orders.
	Order wasabiorder.Timing
}

func (l Limits) withDefaults() Limits {
	if l.MaxLoads == 0 {
		l.MaxLoads = 2
	}
	if l.LoadInterval == 0 {
		l.LoadInterval = wasabiridge.Second
	}
	return l
}

// replica is one engine of the pool and the course that leads it to the
// rollout's weights.
type replica struct {
	server wasabiridge.BackendServer
	course *wasabiorder.Course
}

// driver moves one rollout. It is deterministic and not safe for concurrent
// use.
type driver struct {
	rollout  wasabiridge.Rollout
	floor    int
	limits   Limits
	replicas []*replica
	byID     map[wasabiridge.BackendServerID]*replica
	fencing  wasabiridge.FencingNumber
	since    wasabiridge.Millis
	startAt  wasabiridge.Millis
	lastLoad wasabiridge.Millis
	effects  []courseEffect
}

// courseEvent is an event for the course of one replica.
type courseEvent struct {
	Backend wasabiridge.BackendServerID
	Event   wasabiorder.Event
}

// courseEffect is an effect of the course of one replica.
type courseEffect struct {
	Backend wasabiridge.BackendServerID
	Effect  wasabiorder.Effect
}

// newDriver returns a driver that gives no order before startAt.
func newDriver(r wasabiridge.Rollout, pool wasabiridge.Pool, l Limits, startAt wasabiridge.Millis) *driver {
	l = l.withDefaults()
	d := &driver{
		rollout: r, limits: l, startAt: startAt, lastLoad: startAt - l.LoadInterval,
		byID: make(map[wasabiridge.BackendServerID]*replica),
	}
	d.setPool(pool)
	return d
}

// setPool takes the pool as the configuration in force has it. Replicas that
// are new begin their course; those that are gone are forgotten.
func (d *driver) setPool(pool wasabiridge.Pool) {
	before := d.byID
	d.replicas, d.byID = nil, make(map[wasabiridge.BackendServerID]*replica)
	for _, server := range pool.Backends {
		if server.Kind == wasabiridge.BackendService {
			continue
		}
		r := before[server.ID]
		if r == nil || r.server != server {
			order := wasabiridge.EngineOrder{Model: d.rollout.Model, Adapter: d.rollout.Adapter, Weights: d.rollout.Weights}
			r = &replica{server: server, course: wasabiorder.NewCourse(server, order, d.limits.Order)}
		}
		d.replicas = append(d.replicas, r)
		d.byID[server.ID] = r
	}
	d.floor = pool.MinServing
	if d.floor == 0 {
		// Without a floor in the configuration one replica keeps serving,
		// unless the pool has no second.
		d.floor = min(1, len(d.replicas)-1)
	}
}

// tick lets every course go on and returns what has to be done. The returned
// slice is valid until the next call.
func (d *driver) tick(now wasabiridge.Millis, g wasabilease.Grant) []courseEffect {
	d.effects = d.effects[:0]
	if g.Fencing != d.fencing {
		d.fencing, d.since = g.Fencing, now
	}
	for _, r := range d.replicas {
		d.feed(now, g, r, wasabiorder.Ticked{})
	}
	return d.effects
}

// handle takes an event of one replica.
func (d *driver) handle(now wasabiridge.Millis, g wasabilease.Grant, e courseEvent) []courseEffect {
	d.effects = d.effects[:0]
	if r := d.byID[e.Backend]; r != nil {
		d.feed(now, g, r, e.Event)
	}
	return d.effects
}

func (d *driver) feed(now wasabiridge.Millis, g wasabilease.Grant, r *replica, e wasabiorder.Event) {
	// A result may change what the replica needs, so it is taken in before
	// the decision whether the replica may be ordered.
	if _, ok := e.(wasabiorder.Ticked); !ok {
		d.collect(now, r, r.course.Handle(now, g, false, e))
	}
	d.collect(now, r, r.course.Handle(now, g, d.mayOrder(now, r), wasabiorder.Ticked{}))
}

func (d *driver) collect(now wasabiridge.Millis, r *replica, effects []wasabiorder.Effect) {
	for _, effect := range effects {
		if _, ok := effect.(wasabiorder.SendOrder); ok && !r.course.Fits() {
			d.lastLoad = now
		}
		d.effects = append(d.effects, courseEffect{Backend: r.server.ID, Effect: effect})
	}
}

// mayOrder reports whether the replica may be ordered now.
func (d *driver) mayOrder(now wasabiridge.Millis, r *replica) bool {
	if d.rollout.State != stateRunning || now < d.startAt || r.course.Status() != wasabiorder.Waiting {
		return false
	}
	if r.course.Fits() {
		return true
	}
	c := d.count(now)
	return c.loading < d.limits.MaxLoads && c.serving-1 >= d.floor && now-d.lastLoad >= d.limits.LoadInterval
}

// census counts the replicas of a pool.
type census struct {
	loading, serving, done, lost, fenced, unread int
}

// count takes the census.
//
// A driver that died may have left orders on their way. A replica that was not
// read yet under this lease therefore counts as loading, for as long as a load
// may take; otherwise its successor would let more replicas load than allowed.
func (d *driver) count(now wasabiridge.Millis) census {
	var c census
	for _, r := range d.replicas {
		switch course := r.course; {
		case course.MayLoad():
			c.loading++
		case course.Known():
			c.serving++
		case now-d.since < wasabiorder.LoadPatience(d.limits.Order):
			c.loading++
		}
		switch r.course.Status() {
		case wasabiorder.Reached, wasabiorder.Overtaken:
			c.done++
		case wasabiorder.Fenced:
			c.fenced++
		}
		if !r.course.Tried() {
			c.unread++
		} else if !r.course.Known() {
			c.lost++
		}
	}
	return c
}

// progress returns the rollout with what was reached and what blocks it.
func (d *driver) progress(now wasabiridge.Millis) wasabiridge.Rollout {
	c := d.count(now)
	r := d.rollout
	r.Done, r.Total, r.Blocked = c.done, len(d.replicas), ""
	switch {
	case r.State == statePaused:
		r.Blocked = blockedByPause
	case r.Total > 0 && r.Done == r.Total:
		r.State = stateDone
	case c.unread > 0:
		r.Blocked = blockedByReading
	case c.fenced > 0:
		r.Blocked = blockedByLease
	case c.done+c.lost == r.Total:
		r.Blocked = blockedByLost
	case c.loading == 0 && c.serving-1 < d.floor:
		r.Blocked = blockedByFloor
	}
	return r
}
