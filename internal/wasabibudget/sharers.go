package wasabibudget

import "github.com/wasabiridge/wasabiridge"

const (
	// spare is by how much the number of instances may be underestimated: those that start
	// while they are cut in halves see half of them, and others may have been added that
	// are not known here yet.
	spare = 2.5
	// memorySlots and slotTime are how long an instance that is not seen any more still
	// counts. It may have been cut off and go on spending its part.
	memorySlots = 12
	slotTime    = 5 * wasabiridge.Second
	// newPart is the part of a process of whose share nothing is known yet. A request
	// that fails right after the start is tried once more.
	newPart = 1.0
)

// Sharers counts the instances that share a fixed amount.
type Sharers struct {
	terms Terms
	born  wasabiridge.Millis
	// most is the largest count of each slot, now the latest count.
	most [memorySlots]int
	slot int64
	now  int
}

// NewSharers returns the sharers as a process knows them that began at a time: itself.
func NewSharers(t Terms, born wasabiridge.Millis) *Sharers {
	return &Sharers{terms: t, born: born, now: 1, slot: int64(born / slotTime)}
}

// Count says how many instances are seen, this one included.
func (s *Sharers) Count(now wasabiridge.Millis, instances int) {
	s.move(now)
	s.now = max(1, instances)
	s.note()
}

func (s *Sharers) move(now wasabiridge.Millis) {
	for steps := 0; s.slot < int64(now/slotTime) && steps <= memorySlots; steps++ {
		s.slot++
		s.most[s.slot%memorySlots] = 0
		s.note()
	}
	s.slot = max(s.slot, int64(now/slotTime))
}

func (s *Sharers) note() {
	at := s.slot % memorySlots
	s.most[at] = max(s.most[at], s.now)
}

// Instances returns the most instances that were seen lately.
func (s *Sharers) Instances(now wasabiridge.Millis) int {
	s.move(now)
	most := s.now
	for _, count := range s.most {
		most = max(most, count)
	}
	return most
}

// Part returns what this instance may take of the slack of a window. A process has next
// to none in its first window, and one that has seen no other instance until it would
// have forgotten them.
func (s *Sharers) Part(now wasabiridge.Millis) float64 {
	instances, age := s.Instances(now), now-s.born
	part := s.terms.Slack / (spare * float64(instances))
	if age < s.terms.Window || instances == 1 && age < memorySlots*slotTime {
		return min(newPart, part)
	}
	return part
}
