package wasabilease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabipulse"
)

// Options configures a Lease.
type Options struct {
	// Name is the name of the lease, such as "rollout/answers".
	Name string
	Self wasabiridge.InstanceID
	// Incarnation must differ between all incarnations of the instance.
	Incarnation wasabiridge.Incarnation
	Table       wasabiridge.Table
	Clock       wasabiridge.Clock
	// Recorder receives timeline events. Nil means that none are recorded.
	Recorder wasabiridge.Recorder
	Timing   Timing
	// Handover returns what the next holder needs if this instance releases the lease. Nil
	// means nothing.
	Handover func() string
}

// Lease contends for one lease in the platform's table. It is safe for
// concurrent use.
type Lease struct {
	options Options
	wanted  atomic.Bool
	// wake ends the longer interval of an instance that did not want the lease.
	wake  chan struct{}
	epoch atomic.Uint64
	grant atomic.Pointer[Grant]
}

// New returns a lease for which this instance does not contend yet.
func New(o Options) *Lease {
	o.Timing = o.Timing.withDefaults()
	l := &Lease{options: o, wake: make(chan struct{}, 1)}
	l.grant.Store(&Grant{})
	return l
}

// idleInterval is the interval at which an instance acts that neither wants nor holds the lease.
const idleInterval = 500 * time.Millisecond

// Contend sets whether this instance wants the lease. A holder must not release
// the lease while a command of its own is in flight: the next holder may start
// at once.
func (l *Lease) Contend(wanted bool) {
	if !l.wanted.Swap(wanted) && wanted {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// ObserveEpoch passes on the newest known epoch of the store. An instance that learns it
// early does not have to wait for the end of an unknown holder's term when it wants the
// lease.
func (l *Lease) ObserveEpoch(epoch wasabiridge.StoreEpoch) {
	l.epoch.Store(uint64(epoch))
}

// Grant returns the current grant. It may have ended, so callers compare it
// with the clock.
func (l *Lease) Grant() Grant {
	return *l.grant.Load()
}

// Run contends for the lease and renews it until the context ends. One
// goroutine calls the table and handles the results in sequence. A call that
// hangs cannot prolong a grant, because every Grant has a fixed end.
func (l *Lease) Run(ctx context.Context) {
	o := l.options
	m := NewMachine(o.Name, o.Self, o.Incarnation, o.Timing)
	interval := max(o.Timing.Renew/10, 1).Duration()
	ticker := wasabipulse.New(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-l.wake:
		case <-ctx.Done():
			return
		}
		if l.wanted.Load() || l.Grant().Fencing != 0 {
			ticker.Next(interval)
		} else {
			ticker.Next(idleInterval)
		}
		contended := Contended{Wanted: l.wanted.Load(), Epoch: wasabiridge.StoreEpoch(l.epoch.Load())}
		if o.Handover != nil {
			contended.Handover = o.Handover()
		}
		l.handle(ctx, m, contended)
	}
}

// handle passes an event to the machine, performs the effects, and handles
// their results in turn.
func (l *Lease) handle(ctx context.Context, m *Machine, e Event) {
	queue := []Event{e}
	for len(queue) > 0 {
		effects := append([]Effect(nil), m.Handle(l.options.Clock.Now(), queue[0])...)
		queue = queue[1:]
		for _, effect := range effects {
			if result := l.perform(ctx, effect); result != nil {
				queue = append(queue, result)
			}
		}
	}
}

func (l *Lease) perform(ctx context.Context, e Effect) Event {
	ctx, cancel := context.WithTimeout(ctx, (l.options.Timing.Renew / 2).Duration())
	defer cancel()
	switch e := e.(type) {
	case ReadRow:
		row, err := l.options.Table.Get(ctx, e.Key)
		return RowRead{Row: row, Err: err}
	case CommitRow:
		return Committed{Err: l.options.Table.Commit(ctx, e.Transaction)}
	case Granted:
		l.publish(e.Grant)
	}
	return nil
}

func (l *Lease) publish(g Grant) {
	before := l.grant.Swap(&g)
	if l.options.Recorder == nil || before.Fencing == g.Fencing {
		return
	}
	cause := "held"
	if g.Fencing == 0 {
		cause = "lost"
	}
	l.options.Recorder.Record(wasabiridge.TimelineEvent{
		At: l.options.Clock.Now(), Instance: l.options.Self, Kind: wasabiridge.EventLease,
		Cause: cause + " " + l.options.Name, Value: int64(max(before.Fencing, g.Fencing)),
	})
}
