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
}

func (r record) isFree() bool { return r.Holder == "" }

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
