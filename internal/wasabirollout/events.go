package wasabirollout

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// machineEvent is an input of a machine.
type machineEvent interface{ isMachineEvent() }

// ticked reports that time has passed.
type ticked struct {
	Config wasabiridge.Config
	// Grants are the leases that this instance holds, by pool.
	Grants map[wasabiridge.PoolID]wasabilease.Grant
}

// rowsListed is the result of a listRows.
type rowsListed struct {
	Rows []wasabiridge.Row
	Err  error
}

// callEnded is the result of a callEngine. Grant is the current lease, not that
// of the call.
type callEnded struct {
	Pool  wasabiridge.PoolID
	Grant wasabilease.Grant
	Event reconcilerEvent
}

// progressWritten reports the end of a writeProgress, successful or not.
type progressWritten struct{ Pool wasabiridge.PoolID }

// rolloutChanged reports that an operator changed a rollout through this
// instance.
type rolloutChanged struct{}

func (ticked) isMachineEvent()          {}
func (rowsListed) isMachineEvent()      {}
func (callEnded) isMachineEvent()       {}
func (progressWritten) isMachineEvent() {}
func (rolloutChanged) isMachineEvent()  {}

// machineEffect is an effect that a machine requests.
type machineEffect interface{ isMachineEffect() }

// listRows reads all rollout rows.
type listRows struct {
	Prefix string
	Limit  int
}

// callEngine executes the effect of a reconciler.
type callEngine struct {
	Pool wasabiridge.PoolID
	Call reconcilerEffect
}

// writeProgress commits a transaction, without retries.
type writeProgress struct {
	Pool        wasabiridge.PoolID
	Transaction wasabiridge.Transaction
	Rollout     wasabiridge.Rollout
}

// contendLease starts contending for the lease of a pool, and leaveLease stops
// it.
type (
	contendLease struct{ Pool wasabiridge.PoolID }
	leaveLease   struct{ Pool wasabiridge.PoolID }
)

func (listRows) isMachineEffect()      {}
func (callEngine) isMachineEffect()    {}
func (writeProgress) isMachineEffect() {}
func (contendLease) isMachineEffect()  {}
func (leaveLease) isMachineEffect()    {}
