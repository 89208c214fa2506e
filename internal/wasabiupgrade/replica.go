package wasabiupgrade

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
)

// phase is how far a replica is.
type phase uint8

const (
	idle phase = iota
	// easing replicas wait for their turn.
	easing
	// resting replicas run dry.
	resting
	// unanswered replicas have got an order that they have not answered. They
	// serve on until they are seen to carry it out.
	unanswered
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
	life   wasabilife.Life
	model  wasabiridge.ModelID
	// serves is the newest version that the replica was seen to serve.
	serves wasabiridge.WeightsVersion
	phase  phase
	target wasabiridge.WeightsVersion
	// since is when the phase began, readAt when the replica is read next.
	since   wasabiridge.Millis
	rested  wasabiridge.Millis
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

// live takes in which life something was said of the replica. It reports false for
// one that is over. A new life has accepted no orders, may serve older weights, and
// has its turn still to come; it can have it at once.
func (r *replica) live(now wasabiridge.Millis, said wasabiridge.Incarnation) bool {
	switch r.life.Take(now, said) {
	case wasabilife.Over:
		return false
	case wasabilife.New:
		*r = replica{server: r.server, life: r.life, model: r.model, present: r.present, busy: r.busy}
	}
	r.server.Incarnation = r.life.Known()
	return true
}

// isSilent reports whether the replica has not been read for long.
func (r *replica) isSilent(now wasabiridge.Millis) bool { return now-r.heardAt > silentAfter }
