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
	// smallLoad is what the account sends in a small history, as a part of its limit.
	smallLoad = 4.0
	// soon is a time in which a cut is not seen, later one in which it is.
	soon  = 150 * wasabiridge.Millis(1)
	later = 1900 * wasabiridge.Millis(1)
)

// smallFleet is a history of few instances with events in a given order.
type smallFleet struct {
	*fleet
	begun wasabiridge.Millis
	// alone is the instance that is cut off. Negative means that none is.
	alone int
}

// smallEvents are what may happen. Instances that are added are on the side of an
// instance that is cut off if their number is odd.
var smallEvents = map[string]func(s *smallFleet){
	"cut off 0":   func(s *smallFleet) { s.alone = 0 },
	"cut off 1":   func(s *smallFleet) { s.alone = 1 },
	"heal":        func(s *smallFleet) { s.alone = -1 },
	"restart 0":   func(s *smallFleet) { s.restart(0) },
	"restart 1":   func(s *smallFleet) { s.restart(1) },
	"add":         func(s *smallFleet) { s.add() },
	"freeze 0, 1": func(s *smallFleet) { s.nodes[0].frozen, s.nodes[1].frozen = s.now+2500, s.now+2500 },
}

func (s *smallFleet) restart(i int) {
	s.kill(i)
	s.at(s.now+300, func() {
		if !s.nodes[i].up {
			s.start(i)
		}
	})
}

// apart reports whether two instances do not hear each other.
func (s *smallFleet) apart(a, b int) bool {
	if s.alone < 0 {
		return false
	}
	side := func(i int) bool { return i == s.alone || i >= 3 && i%2 == 1 }
	return side(a) != side(b)
}

// smallHistory plays one event after another. It returns the largest excess over what may
// run in a window.
func smallHistory(instances int, b bug, names []string, gaps []wasabiridge.Millis) float64 {
	s := &smallFleet{fleet: newFleet(1, instances, []wasabiridge.ClientAccount{limited("a", drawnRate)}, withBug(b)), alone: -1}
	s.cut = s.apart
	s.play(s.now + 2500)
	s.begun = s.now
	end := s.now + 7500
	for _, gap := range gaps {
		end += gap
	}
	var next func()
	next = func() {
		s.ask(s.random.IntN(len(s.nodes)), "a", 1)
		if s.now < end {
			s.at(s.now+wasabiridge.Millis(s.random.ExpFloat64()*1000/(smallLoad*drawnRate)), next)
		}
	}
	s.at(s.begun, next)
	for i, name := range names {
		smallEvents[name](s)
		if i < len(gaps) {
			s.play(s.now + gaps[i])
		}
	}
	s.play(end)
	return s.excess(drawnRate, s.begun)
}

// walker plays all histories that begin with one event.
type walker struct {
	instances int
	bug       bug
	names     []string
	gaps      []wasabiridge.Millis
	played    int
	// excess is the first one that breaks the limit, story its history.
	excess float64
	story  string
}

// walk plays all histories that go on from the first events. It reports whether one of
// them breaks the limit.
func (w *walker) walk(chosen int) bool {
	if chosen == len(w.names) {
		w.played++
		if w.excess = smallHistory(w.instances, w.bug, w.names, w.gaps); w.excess > 0 {
			w.story = fmt.Sprint(w.instances, " instances: ", w.names, w.gaps)
			return true
		}
		return false
	}
	for _, name := range sortedEvents {
		w.names[chosen] = name
		for _, gap := range []wasabiridge.Millis{soon, later} {
			w.gaps[chosen-1] = gap
			if w.walk(chosen + 1) {
				return true
			}
		}
	}
	return false
}

// eachSmall plays all histories of so many events, soon and later after each other, those
// with the same first event one after the other until one breaks the limit. It returns the
// first that does.
func eachSmall(instances, events int, b bug) (played int, excess float64, story string) {
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
			excess, story = w.excess, w.story
		}
	}
	return played, excess, story
}

// sortedEvents are the names of smallEvents in their order.
var sortedEvents = []string{"cut off 0", "cut off 1", "heal", "restart 0", "restart 1", "add", "freeze 0, 1"}

// firstEvents are those that a history begins with. Nothing is cut then that could heal, and
// the instances 0 and 1 are alike.
var firstEvents = []string{"cut off 0", "restart 0", "add", "freeze 0, 1"}

// BenchmarkSmallHistories plays all histories of four events.
func BenchmarkSmallHistories(b *testing.B) {
	for b.Loop() {
		total := 0
		for _, instances := range []int{2, 3} {
			played, excess, story := eachSmall(instances, 4, noBug)
			if excess > 0 {
				b.Errorf("%.1f beyond: %s", excess, story)
			}
			total += played
		}
		b.ReportMetric(float64(total), "histories")
	}
}

var _ = Describe("All small histories", func() {
	It("never let run more than the limit", func() {
		played, excess, story := eachSmall(3, 3, noBug)
		Expect(excess).To(BeNumerically("<=", 0), story)
		Expect(played).To(Equal(4 * 14 * 14))
	})
})

var _ = Describe("Small histories", func() {
	for name, b := range map[string]bug{
		"a part that is spent twice after a freeze":       spentTwice,
		"a part that is given away while its owner lives": givenAway,
		"a window that is forgotten in a restart":         forgotten,
	} {
		It("show "+name, func() {
			played, excess, story := eachSmall(3, 3, b)
			Expect(excess).To(BeNumerically(">", 0))
			fmt.Fprintln(GinkgoWriter, played, story)
		})
	}
})

// Guards against an owner that does not know yet what was spent, and whose word is taken
// for that nothing was.
var _ = Describe("An instance that starts beside a newcomer", func() {
	It("does not let a burst run once more", func() {
		excess := smallHistory(3, noBug, []string{"restart 1", "heal", "add"}, []wasabiridge.Millis{soon, soon})
		Expect(excess).To(BeNumerically("<=", 0))
		excess = smallHistory(3, noBug, []string{"heal", "restart 1", "heal", "add"}, []wasabiridge.Millis{soon, soon, soon})
		Expect(excess).To(BeNumerically("<=", 0))
	})
})
