// Package wasabimetrics holds the metrics of one instance.
//
// Every metric is defined in the table Definitions with its kind, unit and
// meaning, and docs/METRICS.md lists the same table; a test compares both. A
// name that is not defined cannot be used, so that no metric goes without
// documentation.
//
// # Usage
//
//	set := wasabimetrics.New()
//	set.Counter(wasabimetrics.RequestsArrived).Inc(1)
//	set.Histogram(wasabimetrics.FirstToken).Update(212)
//	set.GaugeFunc(wasabimetrics.RequestsOpen, func() int64 { return open.Load() })
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

// Sample sizes of histograms: a reservoir of the last minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	// heapMetric is the runtime's name of the heap in use.
	heapMetric = "/memory/classes/heap/objects:bytes"
)

// Set is the registry of one instance. It is safe for concurrent use.
type Set struct {
	registry metrics.Registry
	counters map[Name]metrics.Counter
	samples  map[Name]metrics.Histogram
}

// New returns a set in which counters and histograms stand at zero.
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
		// A gauge appears when GaugeFunc sets it. One that no part of this
		// instance sets is left out, because a zero would be taken for a
		// measured value.
	}
}

// Counter returns a defined counter. A name that is not one counts nowhere.
func (s *Set) Counter(n Name) metrics.Counter {
	if c, found := s.counters[n]; found {
		return c
	}
	return metrics.NilCounter{}
}

// Histogram returns a defined histogram. A name that is not one goes nowhere.
func (s *Set) Histogram(n Name) metrics.Histogram {
	if h, found := s.samples[n]; found {
		return h
	}
	return metrics.NilHistogram{}
}

// GaugeFunc sets the function that is asked for a defined gauge, once. It
// reports ErrNotFound for a name that is no gauge and ErrConflict for one that
// is set already.
func (s *Set) GaugeFunc(n Name, f func() int64) error {
	if !isGauge(n) {
		return wasabiridge.ErrNotFound.New("metrics: %s is no gauge", n)
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

// Gauges are functions that are asked for gauges.
type Gauges map[Name]func() int64

// Set gives each gauge its function. It reports the first failure.
func (s *Set) Set(gauges Gauges) error {
	for _, d := range Definitions() {
		f, found := gauges[d.Name]
		if !found {
			continue
		}
		if err := s.GaugeFunc(d.Name, f); err != nil {
			return err
		}
	}
	return nil
}

// TimelineGauges returns the gauges of a time line.
func TimelineGauges(l *wasabitimeline.Log) Gauges {
	return Gauges{
		TimelineEvents:  func() int64 { recorded, _ := l.Recorded(); return int64(recorded) },
		TimelineDropped: func() int64 { _, dropped := l.Recorded(); return int64(dropped) },
		TimelineSkews:   func() int64 { return int64(l.RefusedSkews()) },
	}
}

// OutcomeGauges returns the gauges of a recorder of outcomes.
func OutcomeGauges(r *wasabioutcome.Recorder) Gauges {
	return Gauges{
		OutcomeSeries:   func() int64 { return int64(r.Stats().Series) },
		OutcomeFolded:   func() int64 { return int64(r.Stats().Folded) },
		OutcomeWrites:   func() int64 { return int64(r.Stats().Writes) },
		OutcomeFailures: func() int64 { return int64(r.Stats().Failures) },
		OutcomePending:  func() int64 { return int64(r.Stats().Unwritten) },
		OutcomeDropped:  func() int64 { return int64(r.Stats().DroppedDays) },
	}
}

// ProcessGauges returns the gauges of the process itself.
func ProcessGauges() Gauges {
	return Gauges{
		ProcessRoutines: func() int64 { return int64(runtime.NumGoroutine()) },
		ProcessHeap: func() int64 {
			sample := []rtmetrics.Sample{{Name: heapMetric}}
			rtmetrics.Read(sample)
			return int64(sample[0].Value.Uint64())
		},
	}
}

// WriteMetrics writes all metrics as one JSON object, keyed by name.
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

// Watch counts the events of a time line that come over a subscription, until
// the channel closes or ctx ends. It runs in a goroutine of its own.
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

func (s *Set) countMessage(m *message.Message) {
	batch, err := wasabitimeline.BatchOf(m)
	if err != nil {
		s.Counter(TimelineUnread).Inc(1)
		return
	}
	s.Counter(TimelineLost).Inc(int64(batch.Lost))
	for _, e := range batch.Events {
		s.Counter(eventCounter(e.Kind)).Inc(1)
		if e.Kind == wasabiridge.EventFirstToken {
			s.Histogram(FirstToken).Update(e.Value)
		}
	}
}
