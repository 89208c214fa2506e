package wasabiridge

import "context"

// InstanceConfig is the version of the configuration in force at an instance.
type InstanceConfig struct {
	Instance InstanceID    `json:"instance"`
	Version  ConfigVersion `json:"version"`
	// Reached is false when the instance could not be queried.
	Reached bool `json:"reached"`
}

// ConfigController accepts configurations, stores their history and distributes them to
// all instances. Implementations are safe for concurrent use.
type ConfigController interface {
	// Current returns the document and the configuration in force at this instance. The
	// version is zero when none is known.
	Current() (ConfigDocument, Config)
	// Put checks a configuration as a whole and stores it as the successor of base. It
	// returns ErrInvalid, ErrConflict with a description of the competing change,
	// ErrUnavailable, or ErrOutcomeUnknown.
	Put(ctx context.Context, base ConfigVersion, text []byte, author string) (ConfigVersion, error)
	// History returns accepted documents, newest first.
	History(ctx context.Context, limit int) ([]ConfigDocument, error)
	// Status returns the version in force at each instance.
	Status(ctx context.Context) ([]InstanceConfig, error)
}

// Rollout deploys a version of weights to the replicas of a pool. It is an immutable
// value.
type Rollout struct {
	ID      string         `json:"id"`
	Pool    PoolID         `json:"pool"`
	Model   ModelID        `json:"model"`
	Adapter AdapterID      `json:"adapter,omitempty"`
	Weights WeightsVersion `json:"weights"`
	// State is "running", "paused", "done" or "rolled_back".
	State string `json:"state"`
	// Done and Total are numbers of replicas.
	Done  int `json:"done"`
	Total int `json:"total"`
	// Blocked is why the rollout makes no progress, such as "floor of serving
	// replicas".
	Blocked string `json:"blocked,omitempty"`
}

// RolloutController starts and controls rollouts. Implementations are safe for concurrent
// use.
type RolloutController interface {
	// Start begins a rollout. It returns ErrConflict when one is already running on the
	// pool.
	Start(ctx context.Context, r Rollout) (Rollout, error)
	// Apply applies an action to a rollout: "pause", "resume" or "rollback".
	Apply(ctx context.Context, id, action string) (Rollout, error)
	// List returns the known rollouts.
	List(ctx context.Context) ([]Rollout, error)
}

// BackendStatus is the state of a backend server as seen by this instance.
type BackendStatus struct {
	Backend     BackendServerID  `json:"backend"`
	Pool        PoolID           `json:"pool"`
	Zone        AvailabilityZone `json:"zone"`
	Incarnation Incarnation      `json:"incarnation"`
	Weights     WeightsVersion   `json:"weights"`
	Running     int              `json:"running"`
	Waiting     int              `json:"waiting"`
	// Trust is the confidence, between 0 and 1, in the estimate of what the server has
	// cached.
	Trust   float64 `json:"trust"`
	Limit   int     `json:"limit"`
	Leaving bool    `json:"leaving"`
	Lost    bool    `json:"lost"`
}
