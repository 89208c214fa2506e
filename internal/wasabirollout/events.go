package wasabirollout

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// fleetEvent is something that a fleet is told.
type fleetEvent interface{ isFleetEvent() }

// fleetTicked says that time has passed.
type fleetTicked struct {
	Config wasabiridge.Config
	// Grants are the leases that this instance holds, by pool.
	Grants map[wasabiridge.PoolID]wasabilease.Grant
}

// rowsListed answers a listRows.
type rowsListed struct {
	Rows []wasabiridge.Row
	Err  error
}

// callEnded answers a callEngine, under the grant of now.
type callEnded struct {
	Pool  wasabiridge.PoolID
	Grant wasabilease.Grant
	Event courseEvent
}

// progressWritten answers a writeProgress, whatever its outcome.
type progressWritten struct{ Pool wasabiridge.PoolID }

// changed says that an operator changed a rollout through this instance.
type changed struct{}

func (fleetTicked) isFleetEvent()     {}
func (rowsListed) isFleetEvent()      {}
func (callEnded) isFleetEvent()       {}
func (progressWritten) isFleetEvent() {}
func (changed) isFleetEvent()         {}

// fleetEffect is something that a fleet wants done.
type fleetEffect interface{ isFleetEffect() }

// listRows asks to read all rollout rows.
type listRows struct {
	Prefix string
	Limit  int
}

// callEngine asks to carry out the effect of a course.
type callEngine struct {
	Pool wasabiridge.PoolID
	Call courseEffect
}

// writeProgress asks to carry out a transaction, once.
type writeProgress struct {
	Pool        wasabiridge.PoolID
	Transaction wasabiridge.Transaction
	Rollout     wasabiridge.Rollout
}

// contend asks to contend for the lease of a pool, and leave to stop that.
type (
	contend struct{ Pool wasabiridge.PoolID }
	leave   struct{ Pool wasabiridge.PoolID }
)

func (listRows) isFleetEffect()      {}
func (callEngine) isFleetEffect()    {}
func (writeProgress) isFleetEffect() {}
func (contend) isFleetEffect()       {}
func (leave) isFleetEffect()         {}
