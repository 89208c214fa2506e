package wasabiconfig

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/wasabiridge/wasabiridge"
)

// Keys of the table. The head names the newest version; each version has one
// row of the history, which is never written again. History keys hold the
// largest number minus the version, so that a list starts with the newest.
const (
	headKey       = "config/head"
	historyPrefix = "config/history/"
)

// MaxText bounds the text of a configuration in bytes, so that its row stays
// within what a table service takes for one item.
const MaxText = 256 << 10

func historyKey(v wasabiridge.ConfigVersion) string {
	return fmt.Sprintf("%s%020d", historyPrefix, math.MaxUint64-uint64(v))
}

// document is the form of wasabiridge.ConfigDocument in the table.
type document struct {
	Version wasabiridge.ConfigVersion `json:"version"`
	Text    []byte                    `json:"text,omitempty"`
	Author  string                    `json:"author"`
	At      wasabiridge.Millis        `json:"at_ms"`
}

// EncodeDocument writes a document for the table.
func EncodeDocument(d wasabiridge.ConfigDocument) ([]byte, error) {
	return json.Marshal(document(d))
}

// DecodeDocument reads a document of the table. It does not check the text.
func DecodeDocument(data []byte) (wasabiridge.ConfigDocument, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return wasabiridge.ConfigDocument{}, wasabiridge.ErrInvalid.Wrap(err, "configuration row")
	}
	if d.Version == 0 {
		return wasabiridge.ConfigDocument{}, wasabiridge.ErrInvalid.New("configuration row without a version")
	}
	if len(d.Text) > MaxText {
		return wasabiridge.ConfigDocument{}, wasabiridge.ErrInvalid.New("configuration row of %d bytes", len(d.Text))
	}
	return wasabiridge.ConfigDocument(d), nil
}
