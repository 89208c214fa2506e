package wasabigateway

import (
	"bytes"

	"github.com/tidwall/gjson"
)

// finalPayload classifies the payloads that an engine sends between the last
// token and the end marker of a stream.
type finalPayload uint8

const (
	finalNone finalPayload = 0
	// finalReason carries the finish reason of the answer.
	finalReason finalPayload = 1 << iota
	// finalUsage carries the token usage of the answer, in a payload without
	// choices.
	finalUsage
)

var (
	reasonField = []byte(`"finish_reason"`)
	usageField  = []byte(`"usage"`)
)

// finalPayloadOf classifies a payload of an engine. The caller must receive
// each kind exactly once, even when the stream breaks next to one and is
// resumed by another attempt.
func finalPayloadOf(data []byte) finalPayload {
	if bytes.Contains(data, reasonField) && gjson.GetBytes(data, "choices.0.finish_reason").Type == gjson.String {
		return finalReason
	}
	if bytes.Contains(data, usageField) && gjson.GetBytes(data, "usage").IsObject() && gjson.GetBytes(data, "choices.#").Int() == 0 {
		return finalUsage
	}
	return finalNone
}
