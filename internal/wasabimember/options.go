package wasabimember

import "github.com/wasabiridge/wasabiridge"

// Times and bounds of the exchange. docs/design/member.md says where they come
// from.
const (
	// Rings is how many instances watch each instance.
	Rings = 3
	// beatInterval is the time between two heartbeats that an instance sends
	// by itself. With three rings each successor is asked once a second.
	beatInterval = wasabiridge.Second / Rings
	// youngInterval is the same for an instance that just started, so that it
	// soon knows all members.
	youngInterval = beatInterval / 4
	// retryInterval is the time between two attempts at a silent successor.
	retryInterval = 200 * wasabiridge.Millis(1)
	// suspectAfter and deadAfter are how long a successor is asked in vain
	// before its other watchers are asked, and before it is given up.
	suspectAfter = 600 * wasabiridge.Millis(1)
	deadAfter    = 800 * wasabiridge.Millis(1)
	// pauseGap is the time between two ticks that shows that this process
	// itself stood still.
	pauseGap = wasabiridge.Second

	// newsLife is how long news is handed on, and how old news of a death may
	// be to be believed without a check.
	newsLife = 6 * wasabiridge.Second
	// newsSends bounds how often one instance hands on one piece of news.
	newsSends = 15
	// newsPerMessage, syncPerMessage and backendsPerMessage bound a heartbeat.
	newsPerMessage     = 48
	syncPerMessage     = 12
	backendsPerMessage = 8
	// floodGap is the shortest time between two rounds of news to all
	// successors. What comes in between goes together.
	floodGap = 50 * wasabiridge.Millis(1)
	// floodBurst and floodRate are the allowance of heartbeats, at once and
	// for each second, that carry news out of turn.
	floodBurst = 90
	floodRate  = 1
	// syncBurst and syncRate are the allowance of members that are sent
	// because digests differ.
	syncBurst = 1000
	syncRate  = 8

	// youth is how long an instance, or a member, counts as new.
	youth = 10 * wasabiridge.Second
	// settled is how long members must not have changed before a difference
	// of digests counts.
	settled = wasabiridge.Second
	// reachInterval is the time between two heartbeats to listed instances
	// that do not count as alive, so that parts that were cut from each other
	// find together.
	reachInterval = 10 * wasabiridge.Second
	// verifyInterval is the time between two checks of old news of deaths.
	verifyInterval = wasabiridge.Second / 2
	maxVerify      = 512
	// restFirst and restMost bound how long a member that others vouched for
	// is not watched from here.
	restFirst = 2 * wasabiridge.Second
	restMost  = wasabiridge.Minute
	// forgetAfter is how long members are kept that are dead and not listed.
	forgetAfter = 10 * wasabiridge.Minute
	// backendLife and backendRest are how long the name of a leaving backend
	// server is handed on, and how long it is then not taken up again.
	backendLife = 5 * wasabiridge.Second
	backendRest = 15 * wasabiridge.Second
)

// Options set up a Machine.
type Options struct {
	Self        wasabiridge.InstanceEntry
	Incarnation wasabiridge.Incarnation
	// Seed makes the random choices differ between instances.
	Seed uint64
}
