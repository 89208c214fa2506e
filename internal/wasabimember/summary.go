package wasabimember

import (
	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// summaryInterval is the time over which changes are gathered into one line.
	summaryInterval = wasabiridge.Second
	// summaryNames bounds the names in a line, of each state. The rest is counted.
	summaryNames = 12
)

// Summary gathers changes of members for the log.
//
// The failure it guards against: hundreds of instances start at once, or a part of
// them is cut off and comes back. Each of them would write a line for each of the
// others, the square of their number within a second, and other lines are lost.
// With it, an instance writes one line a second at most, of bounded length.
//
// The zero value is empty. It is not safe for concurrent use.
type Summary struct {
	since  wasabiridge.Millis
	states map[string]*stateChanges
}

// stateChanges are the members that came into one state.
type stateChanges struct {
	count int
	names []string
}

// Add takes a change.
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

// Write writes what was gathered once the interval is over. Members is how many
// other instances are known.
func (s *Summary) Write(now wasabiridge.Millis, log zerolog.Logger, members int) {
	if s.states == nil || now-s.since < summaryInterval {
		return
	}
	line := log.Info().Int("members", members)
	for _, state := range [...]string{stateAlive, stateLeaving, stateDead} {
		if c := s.states[state]; c != nil {
			line = line.Int(state, c.count).Strs(state+"_names", c.names)
		}
	}
	line.Msg("Members changed.")
	s.states = nil
}

// States of a member, as the log and the time line show them.
const (
	stateAlive   = "alive"
	stateLeaving = "leaving"
	stateDead    = "dead"
)

func stateOf(m wasabiridge.Member) string {
	switch {
	case m.Dead:
		return stateDead
	case m.Leaving:
		return stateLeaving
	}
	return stateAlive
}
