package wasabibudget

import "github.com/wasabiridge/wasabiridge"

const (
	// undercountFactor is by how much the number of instances may be underestimated.
	// Instances that start during a partition into three groups see a third of them. In
	// a partition into halves, half as many again may have been added that are not seen
	// yet.
	undercountFactor = 3.0
	// An instance that is no longer seen still counts for retentionSlots slots of slotTime
	// each. It may be partitioned and go on spending its share.
	retentionSlots = 12
	slotTime       = 5 * wasabiridge.Minute
	// aloneDelay is how long a process that has seen no other instance has next to no
	// share.
	aloneDelay = wasabiridge.Minute
	// newProcessShare is the share of a process that cannot estimate it yet. It allows
	// one retry of a request that fails right after the start.
	newProcessShare = 1.0
)

// InstanceCounter estimates the number of instances that share a fixed amount.
type InstanceCounter struct {
	terms     Terms
	startedAt wasabiridge.Millis
	// highest holds the highest count of each slot, and latest the last count.
	highest [retentionSlots]int
	slot    int64
	latest  int
}

// NewInstanceCounter returns the InstanceCounter of a process that started at the given
// time and has seen only itself.
func NewInstanceCounter(t Terms, startedAt wasabiridge.Millis) *InstanceCounter {
	return &InstanceCounter{terms: t, startedAt: startedAt, latest: 1, slot: int64(startedAt / slotTime)}
}

// Record records how many instances are seen, this one included.
func (s *InstanceCounter) Record(now wasabiridge.Millis, instances int) {
	s.advance(now)
	s.latest = max(1, instances)
	s.recordCount()
}

func (s *InstanceCounter) advance(now wasabiridge.Millis) {
	for steps := 0; s.slot < int64(now/slotTime) && steps <= retentionSlots; steps++ {
		s.slot++
		s.highest[s.slot%retentionSlots] = 0
		s.recordCount()
	}
	s.slot = max(s.slot, int64(now/slotTime))
}

func (s *InstanceCounter) recordCount() {
	at := s.slot % retentionSlots
	s.highest[at] = max(s.highest[at], s.latest)
}

// Instances returns the highest number of instances that were recently seen.
func (s *InstanceCounter) Instances(now wasabiridge.Millis) int {
	s.advance(now)
	highest := s.latest
	for _, count := range s.highest {
		highest = max(highest, count)
	}
	return highest
}

// SlackShare returns how much of the slack of a window this instance may take. A
// process has next to no share in its first window. The same holds for a process that
// has seen no other instance, until aloneDelay after its start.
func (s *InstanceCounter) SlackShare(now wasabiridge.Millis) float64 {
	instances, age := s.Instances(now), now-s.startedAt
	share := s.terms.Slack / (undercountFactor * float64(instances))
	if age < s.terms.Window || instances == 1 && age < aloneDelay {
		return min(newProcessShare, share)
	}
	return share
}
