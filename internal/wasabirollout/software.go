package wasabirollout

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// softwarePrefix is the prefix of the keys of the rows that hold the phases of software
	// rollouts. There is one row per pool.
	softwarePrefix = "software_rollout/"
	// TrialShare is the part of the requests that goes to a new version during its trial, as a
	// fraction of what the operators allow a bad version.
	TrialShare = 0.3
	// ExposureShare is the part that a new version may get in all until its deadline.
	ExposureShare = 0.9
	// settleTime is how long after the begin of the shift all instances take part in it.
	settleTime = 700 * wasabiridge.Millis(1)
	// partedTime is the same where the instances of each zone use other servers of the pool, and
	// none knows what is in flight at all of them. Requests end within it.
	partedTime = 8 * wasabiridge.Second
	// drainTime is how long nothing has to be in flight at the old versions.
	drainTime = 300 * wasabiridge.Millis(1)
)

// SoftwareState is what a decision on a software rollout depends on.
type SoftwareState struct {
	Rollout wasabiridge.SoftwareRollout
	// Since is when the order, and PhaseSince when its phase was first seen here.
	Since, PhaseSince wasabiridge.Millis
	// MaxShare is the part of all requests that a bad version may get until its deadline.
	MaxShare float64
	// Parted reports that this instance knows a part of the servers only.
	Parted bool
	// Old and New are the numbers of servers of the old versions and of the new one.
	Old, New int
	// DrainedSince is since when nothing was in flight at the old versions. Zero means that
	// something is.
	DrainedSince wasabiridge.Millis
	Verdict      Verdict
}

// Reasons of a change of the phase, for the log.
const (
	reasonVerdict   = "verdict"
	reasonNoOld     = "no server of another version"
	reasonDeadline  = "deadline near"
	reasonDrained   = "nothing in flight at the old versions"
	reasonUnchanged = ""
)

// Decide returns the phase that a rollout should be in, and why it is not the stored one.
//
// A version that turns bad late, or under load, may get no more of the requests than any bad
// one. So all requests move to it only shortly before the deadline, when those that it can get
// until then are few enough.
func Decide(now wasabiridge.Millis, s SoftwareState) (wasabiridge.RolloutPhase, string) {
	phase, settle := s.Rollout.Phase, settleTime
	if s.Parted {
		settle = partedTime
	}
	switch {
	case phase.IsFinal() || s.New == 0:
		return phase, reasonUnchanged
	case s.Verdict.Bad:
		return wasabiridge.RolloutRolledBack, reasonVerdict
	case s.Old == 0:
		return wasabiridge.RolloutCompleted, reasonNoOld
	case phase == wasabiridge.RolloutTrial && now-s.Since >= ShiftAfter(s.Rollout.Duration, s.MaxShare):
		return wasabiridge.RolloutShift, reasonDeadline
	case phase == wasabiridge.RolloutShift && now-s.PhaseSince >= settle && s.DrainedSince != 0 && now-s.DrainedSince >= drainTime:
		return wasabiridge.RolloutCompleted, reasonDrained
	}
	return phase, reasonUnchanged
}

// ShiftAfter returns how long after an order with a duration all requests move to the new
// version. Until the deadline it then gets no more than ExposureShare of what is allowed.
func ShiftAfter(duration wasabiridge.Millis, maxShare float64) wasabiridge.Millis {
	trial, all := TrialShare*maxShare, ExposureShare*maxShare
	rest := (all - trial) / (1 - trial)
	return wasabiridge.Millis((1 - rest) * float64(duration))
}

// softwareRecord is the value of the row of a software rollout.
type softwareRecord struct {
	Order uint64                      `json:"order"`
	To    wasabiridge.SoftwareVersion `json:"to"`
	Phase wasabiridge.RolloutPhase    `json:"phase"`
}

// SoftwareSource is a catalog source that adds the stored phases to the orders of rollouts. It
// is safe for concurrent use.
type SoftwareSource struct {
	wasabiridge.CatalogSource
	rows wasabiridge.Table
}

var _ wasabiridge.CatalogPages = (*SoftwareSource)(nil)

// NewSoftwareSource returns a source that reads orders from one source and phases from a table.
func NewSoftwareSource(source wasabiridge.CatalogSource, rows wasabiridge.Table) *SoftwareSource {
	return &SoftwareSource{CatalogSource: source, rows: rows}
}

// ReadConfig implements wasabiridge.CatalogSource. An order without a phase is in trial.
func (s *SoftwareSource) ReadConfig(ctx context.Context) (wasabiridge.ConfigSnapshot, error) {
	snapshot, err := s.CatalogSource.ReadConfig(ctx)
	if err != nil || len(snapshot.Rollouts) == 0 {
		return snapshot, err
	}
	var rows []wasabiridge.Row
	if rows, err = s.rows.List(ctx, softwarePrefix, "", maxRollouts); err != nil {
		return snapshot, err
	}
	stored := map[string]softwareRecord{}
	for _, row := range rows {
		var r softwareRecord
		if json.Unmarshal(row.Value, &r) == nil {
			stored[row.Key] = r
		}
	}
	for i, r := range snapshot.Rollouts {
		snapshot.Rollouts[i].Phase = wasabiridge.RolloutTrial
		if known := stored[softwarePrefix+string(r.Pool)]; known.Order == r.Order && known.Phase != "" {
			snapshot.Rollouts[i].Phase = known.Phase
		}
	}
	return snapshot, nil
}

// ReadFirstBackends implements wasabiridge.CatalogPages.
func (s *SoftwareSource) ReadFirstBackends(ctx context.Context) (wasabiridge.BackendSnapshot, error) {
	if pages, ok := s.CatalogSource.(wasabiridge.CatalogPages); ok {
		return pages.ReadFirstBackends(ctx)
	}
	return s.ReadBackends(ctx)
}

// StorePhase stores the phase of a rollout and shows it to the operators, in one transaction.
// It reports ErrConflict if another instance stored one at the same time, or a later order, and
// stores nothing if the row has this phase or a later one already.
func StorePhase(ctx context.Context, rows wasabiridge.Table, id string, r wasabiridge.SoftwareRollout) error {
	key := softwarePrefix + string(r.Pool)
	row, err := rows.Get(ctx, key)
	if err != nil {
		return err
	}
	var stored softwareRecord
	if row.Revision != 0 {
		if err = json.Unmarshal(row.Value, &stored); err != nil {
			return wasabiridge.ErrInvalid.Wrap(err, "rollout: row %q holds no phase", key)
		}
	}
	switch {
	case stored.Order > r.Order:
		return wasabiridge.ErrConflict.New("rollout: pool %q has a later order, %d, than %d", r.Pool, stored.Order, r.Order)
	case stored.Order == r.Order && !stored.Phase.Precedes(r.Phase) && stored.Phase != "":
		return nil
	}
	var value []byte
	if value, err = json.Marshal(softwareRecord{Order: r.Order, To: r.To, Phase: r.Phase}); err != nil {
		return wasabiridge.ErrInvalid.Wrap(err, "rollout: encode the phase of pool %q", r.Pool)
	}
	return rows.Commit(ctx, wasabiridge.Transaction{
		ID:      wasabiridge.WriteID(id + "/" + strconv.FormatUint(r.Order, 36) + "/" + string(r.Phase)),
		Changes: []wasabiridge.RowChange{{Key: key, IfRevision: row.Revision, Value: value}},
		Epoch:   row.Epoch, Rollouts: []wasabiridge.SoftwareRollout{r},
	})
}
