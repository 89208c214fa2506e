// Package wasabimetrics holds the metrics of one instance.
//
// Definitions lists every metric with its kind, unit and meaning. The page
// docs/METRICS.md is generated from it, and a test compares both. Names that are
// not defined cannot be registered, so that no metric is undocumented.
//
// # Usage
//
//	set := wasabimetrics.New()
//	set.Counter(wasabimetrics.RequestsArrived).Inc(1)
//	set.Histogram(wasabimetrics.FirstToken).Update(212)
//	set.RegisterGauge(wasabimetrics.RequestsOpen, func() int64 { return open.Load() })
//	err := set.WriteMetrics(w)
package wasabimetrics

import (
	"context"
	"io"
	"runtime"
	rtmetrics "runtime/metrics"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rcrowley/go-metrics"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabioutcome"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// Size and decay factor of the exponentially decaying reservoirs of histograms.
// The factor weights the sample towards the last minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	// heapMetric is the name of the heap in use in package runtime/metrics.
	heapMetric = "/memory/classes/heap/objects:bytes"
)

// Set is the metrics registry of one instance. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry
	counters map[Name]metrics.Counter
	samples  map[Name]metrics.Histogram
}

// New returns a set with all counters and histograms at zero and without gauges.
func New() *Set {
	s := &Set{
		registry: metrics.NewRegistry(),
		counters: map[Name]metrics.Counter{},
		samples:  map[Name]metrics.Histogram{},
	}
	for _, d := range Definitions() {
		s.add(d)
	}
	return s
}

func (s *Set) add(d Definition) {
	name := string(d.Name)
	switch d.Kind {
	case KindCounter:
		s.counters[d.Name] = metrics.NewRegisteredCounter(name, s.registry)
	case KindHistogram:
		sample := metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)
		s.samples[d.Name] = metrics.NewRegisteredHistogram(name, s.registry, sample)
	case KindGauge:
		// RegisterGauge registers a gauge. A gauge that no component of the
		// instance registers is left out of the output, because a zero would
		// be taken for a measured value.
	}
}

// Counter returns a counter. If n is not a defined counter, it returns one that
// discards all updates.
func (s *Set) Counter(n Name) metrics.Counter {
	if c, found := s.counters[n]; found {
		return c
	}
	return metrics.NilCounter{}
}

// Histogram returns a histogram. If n is not a defined histogram, it returns one
// that discards all updates.
func (s *Set) Histogram(n Name) metrics.Histogram {
	if h, found := s.samples[n]; found {
		return h
	}
	return metrics.NilHistogram{}
}

// RegisterGauge registers the function that returns the current value of a gauge. It
// reports ErrNotFound if n is not a defined gauge, and ErrConflict if n is
// registered already.
func (s *Set) RegisterGauge(n Name, f func() int64) error {
	if !isGauge(n) {
		return wasabiridge.ErrNotFound.New("metrics: %s is not a defined gauge", n)
	}
	if err := s.registry.Register(string(n), metrics.NewFunctionalGauge(f)); err != nil {
		return wasabiridge.ErrConflict.Wrap(err, "metrics: register %s", n)
	}
	return nil
}

func isGauge(n Name) bool {
	for _, d := range Definitions() {
		if d.Name == n {
			return d.Kind == KindGauge
		}
	}
	return false
}

// Gauges maps gauges to the functions that return their current values.
type Gauges map[Name]func() int64

// RegisterGauges registers gauges with RegisterGauge, in the order of Definitions, and
// returns the first error. Names without a definition are ignored.
func (s *Set) RegisterGauges(gauges Gauges) error {
	for _, d := range Definitions() {
		f, found := gauges[d.Name]
		if !found {
			continue
		}
		if err := s.RegisterGauge(d.Name, f); err != nil {
			return err
		}
	}
	return nil
}

// TimelineGauges returns the gauges of a time line log.
func TimelineGauges(l *wasabitimeline.Log) Gauges {
	return Gauges{
		TimelineEvents:  func() int64 { recorded, _ := l.Recorded(); return int64(recorded) },
		TimelineDropped: func() int64 { _, dropped := l.Recorded(); return int64(dropped) },
		TimelineSkews:   func() int64 { return int64(l.IgnoredSkews()) },
	}
}

// OutcomeGauges returns the gauges of an outcome recorder.
func OutcomeGauges(r *wasabioutcome.Recorder) Gauges {
	return Gauges{
		OutcomeSeries:        func() int64 { return int64(r.Stats().Series) },
		OutcomeFolded:        func() int64 { return int64(r.Stats().Folded) },
		OutcomeWrites:        func() int64 { return int64(r.Stats().Writes) },
		OutcomeWriteFailures: func() int64 { return int64(r.Stats().Failures) },
		OutcomeUnwrittenAge:  func() int64 { return int64(r.Stats().OldestUnwrittenAge) },
		OutcomeDropped:       func() int64 { return int64(r.Stats().DroppedDays) },
	}
}

// ProcessGauges returns the gauges of the Go runtime of this process.
func ProcessGauges() Gauges {
	return Gauges{
		ProcessGoroutines: func() int64 { return int64(runtime.NumGoroutine()) },
		ProcessHeap: func() int64 {
			sample := []rtmetrics.Sample{{Name: heapMetric}}
			rtmetrics.Read(sample)
			return int64(sample[0].Value.Uint64())
		},
	}
}

// WriteMetrics writes all registered metrics as one JSON object, keyed by name.
// Write errors are not reported.
func (s *Set) WriteMetrics(w io.Writer) error {
	metrics.WriteJSONOnce(s.registry, w)
	return nil
}

// Names returns the names of all registered metrics.
func (s *Set) Names() []Name {
	var names []Name
	s.registry.Each(func(name string, _ any) { names = append(names, Name(name)) })
	return names
}

// Watch counts the time line events of the messages of a subscription and
// acknowledges the messages, until the channel is closed or ctx is done. It
// blocks, so it needs a goroutine of its own.
func (s *Set) Watch(ctx context.Context, messages <-chan *message.Message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m, open := <-messages:
			if !open {
				return
			}
			s.countMessage(m)
			m.Ack()
		}
	}
}

// countMessage counts the events of one message, and as unreadable a message that
// carries no batch of events.
func (s *Set) countMessage(m *message.Message) {
	batch, err := wasabitimeline.BatchOf(m)
	if err != nil {
		s.Counter(TimelineUnreadable).Inc(1)
		return
	}
	s.Counter(TimelineUnpublished).Inc(int64(batch.Overwritten))
	for _, e := range batch.Events {
		s.Counter(eventCounter(e.Kind)).Inc(1)
		if e.Kind == wasabiridge.EventFirstToken {
			s.Histogram(FirstToken).Update(e.Value)
		}
	}
}
