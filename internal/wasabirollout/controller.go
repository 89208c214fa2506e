package wasabirollout

import (
	"context"
	"fmt"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// Options configures a Controller.
type Options struct {
	Self wasabiridge.InstanceID
	// Incarnation must be unique for each start of the instance.
	Incarnation wasabiridge.Incarnation
	Table       wasabiridge.Table
	Clock       wasabiridge.Clock
	Weights     wasabiridge.WeightStore
	Engines     wasabiridge.EngineOperator
	// Config returns the current configuration.
	Config func() wasabiridge.Config
	// Members returns the instances in the membership view, with or without
	// this one. A few of them contend for the lease of each pool. If it is nil,
	// this instance contends for all leases.
	Members func() []wasabiridge.InstanceID
	// Recorder receives timeline events. Nil discards them.
	Recorder wasabiridge.Recorder
	Limits   Limits
	Lease    wasabilease.Timing
}

// Controller implements wasabiridge.RolloutController. It drives rollouts while Run is
// running. It is safe for concurrent use.
type Controller struct {
	options Options
	writer  *wasabitable.Writer
	// rowChanges notifies the driving goroutine that a row has changed. It
	// buffers one notification; further ones are dropped, because a single read
	// sees all changes.
	rowChanges chan struct{}
}

var _ wasabiridge.RolloutController = (*Controller)(nil)

// New returns a Controller. It drives no rollouts until Run is called.
func New(o Options) *Controller {
	name := fmt.Sprintf("%s/%d/rollouts", o.Self, o.Incarnation)
	return &Controller{
		options:    o,
		writer:     wasabitable.NewWriter(o.Table, wasabitable.WriterOptions{Name: name}),
		rowChanges: make(chan struct{}, 1),
	}
}

// Start starts a rollout. It returns ErrInvalid for an unknown pool or
// unpublished weights, ErrConflict if a rollout is active on the pool, and
// ErrOutcomeUnknown if the table did not answer; List then shows whether the
// rollout was started.
func (k *Controller) Start(ctx context.Context, r wasabiridge.Rollout) (wasabiridge.Rollout, error) {
	pool, ok := k.options.Config().Pool(r.Pool)
	if !ok {
		return wasabiridge.Rollout{}, wasabiridge.ErrInvalid.New("rollout: there is no pool %q", r.Pool)
	}
	latest, err := k.options.Weights.Latest(ctx, r.Model, r.Adapter)
	if err != nil {
		return wasabiridge.Rollout{}, err
	}
	if r.Weights == 0 || r.Weights > latest {
		return wasabiridge.Rollout{}, wasabiridge.ErrInvalid.New(
			"rollout: version %d of %q is not published, the latest is %d", r.Weights, r.Model, latest)
	}
	var row wasabiridge.Row
	var current record
	if row, current, err = k.load(ctx, r.Pool); err != nil {
		return wasabiridge.Rollout{}, err
	}
	if current.isActive() {
		return wasabiridge.Rollout{}, wasabiridge.ErrConflict.New(
			"rollout: %s to version %d is %s", current.Current.ID, current.Current.Weights, current.Current.State)
	}
	if r.Weights < current.Current.Weights {
		return wasabiridge.Rollout{}, wasabiridge.ErrInvalid.New(
			"rollout: pool %q has version %d; publish the former weights under a new number", r.Pool, current.Current.Weights)
	}
	r = startedRollout(r, len(pool.Backends))
	return r, k.store(ctx, row, current.withNext(r))
}

// startedRollout returns r with the initial values of its ID, state and
// progress.
func startedRollout(r wasabiridge.Rollout, total int) wasabiridge.Rollout {
	if r.ID == "" {
		r.ID = fmt.Sprintf("%s-%d", r.Pool, r.Weights)
	}
	r.State, r.Done, r.Total, r.Blocked = stateRunning, 0, total, ""
	return r
}

// Apply applies an action to the current rollout: "pause", "resume" or
// "rollback". A rollback starts a rollout of the latest published version and
// returns it. It returns ErrInvalid if no version newer than the current one is
// published.
func (k *Controller) Apply(ctx context.Context, id, action string) (wasabiridge.Rollout, error) {
	row, current, err := k.find(ctx, id)
	if err != nil {
		return wasabiridge.Rollout{}, err
	}
	var next record
	if next, err = k.applyAction(ctx, current, action); err != nil {
		return wasabiridge.Rollout{}, err
	}
	return next.Current, k.store(ctx, row, next)
}

func (k *Controller) applyAction(ctx context.Context, r record, action string) (record, error) {
	switch {
	case action == "pause" && r.Current.State == stateRunning:
		r.Current.State, r.Current.Blocked = statePaused, blockedByPause
		return r, nil
	case action == "resume" && r.Current.State == statePaused:
		r.Current.State, r.Current.Blocked = stateRunning, ""
		return r, nil
	case action == "rollback" && r.Current.State != stateRolledBack:
		return k.applyRollback(ctx, r)
	case action == "pause" || action == "resume" || action == "rollback":
		return record{}, wasabiridge.ErrConflict.New("rollout: %s is %s", r.Current.ID, r.Current.State)
	default:
		return record{}, wasabiridge.ErrInvalid.New("rollout: there is no action %q", action)
	}
}

func (k *Controller) applyRollback(ctx context.Context, r record) (record, error) {
	latest, err := k.options.Weights.Latest(ctx, r.Current.Model, r.Current.Adapter)
	if err != nil {
		return record{}, err
	}
	if latest <= r.Current.Weights {
		return record{}, wasabiridge.ErrInvalid.New(
			"rollout: publish the former weights under a number above %d first", r.Current.Weights)
	}
	next := r.Current
	next.ID, next.Weights = "", latest
	next = startedRollout(next, r.Current.Total)
	r.Current.State, r.Current.Blocked = stateRolledBack, ""
	return r.withNext(next), nil
}

// List returns the current and past rollouts of all pools.
func (k *Controller) List(ctx context.Context) ([]wasabiridge.Rollout, error) {
	rows, err := k.options.Table.List(ctx, rowPrefix, "", maxRollouts)
	if err != nil {
		return nil, err
	}
	var out []wasabiridge.Rollout
	for _, row := range rows {
		var r record
		if r, err = decodeRecord(row.Value); err != nil {
			return nil, err
		}
		out = append(append(out, r.Current), r.Past...)
	}
	return out, nil
}

func (k *Controller) load(ctx context.Context, pool wasabiridge.PoolID) (wasabiridge.Row, record, error) {
	row, err := k.options.Table.Get(ctx, rowKey(pool))
	if err != nil || row.Revision == 0 {
		return row, record{}, err
	}
	r, err := decodeRecord(row.Value)
	return row, r, err
}

func (k *Controller) find(ctx context.Context, id string) (wasabiridge.Row, record, error) {
	rows, err := k.options.Table.List(ctx, rowPrefix, "", maxRollouts)
	if err != nil {
		return wasabiridge.Row{}, record{}, err
	}
	for _, row := range rows {
		var r record
		if r, err = decodeRecord(row.Value); err == nil && r.Current.ID == id {
			return row, r, nil
		}
	}
	return wasabiridge.Row{}, record{}, wasabiridge.ErrNotFound.New("rollout: there is no current rollout %q", id)
}

func (k *Controller) store(ctx context.Context, row wasabiridge.Row, r record) error {
	change := wasabiridge.RowChange{Key: rowKey(r.Current.Pool), IfRevision: row.Revision, Value: encodeRecord(r)}
	if err := k.writer.Commit(ctx, wasabitable.Write{Changes: []wasabiridge.RowChange{change}}); err != nil {
		return err
	}
	k.record(r.Current)
	select {
	case k.rowChanges <- struct{}{}:
	default:
	}
	return nil
}

func (k *Controller) record(r wasabiridge.Rollout) {
	if k.options.Recorder == nil {
		return
	}
	k.options.Recorder.Record(wasabiridge.TimelineEvent{
		At: k.options.Clock.Now(), Instance: k.options.Self, Kind: wasabiridge.EventRollout,
		Cause: r.ID + " " + r.State, Value: int64(r.Done),
	})
}
