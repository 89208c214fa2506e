package wasabimember

import (
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// summaryInterval is the time over which changes are collected into one
	// line.
	summaryInterval = wasabiridge.Second
	// summaryNames bounds the names per state in a line. Further members are
	// only counted.
	summaryNames = 12
)

// Summary collects membership changes for the log.
//
// It guards against log floods: when hundreds of instances start at once, or a
// group of them is partitioned and reconnects, one line for each change would
// make each instance write as many lines as there are other instances, the
// square of their number in total within a second, and other log lines would be
// lost. With Summary, an instance writes at most one line of bounded length a
// second.
//
// The zero value is empty. It is not safe for concurrent use.
type Summary struct {
	since  wasabiridge.Millis
	states map[string]*stateChanges
}

// stateChanges counts the members that entered one state.
type stateChanges struct {
	count int
	names []string
}

// Add records a change.
func (s *Summary) Add(now wasabiridge.Millis, m wasabiridge.Member) {
	if s.states == nil {
		s.states, s.since = map[string]*stateChanges{}, now
	}
	state := stateOf(m)
	c := s.states[state]
	if c == nil {
		c = &stateChanges{}
		s.states[state] = c
	}
	c.count++
	if len(c.names) < summaryNames {
		c.names = append(c.names, string(m.ID))
	}
}

// Write logs the collected changes once summaryInterval is over. members is the
// number of other instances in the membership view.
func (s *Summary) Write(now wasabiridge.Millis, log zerolog.Logger, members int) {
	if s.states == nil || now-s.since < summaryInterval {
		return
	}
	line := log.Info().Int("members", members)
	for _, state := range [...]string{stateAlive, stateDetached, stateLeaving, stateDead} {
		if c := s.states[state]; c != nil {
			line = line.Int(state, c.count).Strs(state+"_names", c.names)
		}
	}
	line.Msg("Members changed.")
	s.states = nil
}

// States of a member in the log and the timeline.
const (
	stateAlive    = "alive"
	stateDetached = "detached"
	stateLeaving  = "leaving"
	stateDead     = "dead"
)

func stateOf(m wasabiridge.Member) string {
	switch {
	case m.Dead:
		return stateDead
	case m.Leaving:
		return stateLeaving
	case m.Detached:
		return stateDetached
	}
	return stateAlive
}
