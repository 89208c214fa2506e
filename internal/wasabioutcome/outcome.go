// Package wasabioutcome records the outcomes of requests and reports them by
// quarter.
//
// Each instance keeps one window for each day in UTC: counters and mergeable
// histograms for every client account, rule and model. Every few minutes it
// writes the complete window into the object store. The object name contains
// the instance and its incarnation, so no other process writes the same object
// and repeated writes are idempotent. A report reads and merges the windows of
// all instances. It needs none of the instances that wrote them to be running.
//
// When an instance crashes, the outcomes since its last write are lost. That is
// Options.Interval at most while the store is available, plus the length of the
// outage while it is not. An instance that keeps running through an outage of
// up to MaxDays days loses nothing.
//
// # Usage
//
//	recorder := wasabioutcome.New(wasabioutcome.Options{
//		Instance: "pos-1", Incarnation: 17, Clock: clock, Store: store,
//	})
//	go recorder.Run(ctx)
//	recorder.RecordOutcome(outcome)
//
// A Reader makes the report of a quarter:
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
	// DefaultInterval is the time between two writes of a window. With 370
	// instances it gives 1.2 writes per second.
	DefaultInterval = 5 * wasabiridge.Minute
	// DefaultMaxSeries bounds the series of a window.
	DefaultMaxSeries = 1024
	// DefaultBytesPerSecond bounds the mean write rate of an instance.
	DefaultBytesPerSecond = 512
)

// Queue size and time-outs of a Recorder.
const (
	// queueSize is the number of outcomes that can wait for the goroutine of
	// Run. When the queue is full, a new outcome is dropped and counted as
	// lost, so that a request never waits for its outcome to be recorded.
	queueSize        = 4096
	scheduleInterval = time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 20 * time.Second
	// shutdownTimeout bounds all writes on graceful shutdown.
	shutdownTimeout = 10 * time.Second
)

// Options configure a Recorder. Instance, Clock and Store must be set.
type Options struct {
	Instance    wasabiridge.InstanceID
	Incarnation wasabiridge.Incarnation
	Clock       wasabiridge.Clock
	Store       wasabiridge.ObjectStore
	// Members returns the instances in the membership view. They are written
	// into the window, so that a report can list instances that have written no
	// window. Nil means that no members are recorded.
	Members func() []wasabiridge.InstanceID
	// Interval is the time between two writes. Zero means DefaultInterval.
	Interval wasabiridge.Millis
	// MaxSeries bounds the series of a window; requests beyond it are counted
	// under OtherAccount. Zero means DefaultMaxSeries.
	MaxSeries int
	// BytesPerSecond is the mean write rate that large windows may cause. The
	// interval is extended to stay within it. Zero means
	// DefaultBytesPerSecond.
	BytesPerSecond int
	// Seed is the seed of the jitter that spreads the writes of instances over
	// the interval.
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

// Recorder counts outcomes and writes them to the object store. It implements
// wasabiridge.OutcomeRecorder and is safe for concurrent use.
type Recorder struct {
	options Options
	ledger  *Ledger
	queue   chan wasabiridge.Outcome
	lost    atomic.Uint64
	stats   atomic.Pointer[Stats]
}

// New returns a recorder. It writes nothing until Run is called.
func New(o Options) *Recorder {
	o = o.withDefaults()
	r := &Recorder{
		options: o,
		ledger:  NewLedger(o, o.Clock.Now(), rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation)))),
		queue:   make(chan wasabiridge.Outcome, queueSize),
	}
	r.stats.Store(&Stats{})
	return r
}

// RecordOutcome queues an outcome. It never blocks: when the queue is full, the
// outcome is dropped and counted as lost.
func (r *Recorder) RecordOutcome(o wasabiridge.Outcome) {
	select {
	case r.queue <- o:
	default:
		r.lost.Add(1)
	}
}

// Stats returns figures of the recorder for metrics. They are at most a second
// old.
func (r *Recorder) Stats() Stats { return *r.stats.Load() }

// Run counts queued outcomes and writes windows until ctx is done. Then it seals
// and writes all windows and returns. It reports ErrOutcomeUnknown when a last
// write failed or did not complete in time. Only the goroutine of Run uses the
// ledger.
func (r *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	// At most one job is in flight, so sending to either channel never blocks.
	jobs, results := make(chan Job, 1), make(chan Result, 1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for job := range jobs {
			results <- r.execute(context.WithoutCancel(ctx), job)
		}
	}()
	defer func() { close(jobs); <-done }()
	busy := false
	for {
		select {
		case <-ctx.Done():
			return r.finish(context.WithoutCancel(ctx), busy, results)
		case o := <-r.queue:
			r.ledger.Add(o)
		case result := <-results:
			busy = false
			r.ledger.Done(r.options.Clock.Now(), result)
		case <-ticker.C:
			busy = r.schedule(busy, jobs)
		}
	}
}

// schedule refreshes the statistics and sends the next job to the writing
// goroutine if that one is idle. It returns whether a job is in flight.
func (r *Recorder) schedule(busy bool, jobs chan<- Job) bool {
	now := r.options.Clock.Now()
	r.ledger.CountLost(r.lost.Swap(0))
	if r.options.Members != nil {
		r.ledger.AddSeenInstances(r.options.Members())
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

// finish waits for the job in flight, counts the outcomes that are still queued
// and writes every window a last time.
func (r *Recorder) finish(ctx context.Context, busy bool, results <-chan Result) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if busy {
		select {
		case result := <-results:
			r.ledger.Done(r.options.Clock.Now(), result)
		case <-ctx.Done():
			return wasabiridge.ErrOutcomeUnknown.New("outcome: the write in flight at shutdown did not complete within %v", shutdownTimeout)
		}
	}
	r.drainQueue()
	r.ledger.CountLost(r.lost.Swap(0))
	r.ledger.Seal(r.options.Clock.Now())
	for {
		job, ready := r.ledger.Next(r.options.Clock.Now())
		if !ready {
			return nil
		}
		result := r.execute(ctx, job)
		r.ledger.Done(r.options.Clock.Now(), result)
		if result.Err != nil {
			return wasabiridge.ErrOutcomeUnknown.Wrap(result.Err, "outcome: final write of %s at shutdown", job.Name)
		}
	}
}

func (r *Recorder) drainQueue() {
	for {
		select {
		case o := <-r.queue:
			r.ledger.Add(o)
		default:
			return
		}
	}
}

func (r *Recorder) execute(ctx context.Context, job Job) Result {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return job.Run(ctx, r.options.Store)
}
