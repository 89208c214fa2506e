package wasabiquota_test

import (
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// eventLoad is what the account sends in these histories, as a part of its limit.
	eventLoad = 4.0
	// shortGap is too short for a partition to be detected, longGap is long enough.
	shortGap = 150 * wasabiridge.Millis(1)
	longGap  = 1900 * wasabiridge.Millis(1)
)

// eventFleet runs a history of few instances with events in a given order.
type eventFleet struct {
	*fleet
	startedAt wasabiridge.Millis
	// isolated is the instance that is partitioned off. Negative means that none is.
	isolated int
}

// eventActions are the possible events by name. Added instances with an odd number are on
// the side of the isolated instance.
var eventActions = map[string]func(s *eventFleet){
	"isolate 0":  func(s *eventFleet) { s.isolated = 0 },
	"isolate 1":  func(s *eventFleet) { s.isolated = 1 },
	"heal":       func(s *eventFleet) { s.isolated = -1 },
	"restart 0":  func(s *eventFleet) { s.restart(0) },
	"restart 1":  func(s *eventFleet) { s.restart(1) },
	"add":        func(s *eventFleet) { s.add() },
	"pause 0, 1": func(s *eventFleet) { s.instances[0].pausedUntil, s.instances[1].pausedUntil = s.now+2500, s.now+2500 },
}

func (s *eventFleet) restart(i int) {
	s.kill(i)
	s.schedule(s.now+300, func() {
		if !s.instances[i].up {
			s.start(i)
		}
	})
}

// arePartitioned reports whether two instances cannot reach each other.
func (s *eventFleet) arePartitioned(a, b int) bool {
	if s.isolated < 0 {
		return false
	}
	side := func(i int) bool { return i == s.isolated || i >= 3 && i%2 == 1 }
	return side(a) != side(b)
}

// runEvents plays events one after the other, with the gaps between them. It returns the
// largest number of units beyond what may run in a window.
func runEvents(instances int, b bug, names []string, gaps []wasabiridge.Millis) float64 {
	s := &eventFleet{fleet: newFleet(1, instances, []wasabiridge.ClientAccount{limitedAccount("a", historyRate)}, withBug(b)), isolated: -1}
	s.partitioned = s.arePartitioned
	s.runUntil(s.now + 2500)
	s.startedAt = s.now
	end := s.now + 7500
	for _, gap := range gaps {
		end += gap
	}
	var next func()
	next = func() {
		s.request(s.random.IntN(len(s.instances)), "a", 1)
		if s.now < end {
			s.schedule(s.now+wasabiridge.Millis(s.random.ExpFloat64()*1000/(eventLoad*historyRate)), next)
		}
	}
	s.schedule(s.startedAt, next)
	for i, name := range names {
		eventActions[name](s)
		if i < len(gaps) {
			s.runUntil(s.now + gaps[i])
		}
	}
	s.runUntil(end)
	return s.excess(historyRate, s.startedAt)
}

// walker enumerates all histories that begin with one event.
type walker struct {
	instances int
	bug       bug
	names     []string
	gaps      []wasabiridge.Millis
	played    int
	// excess is the first one that exceeds the limit, description its history.
	excess      float64
	description string
}

// walk plays all histories that continue the chosen events. It stops and reports true at
// the first one that exceeds the limit.
func (w *walker) walk(chosen int) bool {
	if chosen == len(w.names) {
		w.played++
		if w.excess = runEvents(w.instances, w.bug, w.names, w.gaps); w.excess > 0 {
			w.description = fmt.Sprint(w.instances, " instances: ", w.names, w.gaps)
			return true
		}
		return false
	}
	for _, name := range eventOrder {
		w.names[chosen] = name
		for _, gap := range []wasabiridge.Millis{shortGap, longGap} {
			w.gaps[chosen-1] = gap
			if w.walk(chosen + 1) {
				return true
			}
		}
	}
	return false
}

// runAllHistories plays all histories of so many events, with a short or a long gap after
// each. Histories with the same first event are played in order until one exceeds the
// limit. It returns the first that does.
func runAllHistories(instances, events int, b bug) (played int, excess float64, description string) {
	walkers := make([]*walker, len(firstEvents))
	var wait sync.WaitGroup
	for i, name := range firstEvents {
		w := &walker{instances: instances, bug: b, names: make([]string, events), gaps: make([]wasabiridge.Millis, events-1)}
		w.names[0], walkers[i] = name, w
		wait.Go(func() { w.walk(1) })
	}
	wait.Wait()
	for _, w := range walkers {
		played += w.played
		if w.excess > 0 && excess <= 0 {
			excess, description = w.excess, w.description
		}
	}
	return played, excess, description
}

// eventOrder lists the names of eventActions in the order of enumeration.
var eventOrder = []string{"isolate 0", "isolate 1", "heal", "restart 0", "restart 1", "add", "pause 0, 1"}

// firstEvents lists the events that a history can begin with: there is no partition to heal
// yet, and instances 0 and 1 are interchangeable.
var firstEvents = []string{"isolate 0", "restart 0", "add", "pause 0, 1"}

// BenchmarkSmallHistories plays all histories of four events.
func BenchmarkSmallHistories(b *testing.B) {
	for b.Loop() {
		total := 0
		for _, instances := range []int{2, 3} {
			played, excess, description := runAllHistories(instances, 4, noBug)
			if excess > 0 {
				b.Errorf("%.1f over the limit: %s", excess, description)
			}
			total += played
		}
		b.ReportMetric(float64(total), "histories")
	}
}

var _ = Describe("All histories of three events", func() {
	It("never exceed the limit", func() {
		played, excess, description := runAllHistories(3, 3, noBug)
		Expect(excess).To(BeNumerically("<=", 0), description)
		Expect(played).To(Equal(4 * 14 * 14))
	})
})

var _ = Describe("Histories of three events", func() {
	for name, b := range map[string]bug{
		"a share that is spent twice after a pause":             respendAfterPause,
		"a share that is reassigned while its owner is running": silentAsEnded,
		"previous use that is forgotten in a restart":           fullAtStart,
	} {
		It("detect "+name, func() {
			played, excess, description := runAllHistories(3, 3, b)
			Expect(excess).To(BeNumerically(">", 0))
			fmt.Fprintln(GinkgoWriter, played, description)
		})
	}
})

// Guards against an owner that does not know yet what was spent, and whose update is taken
// to say that nothing was spent.
var _ = Describe("An instance that restarts while another one is added", func() {
	It("does not admit the burst a second time", func() {
		excess := runEvents(3, noBug, []string{"restart 1", "heal", "add"}, []wasabiridge.Millis{shortGap, shortGap})
		Expect(excess).To(BeNumerically("<=", 0))
		excess = runEvents(3, noBug, []string{"heal", "restart 1", "heal", "add"}, []wasabiridge.Millis{shortGap, shortGap, shortGap})
		Expect(excess).To(BeNumerically("<=", 0))
	})
})
