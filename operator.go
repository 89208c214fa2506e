package wasabiridge

import "context"

// InstanceConfig tells which configuration is in force at an instance.
type InstanceConfig struct {
	Instance InstanceID    `json:"instance"`
	Version  ConfigVersion `json:"version"`
	// Reached is false when the instance could not be asked.
	Reached bool `json:"reached"`
}

// ConfigKeeper accepts, keeps and spreads configurations. Implementations are
// safe for concurrent use.
type ConfigKeeper interface {
	// Current returns the document and the configuration in force here. The
	// version is zero when none is known.
	Current() (ConfigDocument, Config)
	// Put checks a configuration as a whole and makes it the successor of
	// base. It reports ErrInvalid, ErrConflict with the other's change,
	// ErrUnavailable, or ErrOutcomeUnknown.
	Put(ctx context.Context, base ConfigVersion, text []byte, author string) (ConfigVersion, error)
	// History returns accepted documents, newest first.
	History(ctx context.Context, limit int) ([]ConfigDocument, error)
	// Status tells where which version is in force.
	Status(ctx context.Context) ([]InstanceConfig, error)
}

// Rollout brings a version of weights to the replicas of a pool. It is an
// immutable value.
type Rollout struct {
	ID      string         `json:"id"`
	Pool    PoolID         `json:"pool"`
	Model   ModelID        `json:"model"`
	Adapter AdapterID      `json:"adapter,omitempty"`
	Weights WeightsVersion `json:"weights"`
	// State is "running", "paused", "done" or "rolled_back".
	State string `json:"state"`
	// Done and Total count replicas.
	Done  int `json:"done"`
	Total int `json:"total"`
	// Blocked says why nothing moves, such as "floor of serving replicas".
	Blocked string `json:"blocked,omitempty"`
}

// RolloutKeeper starts and steers rollouts. Implementations are safe for
// concurrent use.
type RolloutKeeper interface {
	// Start begins a rollout. It reports ErrConflict when one is running on
	// the pool.
	Start(ctx context.Context, r Rollout) (Rollout, error)
	// Steer changes the state: "pause", "resume" or "rollback".
	Steer(ctx context.Context, id, action string) (Rollout, error)
	// List returns the known rollouts.
	List(ctx context.Context) ([]Rollout, error)
}

// BackendStatus is a glance at a backend server as this instance sees it.
type BackendStatus struct {
	Backend     BackendServerID  `json:"backend"`
	Pool        PoolID           `json:"pool"`
	Zone        AvailabilityZone `json:"zone"`
	Incarnation Incarnation      `json:"incarnation"`
	Weights     WeightsVersion   `json:"weights"`
	Running     int              `json:"running"`
	Waiting     int              `json:"waiting"`
	// Trust is between 0 and 1: how far the picture of the cache is believed.
	Trust   float64 `json:"trust"`
	Limit   int     `json:"limit"`
	Leaving bool    `json:"leaving"`
	Lost    bool    `json:"lost"`
}
