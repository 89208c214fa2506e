package wasabicell

import "github.com/wasabiridge/wasabiridge"

const (
	// A cell whose servers are loaded to more than growLoad of their slots grows: from there
	// on requests begin to wait for each other.
	growLoad = 0.5
	// So does one of which more than growUnusable of the servers take no requests: the cause may
	// reach the others of the cell, too.
	growUnusable = 0.5
	// A cell that has been loaded to less than shrinkLoad for shrinkTime shrinks. Half of the
	// servers then still have less than growLoad.
	shrinkLoad = 0.15
	shrinkTime = 30 * wasabiridge.Second
	// growInterval is the shortest time between two growths, in which the servers that came
	// last take requests.
	growInterval = 200 * wasabiridge.Millis(1)
)

// Use is how much an instance uses of the servers of a cell.
type Use struct {
	// Load is the load of the servers by all instances, as a fraction of their slots.
	Load float64
	// Refused counts the requests that none of them could take since the last observation.
	Refused int
	// Unusable is the fraction of them that take no requests at present, because they have
	// failed, pause, or load weights.
	Unusable float64
}

// isShort reports whether the servers are too few.
func (u Use) isShort() bool { return u.Refused > 0 || u.Load > growLoad || u.Unusable > growUnusable }

// Size is the size of a cell. It is an immutable value; the zero value is not usable, see
// NewSize.
type Size struct {
	servers int
	grown   wasabiridge.Millis
	busy    wasabiridge.Millis
}

// NewSize returns the size of a cell that was not used yet.
func NewSize() Size { return Size{servers: MinServers} }

// Servers returns how many servers the cell has.
func (s Size) Servers() int { return s.servers }

// Observe returns the size that follows from how the cell is used. It grows at once when a
// request found no room, and shrinks slowly.
func (s Size) Observe(now wasabiridge.Millis, u Use) Size {
	if u.Load >= shrinkLoad || u.isShort() || s.busy == 0 {
		s.busy = now
	}
	switch {
	case u.isShort() && s.servers < MaxServers && (s.grown == 0 || now-s.grown >= growInterval):
		s.servers, s.grown = min(2*s.servers, MaxServers), now
	case now-s.busy >= shrinkTime && s.servers > MinServers:
		s.servers, s.busy = max(s.servers/2, MinServers), now
	}
	return s
}
