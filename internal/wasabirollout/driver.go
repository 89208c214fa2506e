package wasabirollout

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
)

// States of a rollout, as stored in its row.
const (
	stateRunning    = "running"
	statePaused     = "paused"
	stateDone       = "done"
	stateRolledBack = "rolled_back"
)

// Reasons why a rollout makes no progress, as stored in its row and shown to
// operators.
const (
	blockedByPause       = "paused"
	blockedByMinServing  = "floor of serving replicas"
	blockedByUnreachable = "replicas that do not answer"
	blockedByLease       = "replicas that know a newer lease"
	blockedByReading     = "reading replicas"
)

// Limits are the limits on a rollout. The zero value of each field means its
// default.
type Limits struct {
	// MaxLoads is the maximum number of replicas that load at once, 2 by
	// default. With more, each load takes longer.
	MaxLoads int
	// LoadInterval is the minimum time between the starts of two loads, which
	// limits the read rate of the weight store. The default is one second.
	LoadInterval wasabiridge.Millis
	// Order configures the timing of orders.
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

// replica is one engine of the pool with the reconciler of orders and reads that
// brings it to the weights of the rollout.
type replica struct {
	server     wasabiridge.BackendServer
	reconciler *wasabiorder.Reconciler
}

// driver advances one rollout. It is deterministic. It is not safe for
// concurrent use.
type driver struct {
	rollout      wasabiridge.Rollout
	minServing   int
	limits       Limits
	replicas     []*replica
	byID         map[wasabiridge.BackendServerID]*replica
	fencing      wasabiridge.FencingNumber
	fencingSince wasabiridge.Millis
	startAt      wasabiridge.Millis
	lastLoad     wasabiridge.Millis
	effects      []reconcilerEffect
}

// reconcilerEvent is an event for the reconciler of one replica.
type reconcilerEvent struct {
	Backend wasabiridge.BackendServerID
	Event   wasabiorder.Event
}

// reconcilerEffect is an effect that the reconciler of one replica requests.
type reconcilerEffect struct {
	Backend wasabiridge.BackendServerID
	Effect  wasabiorder.Effect
}

// newDriver returns a driver that sends no order before startAt.
func newDriver(r wasabiridge.Rollout, pool wasabiridge.Pool, l Limits, startAt wasabiridge.Millis) *driver {
	l = l.withDefaults()
	d := &driver{
		rollout: r, limits: l, startAt: startAt, lastLoad: startAt - l.LoadInterval,
		byID: make(map[wasabiridge.BackendServerID]*replica),
	}
	d.setPool(pool)
	return d
}

// setPool updates the replicas from the current configuration of the pool. The
// reconciler of a new replica starts; those of removed replicas are dropped.
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
			r = &replica{server: server, reconciler: wasabiorder.NewReconciler(server, order, d.limits.Order)}
		}
		d.replicas = append(d.replicas, r)
		d.byID[server.ID] = r
	}
	d.minServing = pool.MinServing
	if d.minServing == 0 {
		// Without MinServing in the configuration, one replica keeps serving,
		// unless it is the only one in the pool.
		d.minServing = min(1, len(d.replicas)-1)
	}
}

// tick advances all reconcilers and returns the effects to execute. The result is
// valid until the next call.
func (d *driver) tick(now wasabiridge.Millis, g wasabilease.Grant) []reconcilerEffect {
	d.effects = d.effects[:0]
	if g.Fencing != d.fencing {
		d.fencing, d.fencingSince = g.Fencing, now
	}
	for _, r := range d.replicas {
		d.advance(now, g, r, wasabiorder.Ticked{})
	}
	return d.effects
}

// handle applies an event of one replica and returns the effects to execute.
func (d *driver) handle(now wasabiridge.Millis, g wasabilease.Grant, e reconcilerEvent) []reconcilerEffect {
	d.effects = d.effects[:0]
	if r := d.byID[e.Backend]; r != nil {
		d.advance(now, g, r, e.Event)
	}
	return d.effects
}

func (d *driver) advance(now wasabiridge.Millis, g wasabilease.Grant, r *replica, e wasabiorder.Event) {
	// A result may change what the replica needs, so it is applied before the
	// decision whether an order may be sent.
	if _, ok := e.(wasabiorder.Ticked); !ok {
		d.collect(now, r, r.reconciler.Handle(now, g, false, e))
	}
	d.collect(now, r, r.reconciler.Handle(now, g, d.mayOrder(now, r), wasabiorder.Ticked{}))
}

func (d *driver) collect(now wasabiridge.Millis, r *replica, effects []wasabiorder.Effect) {
	for _, effect := range effects {
		if _, ok := effect.(wasabiorder.SendOrder); ok && !r.reconciler.AtTarget() {
			d.lastLoad = now
		}
		d.effects = append(d.effects, reconcilerEffect{Backend: r.server.ID, Effect: effect})
	}
}

// mayOrder reports whether an order may be sent to the replica now.
func (d *driver) mayOrder(now wasabiridge.Millis, r *replica) bool {
	if d.rollout.State != stateRunning || now < d.startAt || r.reconciler.Status() != wasabiorder.Waiting {
		return false
	}
	if r.reconciler.AtTarget() {
		return true
	}
	c := d.count(now)
	return c.loading < d.limits.MaxLoads && c.serving-1 >= d.minServing && now-d.lastLoad >= d.limits.LoadInterval
}

// counts holds the numbers of replicas by state.
type counts struct {
	loading, serving, done, unreachable, fenced, unread int
}

// count counts the replicas by state.
//
// Orders of a failed driver may still be in flight. A replica whose state was
// not read under the current lease therefore counts as loading for as long as a
// load may take. Otherwise its successor would let more replicas load than
// allowed.
func (d *driver) count(now wasabiridge.Millis) counts {
	var c counts
	for _, r := range d.replicas {
		switch reconciler := r.reconciler; {
		case reconciler.MayLoad():
			c.loading++
		case reconciler.Known():
			c.serving++
		case now-d.fencingSince < wasabiorder.LoadTimeout(d.limits.Order):
			c.loading++
		}
		switch r.reconciler.Status() {
		case wasabiorder.Reached, wasabiorder.Superseded:
			c.done++
		case wasabiorder.Fenced:
			c.fenced++
		}
		if !r.reconciler.Attempted() {
			c.unread++
		} else if !r.reconciler.Known() {
			c.unreachable++
		}
	}
	return c
}

// progress returns the rollout with its current progress and the reason if it
// is blocked.
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
	case c.done+c.unreachable == r.Total:
		r.Blocked = blockedByUnreachable
	case c.loading == 0 && c.serving-1 < d.minServing:
		r.Blocked = blockedByMinServing
	}
	return r
}
