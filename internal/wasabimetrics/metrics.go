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

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rcrowley/go-metrics"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// Sample sizes of histograms: a reservoir of the last minutes.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// Set is the registry of one instance with every defined metric in it. It is
// safe for concurrent use.
type Set struct {
	registry metrics.Registry
	counters map[Name]metrics.Counter
	samples  map[Name]metrics.Histogram
}

// New returns a set in which all metrics stand at zero.
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
		metrics.NewRegisteredGauge(name, s.registry)
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

// GaugeFunc sets the function that is asked for a defined gauge. Call it
// before the set is read by others. It reports ErrNotFound for a name that is
// no gauge.
func (s *Set) GaugeFunc(n Name, f func() int64) error {
	if !isGauge(n) {
		return wasabiridge.ErrNotFound.New("metrics: %s is no gauge", n)
	}
	s.registry.Unregister(string(n))
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
