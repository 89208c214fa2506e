package wasabimember

import "github.com/wasabiridge/wasabiridge"

// Intervals and bounds of the protocol. docs/design/member.md gives the reasons
// behind them.
const (
	// Rings is the number of hash rings, and so of the instances that watch
	// each instance.
	Rings = 3
	// heartbeatInterval is the time between two scheduled heartbeats of an
	// instance. With three rings each successor gets one a second.
	heartbeatInterval = wasabiridge.Second / Rings
	// joiningInterval replaces heartbeatInterval while an instance has just
	// started, so that it soon knows all members.
	joiningInterval = heartbeatInterval / 4
	// retryInterval is the time between two attempts to reach a successor that
	// does not answer.
	retryInterval = 200 * wasabiridge.Millis(1)
	// suspectAfter is how long a successor is probed without an answer before
	// its other watchers are asked to probe it; deadAfter is how long after
	// that it is declared dead.
	suspectAfter = 600 * wasabiridge.Millis(1)
	deadAfter    = 800 * wasabiridge.Millis(1)
	// pauseGap is the time between two ticks from which on this process is
	// assumed to have been paused.
	pauseGap = wasabiridge.Second

	// updateLifetime is for how long an update is sent on, and up to which age
	// a reported death is applied without verification.
	updateLifetime = 6 * wasabiridge.Second
	// maxUpdateSends bounds how often one instance sends one update.
	maxUpdateSends = 15
	// updatesPerMessage, syncPerMessage and backendsPerMessage bound the
	// entries of one heartbeat.
	updatesPerMessage  = 48
	syncPerMessage     = 12
	backendsPerMessage = 8
	// broadcastGap is the shortest time between two rounds of updates to all
	// successors. Updates that arrive in between are sent together.
	broadcastGap = 50 * wasabiridge.Millis(1)
	// broadcastBurst and broadcastRate (per second) are the token bucket for
	// heartbeats that are sent outside the schedule to spread updates.
	broadcastBurst = 90
	broadcastRate  = 1
	// syncBurst and syncRate (per second) are the token bucket for members that
	// are sent because digests differ.
	syncBurst = 1000
	syncRate  = 8

	// joinPeriod is for how long after its start an instance, or a member, is
	// treated as new.
	joinPeriod = 10 * wasabiridge.Second
	// settleTime is for how long the members must not have changed before
	// differing digests cause members to be sent.
	settleTime = wasabiridge.Second
	// contactInterval is the average time between two heartbeats to listed
	// instances that are not alive in the local view, so that the sides of a
	// network partition reconnect.
	contactInterval = 10 * wasabiridge.Second
	// verifyInterval is the time between two probes that verify deaths that
	// were reported late; at most maxVerify of them wait.
	verifyInterval = wasabiridge.Second / 2
	maxVerify      = 512
	// minBackoff and maxBackoff bound for how long this instance does not probe
	// a successor that it could not reach but that others confirmed as alive.
	minBackoff = 2 * wasabiridge.Second
	maxBackoff = wasabiridge.Minute
	// forgetAfter is how long dead members that are not listed are kept.
	forgetAfter = 10 * wasabiridge.Minute
	// backendUpdateLifetime is how long the name of a leaving backend server is
	// sent on, and backendRetention how long after its arrival it is ignored
	// when it is received again.
	backendUpdateLifetime = 5 * wasabiridge.Second
	backendRetention      = 15 * wasabiridge.Second
)

// Options configures a Machine.
type Options struct {
	Self        wasabiridge.InstanceEntry
	Incarnation wasabiridge.Incarnation
	// Seed makes the random choices differ between instances.
	Seed uint64
}
