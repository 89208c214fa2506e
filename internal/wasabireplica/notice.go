package wasabireplica

import "github.com/wasabiridge/wasabiridge"

// leavingAnnounced records that a server has announced that it is leaving. An
// announcement of an incarnation that has ended is ignored.
func (p *Placer) leavingAnnounced(now wasabiridge.Millis, e wasabiridge.BackendLeaving) {
	if e.Fault != "" {
		return
	}
	if r := p.replicas[e.Backend]; r != nil && e.Incarnation != 0 && e.Incarnation != r.server.Incarnation {
		return
	}
	p.notices.Leave(now, e.Backend, e.Incarnation)
}

// isLeaving reports whether a replica has announced that it is leaving.
func (p *Placer) isLeaving(r *replica) bool {
	return p.notices.IsLeaving(r.server.ID, r.server.Incarnation)
}
