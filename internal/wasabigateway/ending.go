package wasabigateway

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// ending names the payloads that close a stream before its end marker.
type ending uint8

const (
	endingNone ending = 0
	// endingReason says why the answer ends.
	endingReason ending = 1 << iota
	// endingUsage counts the tokens of the answer, in a payload of its own.
	endingUsage
)

var (
	reasonField = []byte(`"finish_reason"`)
	usageField  = []byte(`"usage"`)
)

// endingOf tells which ending a payload of an engine holds. A caller must get
// each of them once, also when the stream breaks beside one and is resumed.
func endingOf(data []byte) ending {
	if bytes.Contains(data, reasonField) && gjson.GetBytes(data, "choices.0.finish_reason").Type == gjson.String {
		return endingReason
	}
	if bytes.Contains(data, usageField) && gjson.GetBytes(data, "usage").IsObject() && gjson.GetBytes(data, "choices.#").Int() == 0 {
		return endingUsage
	}
	return endingNone
}
