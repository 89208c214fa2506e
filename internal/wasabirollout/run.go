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
	// workers is the number of goroutines that call engines and the table.
	workers = 8
	// jobQueueSize is the capacity of the channel to the workers. When it is
	// full, the driving goroutine keeps the jobs in its own list, which is
	// bounded by one call per replica and two per pool.
	jobQueueSize = 64
	// leaseCandidates is the number of instances that contend for the lease of
	// a pool.
	leaseCandidates = 3
	// tickInterval is the interval between ticks.
	tickInterval = 100 * time.Millisecond
	// tableTimeout is the time-out of one call to the table.
	tableTimeout = 5 * time.Second
)

// contender is a lease that this instance contends for while active is set. It
// is kept until the instance ends: two leases with the same name would create
// two writes with the same identifier.
type contender struct {
	lease  *wasabilease.Lease
	active bool
}

// Run drives rollouts until ctx is done. It returns after all goroutines that
// it started have ended.
func (k *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	start := func(task func()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			task()
		}()
	}
	jobs, results := make(chan machineEffect, jobQueueSize), make(chan machineEvent, jobQueueSize)
	for range workers {
		start(func() { k.work(ctx, jobs, results) })
	}
	k.decide(ctx, start, jobs, results)
	cancel()
	wg.Wait()
}

// decide runs the machine. It is the only goroutine that uses it.
func (k *Controller) decide(ctx context.Context, start func(func()), jobs chan<- machineEffect, results <-chan machineEvent) {
	f := newMachine(k.options.Self, k.options.Incarnation, k.options.Limits)
	contenders := make(map[wasabiridge.PoolID]*contender)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var pending []machineEffect
	for {
		var out chan<- machineEffect
		var next machineEffect
		if len(pending) > 0 {
			next, out = pending[0], jobs
		}
		var event machineEvent
		select {
		case out <- next:
			pending = pending[1:]
			continue
		case event = <-results:
			if e, ok := event.(callEnded); ok {
				e.Grant = grantOf(contenders, e.Pool)
				event = e
			}
		case <-k.rowChanges:
			event = rolloutChanged{}
		case <-ticker.C:
			event = ticked{Config: k.options.Config(), Grants: k.grants(contenders)}
		case <-ctx.Done():
			return
		}
		for _, effect := range f.handle(k.options.Clock.Now(), event) {
			switch e := effect.(type) {
			case contendLease:
				if contenders[e.Pool] == nil {
					contenders[e.Pool] = k.startContender(ctx, start, e.Pool)
				}
				contenders[e.Pool].active = true
			case leaveLease:
				contenders[e.Pool].active = false
			default:
				pending = append(pending, effect)
			}
		}
	}
}

// startContender starts a contender for the lease of a pool.
func (k *Controller) startContender(ctx context.Context, start func(func()), pool wasabiridge.PoolID) *contender {
	o := k.options
	lease := wasabilease.New(wasabilease.Options{
		Name: rowPrefix + string(pool), Self: o.Self, Incarnation: o.Incarnation, Table: o.Table,
		Clock: o.Clock, Recorder: o.Recorder, Timing: o.Lease,
	})
	start(func() { lease.Run(ctx) })
	return &contender{lease: lease}
}

// grants returns the leases that this instance holds, and updates for which of
// them it contends.
func (k *Controller) grants(contenders map[wasabiridge.PoolID]*contender) map[wasabiridge.PoolID]wasabilease.Grant {
	grants := make(map[wasabiridge.PoolID]wasabilease.Grant, len(contenders))
	var members []wasabiridge.InstanceID
	if k.options.Members != nil {
		members = k.options.Members()
	}
	for pool, c := range contenders {
		grants[pool] = c.lease.Grant()
		// A holder remains a candidate, so that a change of candidates does not
		// move a rollout between instances.
		candidate := grants[pool].Fencing != 0 ||
			wasabilease.IsCandidate(rowPrefix+string(pool), k.options.Self, members, leaseCandidates)
		c.lease.Contend(c.active && candidate)
	}
	return grants
}

func grantOf(contenders map[wasabiridge.PoolID]*contender, pool wasabiridge.PoolID) wasabilease.Grant {
	if c, ok := contenders[pool]; ok {
		return c.lease.Grant()
	}
	return wasabilease.Grant{}
}

func (k *Controller) work(ctx context.Context, jobs <-chan machineEffect, results chan<- machineEvent) {
	for {
		var result machineEvent
		select {
		case job := <-jobs:
			result = k.execute(ctx, job)
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

func (k *Controller) execute(ctx context.Context, job machineEffect) machineEvent {
	switch j := job.(type) {
	case callEngine:
		return callEnded{Pool: j.Pool, Event: reconcilerEvent{Backend: j.Call.Backend, Event: k.call(ctx, j.Call.Effect)}}
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

// call executes the effect of a reconciler.
func (k *Controller) call(ctx context.Context, e wasabiorder.Effect) wasabiorder.Event {
	switch e := e.(type) {
	case wasabiorder.SendOrder:
		return wasabiorder.OrderResult{Fencing: e.Order.Fencing, Err: k.send(ctx, e)}
	default:
		r := e.(wasabiorder.ReadState)
		ctx, cancel := context.WithTimeout(ctx, r.TimeLimit.Duration())
		defer cancel()
		state, err := k.options.Engines.ReadState(ctx, r.Server)
		return wasabiorder.StateResult{Fencing: r.Fencing, State: state, Err: err}
	}
}

// send sends an order, unless its time has expired before it could be sent. The
// lease covers an order only until then.
func (k *Controller) send(ctx context.Context, e wasabiorder.SendOrder) error {
	remaining := e.Before - k.options.Clock.Now()
	if remaining <= 0 {
		return wasabiridge.ErrUnavailable.New("rollout: order to %s expired before it was sent", e.Server.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	return k.options.Engines.SendOrder(ctx, e.Server, e.Order)
}
