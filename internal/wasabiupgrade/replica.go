package wasabiupgrade

import "github.com/wasabiridge/wasabiridge"

// phase is how far a replica is.
type phase uint8

const (
	idle phase = iota
	// easing replicas wait for their turn.
	easing
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
	// told says that the others know that the replica eases, heardAt when it was
	// last read.
	told    bool
	heardAt wasabiridge.Millis
	// asked says that the replica was read since it rests, orders how many
	// orders it had accepted then.
	asked  bool
	orders uint64
	// accepted says that the order is known to be carried out.
	accepted bool
	// notBefore delays the next try after a refused order.
	notBefore wasabiridge.Millis
}

// isSilent reports whether the replica has not been read for long.
func (r *replica) isSilent(now wasabiridge.Millis) bool { return now-r.heardAt > silentAfter }
