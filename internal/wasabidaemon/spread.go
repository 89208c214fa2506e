package wasabidaemon

import "github.com/wasabiridge/wasabiridge"

// spread places requests on the servers of a pool in turn.
type spread struct {
	next int
}

// Place implements wasabiridge.Placer.
func (s *spread) Place(_ wasabiridge.Millis, q wasabiridge.PlaceQuery) (wasabiridge.Placement, bool) {
	for range q.Pool.Backends {
		s.next++
		b := q.Pool.Backends[s.next%len(q.Pool.Backends)]
		if !contains(q.Excluded, b.ID) {
			return wasabiridge.Placement{Backend: b, Why: "spread"}, true
		}
	}
	return wasabiridge.Placement{}, false
}

// Sent implements wasabiridge.Placer.
func (s *spread) Sent(wasabiridge.Millis, wasabiridge.Request, wasabiridge.AttemptID, wasabiridge.Placement) {
}

// Observe implements wasabiridge.Placer.
func (s *spread) Observe(wasabiridge.Millis, wasabiridge.Event) {}

func contains(all []wasabiridge.BackendServerID, one wasabiridge.BackendServerID) bool {
	for _, id := range all {
		if id == one {
			return true
		}
	}
	return false
}
