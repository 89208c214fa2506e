package wasabirollout

import (
	"context"
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
)

const (
	// workers is how many goroutines call engines and the table.
	workers = 8
	// jobsSize bounds the ring to the workers. When it is full, the driving
	// goroutine keeps the work in its own list; there is at most one call
	// per replica and two per pool.
	jobsSize = 64
	// candidates is how many instances contend for the lease of a pool.
	candidates = 3
	// tickEvery is the pause between two ticks.
	tickEvery = 100 * time.Millisecond
	// tableTimeout bounds one call to the table.
	tableTimeout = 5 * time.Second
)

// contest is a lease that this instance contends for while it is active. It is
// kept for the life of the instance: two leases of one name would give two
// writes the same identifier.
type contest struct {
	lease  *wasabilease.Lease
	active bool
}

// Run drives rollouts until the context ends. It returns after all goroutines
// that it started have ended.
func (k *Keeper) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	start := func(duty func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			duty()
		}()
	}
	jobs, results := make(chan fleetEffect, jobsSize), make(chan fleetEvent, jobsSize)
	for range workers {
		start(func() { k.work(ctx, jobs, results) })
	}
	k.decide(ctx, start, jobs, results)
	cancel()
	wg.Wait()
}

// decide owns the fleet.
func (k *Keeper) decide(ctx context.Context, start func(func()), jobs chan<- fleetEffect, results <-chan fleetEvent) {
	f := newFleet(k.options.Self, k.options.Incarnation, k.options.Limits)
	contests := make(map[wasabiridge.PoolID]*contest)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var pending []fleetEffect
	for {
		var out chan<- fleetEffect
		var next fleetEffect
		if len(pending) > 0 {
			next, out = pending[0], jobs
		}
		var event fleetEvent
		select {
		case out <- next:
			pending = pending[1:]
			continue
		case event = <-results:
			if e, ok := event.(callEnded); ok {
				e.Grant = grantOf(contests, e.Pool)
				event = e
			}
		case <-k.nudges:
			event = changed{}
		case <-ticker.C:
			event = fleetTicked{Config: k.options.Config(), Grants: k.grants(contests)}
		case <-ctx.Done():
			return
		}
		for _, effect := range f.handle(k.options.Clock.Now(), event) {
			switch e := effect.(type) {
			case contend:
				if contests[e.Pool] == nil {
					contests[e.Pool] = k.contest(ctx, start, e.Pool)
				}
				contests[e.Pool].active = true
			case leave:
				contests[e.Pool].active = false
			default:
				pending = append(pending, effect)
			}
		}
	}
}

// contest begins to contend for the lease of a pool.
func (k *Keeper) contest(ctx context.Context, start func(func()), pool wasabiridge.PoolID) *contest {
	o := k.options
	lease := wasabilease.New(wasabilease.Options{
		Name: rowPrefix + string(pool), Self: o.Self, Incarnation: o.Incarnation, Table: o.Table,
		Clock: o.Clock, Recorder: o.Recorder, Timing: o.Lease,
	})
	start(func() { lease.Run(ctx) })
	return &contest{lease: lease}
}

// grants returns the leases that are held, and lets candidates contend.
func (k *Keeper) grants(contests map[wasabiridge.PoolID]*contest) map[wasabiridge.PoolID]wasabilease.Grant {
	grants := make(map[wasabiridge.PoolID]wasabilease.Grant, len(contests))
	var members []wasabiridge.InstanceID
	if k.options.Members != nil {
		members = k.options.Members()
	}
	for pool, c := range contests {
		grants[pool] = c.lease.Grant()
		// A holder stays one, so that a change of candidates does not move
		// a rollout from instance to instance.
		candidate := grants[pool].Fencing != 0 ||
			wasabilease.IsCandidate(rowPrefix+string(pool), k.options.Self, members, candidates)
		c.lease.Contend(c.active && candidate)
	}
	return grants
}

func grantOf(contests map[wasabiridge.PoolID]*contest, pool wasabiridge.PoolID) wasabilease.Grant {
	if c, ok := contests[pool]; ok {
		return c.lease.Grant()
	}
	return wasabilease.Grant{}
}

func (k *Keeper) work(ctx context.Context, jobs <-chan fleetEffect, results chan<- fleetEvent) {
	for {
		var result fleetEvent
		select {
		case job := <-jobs:
			result = k.carryOut(ctx, job)
		case <-ctx.Done():
			return
		}
		select {
		case results <- result:
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) carryOut(ctx context.Context, job fleetEffect) fleetEvent {
	switch j := job.(type) {
	case callEngine:
		return callEnded{Pool: j.Pool, Event: courseEvent{Backend: j.Call.Backend, Event: k.call(ctx, j.Call.Effect)}}
	case writeProgress:
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		if err := k.options.Table.Commit(ctx, j.Transaction); err == nil {
			k.record(j.Rollout)
		}
		return progressWritten{Pool: j.Pool}
	default:
		l := job.(listRows)
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		rows, err := k.options.Table.List(ctx, l.Prefix, "", l.Limit)
		return rowsListed{Rows: rows, Err: err}
	}
}

// call carries out the effect of a course.
func (k *Keeper) call(ctx context.Context, e wasabiorder.Effect) wasabiorder.Event {
	switch e := e.(type) {
	case wasabiorder.SendOrder:
		return wasabiorder.OrderAnswered{Fencing: e.Order.Fencing, Err: k.send(ctx, e)}
	default:
		r := e.(wasabiorder.ReadState)
		ctx, cancel := context.WithTimeout(ctx, r.TimeLimit.Duration())
		defer cancel()
		state, err := k.options.Engines.ReadState(ctx, r.Server)
		return wasabiorder.StateRead{Fencing: r.Fencing, State: state, Err: err}
	}
}

// send gives an order, unless its time was used up on the way here. The lease
// covers an order only until then.
func (k *Keeper) send(ctx context.Context, e wasabiorder.SendOrder) error {
	rest := e.Before - k.options.Clock.Now()
	if rest <= 0 {
		return wasabiridge.ErrUnavailable.New("rollout: order to %s waited too long", e.Server.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, rest.Duration())
	defer cancel()
	return k.options.Engines.SendOrder(ctx, e.Server, e.Order)
}
