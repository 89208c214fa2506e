package wasabirollout

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirecord"
)

const (
	// rowPrefix is the prefix of the keys of rollout rows. There is one row per
	// pool.
	rowPrefix = "rollout/"
	// maxPast is the maximum number of past rollouts in a row.
	maxPast = 8
)

// record is the value of a rollout row.
type record struct {
	Current wasabiridge.Rollout `json:"current"`
	// Past holds the past rollouts, newest first.
	Past []wasabiridge.Rollout `json:"past,omitempty"`
}

func rowKey(pool wasabiridge.PoolID) string { return rowPrefix + string(pool) }

func encodeRecord(r record) []byte { return wasabirecord.Encode(r) }

// decodeRecord decodes the value of a rollout row. It returns ErrInvalid for a
// row without a pool or weights, or with an unknown state.
func decodeRecord(value []byte) (record, error) {
	var r record
	if err := wasabirecord.Decode("rollout", value, &r); err != nil {
		return record{}, err
	}
	if r.Current.Pool == "" || r.Current.Weights == 0 {
		return record{}, wasabiridge.ErrInvalid.New("rollout: row without pool or weights")
	}
	switch r.Current.State {
	case stateRunning, statePaused, stateDone, stateRolledBack:
		return r, nil
	default:
		return record{}, wasabiridge.ErrInvalid.New("rollout: unknown state %q", r.Current.State)
	}
}

// isActive reports whether the current rollout may still send orders.
func (r record) isActive() bool {
	return r.Current.State == stateRunning || r.Current.State == statePaused
}

// withNext returns the record with a new current rollout; the previous one
// becomes the newest past rollout.
func (r record) withNext(next wasabiridge.Rollout) record {
	var past []wasabiridge.Rollout
	if r.Current.Pool != "" {
		past = append(past, r.Current)
	}
	past = append(past, r.Past...)
	return record{Current: next, Past: past[:min(len(past), maxPast)]}
}

// withCurrent returns the record with the current rollout replaced.
func (r record) withCurrent(current wasabiridge.Rollout) record {
	r.Current = current
	return r
}
