package wasabiclaim

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirecord"
)

// rowPrefix is the prefix of the keys of all claim rows.
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
	// Until is the end of the retention, before which the row is not deleted.
	Until  wasabiridge.Millis `json:"until_ms"`
	Answer *recordAnswer      `json:"answer,omitempty"`
}

type recordAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// rowKey returns the key of the row for a caller's key. The caller's key is
// hashed, so that the table does not reveal it and row keys are short.
func rowKey(account wasabiridge.ClientAccountID, key string) string {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return rowPrefix + hex.EncodeToString(h.Sum(nil)[:20])
}

func encodeRecord(r record) []byte { return wasabirecord.Encode(r) }

// decodeRecord decodes the value of a claim row. It returns ErrInvalid for
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
			return record{}, wasabiridge.ErrInvalid.New("claim: row in state answered has no answer")
		}
		return r, nil
	default:
		return record{}, wasabiridge.ErrInvalid.New("claim: row has unknown state %q", string(r.State))
	}
}

func (r record) answer() wasabiridge.Answer {
	if r.Answer == nil {
		return wasabiridge.Answer{}
	}
	return wasabiridge.Answer{Status: r.Answer.Status, ContentType: r.Answer.ContentType, Body: r.Answer.Body}
}
