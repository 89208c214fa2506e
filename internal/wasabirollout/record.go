package wasabirollout

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirecord"
)

const (
	// rowPrefix starts the keys of all rollout rows, one per pool.
	rowPrefix = "rollout/"
	// maxPast is how many former rollouts a row keeps.
	maxPast = 8
)

// record is the value of a rollout row.
type record struct {
	Current wasabiridge.Rollout `json:"current"`
	// Past holds former rollouts, newest first.
	Past []wasabiridge.Rollout `json:"past,omitempty"`
}

func rowKey(pool wasabiridge.PoolID) string { return rowPrefix + string(pool) }

func encodeRecord(r record) []byte { return wasabirecord.Encode(r) }

// decodeRecord reads the value of a rollout row. It reports ErrInvalid for a
// row without a pool, weights or a known state.
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

// isActive reports whether the current rollout may still give orders.
func (r record) isActive() bool {
	return r.Current.State == stateRunning || r.Current.State == statePaused
}

// withNext returns the record with another current rollout.
func (r record) withNext(next wasabiridge.Rollout) record {
	var past []wasabiridge.Rollout
	if r.Current.Pool != "" {
		past = append(past, r.Current)
	}
	past = append(past, r.Past...)
	return record{Current: next, Past: past[:min(len(past), maxPast)]}
}

// withCurrent returns the record with the current rollout changed.
func (r record) withCurrent(current wasabiridge.Rollout) record {
	r.Current = current
	return r
}
