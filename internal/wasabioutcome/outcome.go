// Package wasabioutcome counts what became of requests and shows it for a
// quarter.
//
// Each instance keeps one window for each day in UTC: counters and mergeable
// histograms for every client account, rule and model. Every few minutes it
// writes the window as a whole into the object store, under a name that only
// this life of this instance uses, so that writing again is always harmless.
// A report reads the windows of all instances and merges them; every instance
// may have been replaced since.
//
// What can be lost is what an instance counted since its last write, when it
// dies without warning: Options.Interval at most while the store answers, and
// the length of the outage more while it does not. An instance that lives
// through an outage of up to MaxDays days loses nothing.
//
// # Usage
//
//	recorder := wasabioutcome.New(wasabioutcome.Options{
//		Instance: "pos-1", Incarnation: 17, Clock: clock, Store: store,
//	})
//	go recorder.Run(ctx)
//	recorder.RecordOutcome(outcome)
//
// A quarter is shown by a Reader:
//
//	reader := wasabioutcome.Reader{Store: store, Clock: clock, Targets: targets}
//	report, err := reader.ReadOutcomes(ctx, wasabiridge.OutcomeQuery{Quarter: "2026Q4"})
package wasabioutcome

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// Defaults of Options.
const (
	// DefaultInterval is the time between two writes of a window. 370
	// instances make 1.2 writes a second of it.
	DefaultInterval = 5 * wasabiridge.Minute
	// DefaultMaxSeries bounds the series of a window.
	DefaultMaxSeries = 1024
	// DefaultBytesPerSecond bounds the mean rate of writing.
	DefaultBytesPerSecond = 512
)

// Sizes and times of a Recorder.
const (
	// intakeRing is how many outcomes wait for the counting goroutine. A full
	// ring drops the new outcome and counts it, because a request never waits
	// for its bookkeeping.
	intakeRing = 4096
	pumpEvery  = time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 20 * time.Second
	// finalFlush bounds the writes at a graceful end.
	finalFlush = 10 * time.Second
)

// Options configure a Recorder. Instance, Clock and Store must be set.
type Options struct {
	Instance    wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	Store       wasabiridge.ObjectStore
	// Members returns the instances that are known now. They are written into
	// the window, so that a report can name instances that left nothing.
	Members func() []wasabiridge.InstanceID
	// Interval is the time between two writes. Zero means DefaultInterval.
	Interval wasabiridge.Millis
	// MaxSeries bounds the series of a window; requests beyond it are counted
	// under OtherAccount. Zero means DefaultMaxSeries.
	MaxSeries int
	// BytesPerSecond stretches the interval so that large windows stay within
	// this mean rate. Zero means DefaultBytesPerSecond.
	BytesPerSecond int
	// Seed spreads the writes of instances over the interval.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.MaxSeries <= 0 {
		o.MaxSeries = DefaultMaxSeries
	}
	if o.BytesPerSecond <= 0 {
		o.BytesPerSecond = DefaultBytesPerSecond
	}
	return o
}

// Recorder takes outcomes and writes them to the store. It implements
// wasabiridge.OutcomeRecorder and is safe for concurrent use.
type Recorder struct {
	options Options
	ledger  *Ledger
	intake  chan wasabiridge.Outcome
	lost    atomic.Uint64
	stats   atomic.Pointer[Stats]
}

// New returns a recorder. It writes nothing until Run is called.
func New(o Options) *Recorder {
	o = o.withDefaults()
	r := &Recorder{
		options: o,
		ledger:  NewLedger(o, o.Clock.Now(), rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation)))),
		intake:  make(chan wasabiridge.Outcome, intakeRing),
	}
	r.stats.Store(&Stats{})
	return r
}

// RecordOutcome counts an outcome. It never blocks.
func (r *Recorder) RecordOutcome(o wasabiridge.Outcome) {
	select {
	case r.intake <- o:
	default:
		r.lost.Add(1)
	}
}

// Stats returns figures of the recorder for metrics. They are at most a second
// old.
func (r *Recorder) Stats() Stats { return *r.stats.Load() }

// Run counts and writes until ctx ends; then it writes what is left and
// returns. It owns the ledger.
func (r *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(pumpEvery)
	defer ticker.Stop()
	// One job is in flight at most, so neither channel ever fills.
	jobs, results := make(chan Job, 1), make(chan Result, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for job := range jobs {
			results <- r.carryOut(context.WithoutCancel(ctx), job)
		}
	}()
	defer func() { close(jobs); <-done }()
	busy := false
	for {
		select {
		case <-ctx.Done():
			return r.finish(context.WithoutCancel(ctx), busy, results)
		case o := <-r.intake:
			r.ledger.Add(o)
		case result := <-results:
			busy = false
			r.ledger.Done(r.options.Clock.Now(), result)
		case <-ticker.C:
			busy = r.pump(busy, jobs)
		}
	}
}

// pump hands the next job to the writing goroutine when it is free.
func (r *Recorder) pump(busy bool, jobs chan<- Job) bool {
	now := r.options.Clock.Now()
	r.ledger.Lost(r.lost.Swap(0))
	if r.options.Members != nil {
		r.ledger.Saw(r.options.Members())
	}
	stats := r.ledger.Stats(now)
	r.stats.Store(&stats)
	if busy {
		return true
	}
	job, ready := r.ledger.Next(now)
	if ready {
		jobs <- job
	}
	return ready
}

// finish counts what is in the ring and writes every window a last time.
func (r *Recorder) finish(ctx context.Context, busy bool, results <-chan Result) error {
	ctx, cancel := context.WithTimeout(ctx, finalFlush)
	defer cancel()
	if busy {
		select {
		case result := <-results:
			r.ledger.Done(r.options.Clock.Now(), result)
		case <-ctx.Done():
			return wasabiridge.ErrOutcomeUnknown.New("outcome: the last write did not end in time")
		}
	}
	r.drainIntake()
	r.ledger.Lost(r.lost.Swap(0))
	r.ledger.Seal(r.options.Clock.Now())
	for {
		job, ready := r.ledger.Next(r.options.Clock.Now())
		if !ready {
			return nil
		}
		result := r.carryOut(ctx, job)
		r.ledger.Done(r.options.Clock.Now(), result)
		if result.Err != nil {
			return wasabiridge.ErrOutcomeUnknown.Wrap(result.Err, "outcome: last write of %s", job.Name)
		}
	}
}

func (r *Recorder) drainIntake() {
	for {
		select {
		case o := <-r.intake:
			r.ledger.Add(o)
		default:
			return
		}
	}
}

func (r *Recorder) carryOut(ctx context.Context, job Job) Result {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return job.Run(ctx, r.options.Store)
}
