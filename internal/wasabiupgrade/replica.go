package wasabiupgrade

import "github.com/wasabiridge/wasabiridge"

// overdue is after how many usual times a load is not counted on any more: the
// replica finishes long answers first, or waits for the weight store.
const overdue = 2

// phase is how far a replica is.
type phase uint8

const (
	idle phase = iota
	// resting replicas run dry.
	resting
	// ordered replicas load, or are about to.
	ordered
)

// unit is a model at a replica.
type unit struct {
	backend wasabiridge.BackendServerID
	model   wasabiridge.ModelID
}

// replica is a unit that needs new weights, or did.
type replica struct {
	server wasabiridge.BackendServer
	model  wasabiridge.ModelID
	// serves is the newest version that the replica was seen to serve.
	serves wasabiridge.WeightsVersion
	phase  phase
	target wasabiridge.WeightsVersion
	// since is when the phase began, readAt when the replica is read next.
	since   wasabiridge.Millis
	readAt  wasabiridge.Millis
	busy    bool
	present bool
	// asked says that the replica was read since it rests, orders how many
	// orders it had accepted then.
	asked  bool
	orders uint64
	// accepted says that the order is known to be carried out.
	accepted bool
	// notBefore delays the next try after a refused order.
	notBefore wasabiridge.Millis
}

// endsSoon reports whether the load is about to end, as far as such loads
// usually go, so that the next replica may begin to run dry.
func (r *replica) endsSoon(now, usual, rest wasabiridge.Millis) bool {
	age := now - r.since
	return r.accepted && age >= usual-rest && age < overdue*usual
}
