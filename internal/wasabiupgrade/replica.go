package wasabiupgrade

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
)

// phase is the phase of the upgrade of a replica.
type phase uint8

const (
	idle phase = iota
	// draining replicas wait for a slot and should get only light requests.
	draining
	// inBackoff replicas should get no new requests, so that running answers can end.
	inBackoff
	// unanswered replicas have not answered their order. They serve light requests
	// until they are seen to carry it out.
	unanswered
	// ordered replicas have got an order and are loading or about to load.
	ordered
)

// unit identifies one model at one backend server.
type unit struct {
	backend wasabiridge.BackendServerID
	model   wasabiridge.ModelID
}

// replica is the upgrade state of a unit.
type replica struct {
	server      wasabiridge.BackendServer
	incarnation wasabilife.Tracker
	model       wasabiridge.ModelID
	// serves is the newest version that the replica was observed to serve, and target
	// the version to which it is being upgraded.
	serves wasabiridge.WeightsVersion
	// unlistedSince is when a report first stated serves, until the list has it.
	unlistedSince wasabiridge.Millis
	phase         phase
	target        wasabiridge.WeightsVersion
	// fencing is the number under which the upgrade was begun or the replica last ordered.
	fencing wasabiridge.FencingNumber
	// since is the start of the phase, backoffTime the time in backoff before the order,
	// and nextRead the time of the next read.
	since       wasabiridge.Millis
	backoffTime wasabiridge.Millis
	nextRead    wasabiridge.Millis
	// busy is set while an order or a read is in flight.
	busy bool
	// present is set if the platform lists the replica.
	present bool
	// drainAnnounced is set if the other instances were notified that the replica is draining.
	// lastRead is the time of the last successful read.
	drainAnnounced bool
	lastRead       wasabiridge.Millis
	// readInBackoff is set if the replica was read since its backoff began. acceptedOrders is the
	// number of orders that it had accepted at the last read.
	readInBackoff  bool
	acceptedOrders uint64
	// accepted is set if the replica is known to have accepted the order.
	accepted bool
	// notBefore is the earliest time of the next upgrade attempt after a failed one.
	notBefore wasabiridge.Millis
}

// observeIncarnation updates the incarnation of the replica from a report. It returns false
// if the report is about an earlier incarnation and must be ignored. A new incarnation has
// accepted no orders and may serve older weights, so its upgrade state is reset, and it can
// be upgraded immediately.
func (r *replica) observeIncarnation(now wasabiridge.Millis, said wasabiridge.Incarnation) bool {
	switch r.incarnation.Observe(now, said) {
	case wasabilife.Ended:
		return false
	case wasabilife.Restarted:
		*r = replica{server: r.server, incarnation: r.incarnation, model: r.model, present: r.present, busy: r.busy}
	}
	r.server.Incarnation = r.incarnation.Current()
	return true
}

// listDelay is how long the list may be older than what a replica reports.
const listDelay = 5 * wasabiridge.Second

// serveUnlisted records a version that the replica reports as served.
func (r *replica) serveUnlisted(now wasabiridge.Millis, version wasabiridge.WeightsVersion) {
	if version > r.serves {
		r.serves, r.unlistedSince = version, now
	}
}

// serveListed records the version that the list has. A lower one is ignored, unless a report is
// the only source of the higher one for longer than the list may lag.
func (r *replica) serveListed(now wasabiridge.Millis, version wasabiridge.WeightsVersion) {
	if version >= r.serves || r.unlistedSince != 0 && now-r.unlistedSince >= listDelay {
		r.serves, r.unlistedSince = version, 0
	}
}

// isUnresponsive reports whether the last successful read was more than unresponsiveAfter
// ago.
func (r *replica) isUnresponsive(now wasabiridge.Millis) bool {
	return now-r.lastRead > unresponsiveAfter
}
