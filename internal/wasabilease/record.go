package wasabilease

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirecord"
)

// rowPrefix is the prefix of the keys of all lease rows.
const rowPrefix = "lease/"

// record is the value of a lease row. A row without a holder is free. Rows are
// never deleted, because fencing numbers must not start over.
type record struct {
	Holder      wasabiridge.InstanceID    `json:"holder"`
	Incarnation wasabiridge.Incarnation   `json:"incarnation"`
	Fencing     wasabiridge.FencingNumber `json:"fencing_number"`
	// Last is the instance that has released the lease, and Handover what it tells the next
	// holder. Both are empty while the lease is held.
	Last     wasabiridge.InstanceID `json:"last_holder,omitempty"`
	Handover string                 `json:"handover,omitempty"`
}

func (r record) isFree() bool { return r.Holder == "" }

// previous returns what the row says about its last holder.
func (r record) previous() Previous {
	if !r.isFree() {
		return Previous{Fencing: r.Fencing, Holder: r.Holder}
	}
	return Previous{Fencing: r.Fencing, Holder: r.Last, Handover: r.Handover}
}

// epochBits is the number of low bits of a fencing number that count the holders within
// one epoch of the store. Fencing numbers stay below 2^53, so that JSON numbers hold them.
const epochBits = 32

// epoch returns the epoch of the store in which the number was given.
func (r record) epoch() wasabiridge.StoreEpoch {
	return wasabiridge.StoreEpoch(r.Fencing >> epochBits)
}

// next returns the number of the next holder. The first one of an epoch is higher than all
// of the epochs before it, also those of holders whose rows a restore has lost.
func (r record) next(epoch wasabiridge.StoreEpoch) wasabiridge.FencingNumber {
	return max(r.Fencing+1, wasabiridge.FencingNumber(epoch)<<epochBits)
}

func encodeRecord(r record) []byte { return wasabirecord.Encode(r) }

// decodeRecord decodes the value of a lease row. It reports ErrInvalid for a
// value without a fencing number, because a takeover of such a row would start
// the numbers over.
func decodeRecord(value []byte) (record, error) {
	var r record
	if err := wasabirecord.Decode("lease", value, &r); err != nil {
		return record{}, err
	}
	if r.Fencing == 0 {
		return record{}, wasabiridge.ErrInvalid.New("lease: row has no fencing number")
	}
	return r, nil
}
