package wasabiquarantine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// RowPrefix is the common prefix of the keys of the rows in which blocks are stored.
const RowPrefix = "quarantine/"

// RowRetention is how long the latest end in a row counts.
const RowRetention = wasabiridge.Millis(float64(longestBlock)*(1+blockJitter)) + retention

// row is a stored block. Times are in milliseconds of the time of day, which instances
// share up to a clock skew of some seconds.
type row struct {
	Account string   `json:"account"`
	Part    bool     `json:"part,omitempty"`
	Model   string   `json:"model,omitempty"`
	Epoch   uint32   `json:"epoch"`
	Ends    []rowEnd `json:"ends"`
}

type rowEnd struct {
	Backend     string `json:"backend"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	RanMillis   int64  `json:"ran_ms"`
	Weights     uint64 `json:"weights,omitempty"`
	AtMillis    int64  `json:"at_ms"`
}

// RowKey returns the key of a request's row.
func RowKey(f wasabiridge.Fingerprint) string { return RowPrefix + f.String() }

// EncodeRow encodes a block as it is stored, at a time of day.
func EncodeRow(now wasabiridge.Millis, c wasabiridge.CrashUpdate) ([]byte, error) {
	out := row{Account: string(c.Account), Part: c.Part, Model: string(c.Model), Epoch: c.Epoch}
	for _, e := range c.Crashes {
		out.Ends = append(out.Ends, rowEnd{
			Backend: string(e.Backend), Incarnation: uint64(e.Incarnation), RanMillis: int64(e.RunTime), Weights: uint64(e.Weights), AtMillis: int64(now - e.Age),
		})
	}
	return json.Marshal(out)
}

// DecodeRow decodes a stored block at a time of day. It reports ErrInvalid for a key that
// names no request, or a value that is not a block.
func DecodeRow(now wasabiridge.Millis, r wasabiridge.Row) (wasabiridge.CrashUpdate, error) {
	id, err := strconv.ParseUint(strings.TrimPrefix(r.Key, RowPrefix), 16, 64)
	if err != nil || id == 0 {
		return wasabiridge.CrashUpdate{}, wasabiridge.ErrInvalid.New("quarantine: row key %q contains no fingerprint", r.Key)
	}
	var in row
	if err = json.Unmarshal(r.Value, &in); err != nil {
		return wasabiridge.CrashUpdate{}, wasabiridge.ErrInvalid.Wrap(err, "quarantine: decoding row %q", r.Key)
	}
	out := wasabiridge.CrashUpdate{
		Fingerprint: wasabiridge.Fingerprint(id), Part: in.Part, Account: wasabiridge.ClientAccountID(in.Account), Model: wasabiridge.ModelID(in.Model), Epoch: in.Epoch,
	}
	ends := in.Ends[:min(len(in.Ends), maxKeptEnds)]
	for _, e := range ends {
		// The clock of the writer may be ahead.
		now = max(now, wasabiridge.Millis(e.AtMillis))
	}
	for _, e := range ends {
		out.Crashes = append(out.Crashes, wasabiridge.ServerCrash{
			Backend: wasabiridge.BackendServerID(e.Backend), Incarnation: wasabiridge.Incarnation(e.Incarnation),
			RunTime: max(0, wasabiridge.Millis(e.RanMillis)), Weights: wasabiridge.WeightsVersion(e.Weights), Age: now - wasabiridge.Millis(e.AtMillis),
		})
	}
	return out, nil
}

// IsExpired reports whether a stored block has expired.
func IsExpired(c wasabiridge.CrashUpdate) bool {
	for _, e := range c.Crashes {
		if e.Age < RowRetention {
			return false
		}
	}
	return true
}
