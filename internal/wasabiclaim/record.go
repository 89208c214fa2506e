package wasabiclaim

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirecord"
)

// rowPrefix starts the keys of all claim rows.
const rowPrefix = "claim/"

// recordState is the state of a claim row.
type recordState string

const (
	recordRunning  recordState = "running"
	recordAnswered recordState = "answered"
	recordUnknown  recordState = "unknown"
	recordFree     recordState = "free"
)

// record is the value of a claim row.
type record struct {
	State       recordState             `json:"state"`
	Request     wasabiridge.RequestID   `json:"request"`
	Holder      wasabiridge.InstanceID  `json:"holder"`
	Incarnation wasabiridge.Incarnation `json:"incarnation"`
	Digest      uint64                  `json:"digest"`
	Written     wasabiridge.Millis      `json:"written_ms"`
	// Until is the end of the retention. Rows are not deleted before.
	Until  wasabiridge.Millis `json:"until_ms"`
	Answer *recordAnswer      `json:"answer,omitempty"`
}

type recordAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// rowKey returns the key of the row for a caller's key. The caller's text is
// hashed, so that it neither shows in the table nor makes long keys.
func rowKey(account wasabiridge.ClientAccountID, key string) string {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return rowPrefix + hex.EncodeToString(h.Sum(nil)[:20])
}

func encodeRecord(r record) []byte { return wasabirecord.Encode(r) }

// decodeRecord reads the value of a claim row. It reports ErrInvalid for
// anything that encodeRecord does not write.
func decodeRecord(value []byte) (record, error) {
	var r record
	if err := wasabirecord.Decode("claim", value, &r); err != nil {
		return record{}, err
	}
	switch r.State {
	case recordRunning, recordUnknown, recordFree:
		return r, nil
	case recordAnswered:
		if r.Answer == nil {
			return record{}, wasabiridge.ErrInvalid.New("claim: answered row without answer")
		}
		return r, nil
	default:
		return record{}, wasabiridge.ErrInvalid.New("claim: unknown state %q", string(r.State))
	}
}

func (r record) answer() wasabiridge.Answer {
	if r.Answer == nil {
		return wasabiridge.Answer{}
	}
	return wasabiridge.Answer{Status: r.Answer.Status, ContentType: r.Answer.ContentType, Body: r.Answer.Body}
}
