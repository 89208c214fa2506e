package wasabiconfig

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/wasabiridge/wasabiridge"
)

// Keys of the table. The head row holds the newest version without its text. Each
// version has its own row in the history, which is never overwritten. History keys
// contain the maximum number minus the version, so that a list starts with the newest.
const (
	headKey       = "config/head"
	historyPrefix = "config/history/"
)

// MaxText is the largest size of the text of a configuration in bytes. It keeps the row
// within the item size limit of the table service.
const MaxText = 256 << 10

func historyKey(v wasabiridge.ConfigVersion) string {
	return fmt.Sprintf("%s%020d", historyPrefix, math.MaxUint64-uint64(v))
}

// document is the encoding of wasabiridge.ConfigDocument in the table.
type document struct {
	Version wasabiridge.ConfigVersion `json:"version"`
	Text    []byte                    `json:"text,omitempty"`
	Author  string                    `json:"author"`
	At      wasabiridge.Millis        `json:"at_ms"`
}

// EncodeDocument encodes a document for the table.
func EncodeDocument(d wasabiridge.ConfigDocument) ([]byte, error) {
	return json.Marshal(document(d))
}

// DecodeDocument decodes a document from the table. It does not check the text.
func DecodeDocument(data []byte) (wasabiridge.ConfigDocument, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return wasabiridge.ConfigDocument{}, wasabiridge.ErrInvalid.Wrap(err, "configuration row: cannot decode")
	}
	if d.Version == 0 {
		return wasabiridge.ConfigDocument{}, wasabiridge.ErrInvalid.New("configuration row: version is missing")
	}
	if len(d.Text) > MaxText {
		return wasabiridge.ConfigDocument{}, wasabiridge.ErrInvalid.New("configuration row: text has %d bytes, more than %d", len(d.Text), MaxText)
	}
	return wasabiridge.ConfigDocument(d), nil
}
