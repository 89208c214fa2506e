package wasabiridge

// RolloutPhase is how far the rollout of a software version has come.
type RolloutPhase string

// Phases of a rollout, in their order. The last two are final.
const (
	// RolloutTrial means that a small part of the requests goes to the new version.
	RolloutTrial RolloutPhase = "trial"
	// RolloutShift means that requests go to the new version and those at the old ones end.
	RolloutShift RolloutPhase = "shift"
	// RolloutCompleted means that the servers of the old versions are no longer used.
	RolloutCompleted RolloutPhase = "completed"
	// RolloutRolledBack means that the new version gets no requests any more.
	RolloutRolledBack RolloutPhase = "rolled_back"
)

// IsFinal reports whether no other phase follows.
func (p RolloutPhase) IsFinal() bool { return p == RolloutCompleted || p == RolloutRolledBack }

// order returns the position of a phase; that of both final ones is the same.
func (p RolloutPhase) order() int {
	switch p {
	case RolloutShift:
		return 1
	case RolloutCompleted, RolloutRolledBack:
		return 2
	}
	return 0
}

// Precedes reports whether a phase comes before another one.
func (p RolloutPhase) Precedes(other RolloutPhase) bool { return p.order() < other.order() }

// SoftwareRollout is an operator's order to move the requests of a pool to the servers of a
// software version, which run beside those of the old versions. It is an immutable value.
type SoftwareRollout struct {
	Pool PoolID          `json:"pool"`
	To   SoftwareVersion `json:"to"`
	// Duration is the time from the order to its deadline.
	Duration Millis `json:"duration_ms"`
	// Order is the revision at which the order was written. It distinguishes the orders for a
	// pool.
	Order uint64 `json:"order"`
	// Phase is the phase that is stored for the order.
	Phase RolloutPhase `json:"phase"`
}

// WithPhase returns the rollout in another phase.
func (r SoftwareRollout) WithPhase(p RolloutPhase) SoftwareRollout {
	r.Phase = p
	return r
}

// SoftwareRolloutsSet lists all rollouts that are ordered.
type SoftwareRolloutsSet struct{ Rollouts []SoftwareRollout }

func (SoftwareRolloutsSet) isEvent() {}

// SoftwareAnswers counts answers under a rollout, since its order was first seen.
type SoftwareAnswers struct {
	Pool  PoolID
	Order uint64
	Rule  RuleID
	// Backend is the server of the new version that gave the answers. Empty means the servers
	// of the old versions together.
	Backend BackendServerID
	// Total counts the answers, Failed those that were failures, and Slow those that took
	// longer than three quarters of the answers of the old versions.
	Total, Failed, Slow uint64
}
