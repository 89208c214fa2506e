package wasabibackend

import (
	"math"

	"github.com/tidwall/gjson"

	"github.com/wasabiridge/wasabiridge"
)

// endMarker is the payload of the event that ends a complete stream.
const endMarker = "[DONE]"

// chunk holds the fields that the router evaluates in one payload of an engine:
// a stream event or the body of an answer that is not streamed.
type chunk struct {
	// id identifies the completion. It may be empty.
	id string
	// tokens counts output tokens in the payload, and ids those that are counted by their
	// identifiers.
	tokens, ids int
	// listed is set when the payload contains a list of choices, and choices when it contains
	// at least one.
	listed, choices bool
	// failed is set when the engine reports an error instead of an answer.
	failed bool
	// hasUsage is set when the payload contains usage.
	hasUsage bool
	usage    wasabiridge.Usage
	// fault is why the payload is no part of a completion. Empty means that nothing is wrong.
	fault fault
}

// fault is why bytes of an engine are no part of an answer.
type fault string

// Faults of events and of payloads.
const (
	faultObject  fault = "no JSON object"
	faultSize    fault = "event too large"
	faultMarker  fault = "end marker within the answer"
	faultBehind  fault = "bytes behind the end marker"
	faultHead    fault = "head is none of a response"
	faultAnswer  fault = "status or type is not that of an answer to the request"
	faultChoices fault = "no list of choices"
	faultChoice  fault = "field of a choice has a wrong type"
	faultID      fault = "id of another completion"
	faultTokens  fault = "token_ids are no list of numbers"
	faultLimit   fault = "more tokens than requested"
	faultUsage   fault = "choices behind the usage"
	faultTail    fault = "too many payloads behind the usage"
)

// decodeChunk parses one payload. It returns false when the payload is not a
// JSON object.
func decodeChunk(payload string) (chunk, bool) {
	if !gjson.Valid(payload) {
		return chunk{}, false
	}
	root := gjson.Parse(payload)
	if !root.IsObject() {
		return chunk{}, false
	}
	var c chunk
	root.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "id":
			// The text of null is empty, and that of an object its JSON.
			c.id = value.String()
		case "choices":
			c.readChoices(value)
		case "usage":
			c.readUsage(value)
		case "error":
			c.failed = value.Type != gjson.Null
		}
		return true
	})
	return c, true
}

func (c *chunk) readChoices(list gjson.Result) {
	if !list.IsArray() {
		return
	}
	c.listed = true
	list.ForEach(func(_, choice gjson.Result) bool {
		c.choices = true
		c.readChoice(choice)
		return true
	})
}

// readChoice counts the output tokens in one choice, and checks that the fields that callers read
// have the types of the API.
func (c *chunk) readChoice(choice gjson.Result) {
	ok := choice.IsObject()
	var ids gjson.Result
	choice.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "delta", "message":
			ok = ok && (value.IsObject() || value.Type == gjson.Null)
		case "text", "finish_reason":
			ok = ok && (value.Type == gjson.String || value.Type == gjson.Null)
		case "token_ids":
			ids = value
		}
		return true
	})
	if !ok {
		c.fault = faultChoice
	}
	c.readTokens(choice, ids)
}

// readTokens counts the output tokens in one choice with the given token ids. A choice without
// them counts as one token when it contains text or tool calls.
func (c *chunk) readTokens(choice, ids gjson.Result) {
	if ids.Type == gjson.Null {
		c.tokens += countText(choice)
		return
	}
	count := 0
	if !ids.IsArray() {
		count = -1
	}
	ids.ForEach(func(_, id gjson.Result) bool {
		if count < 0 || id.Type != gjson.Number || id.Num < 0 || id.Num != math.Trunc(id.Num) {
			count = -1
			return false
		}
		count++
		return true
	})
	if count < 0 {
		c.fault = faultTokens
		return
	}
	c.tokens += count
	c.ids += count
}

// countText returns 1 if a choice contains text or tool calls, and zero otherwise.
func countText(choice gjson.Result) int {
	for _, path := range [...]string{"delta.content", "text", "delta.reasoning_content"} {
		if choice.Get(path).Str != "" {
			return 1
		}
	}
	if choice.Get("delta.tool_calls").IsArray() {
		return 1
	}
	return 0
}

// completionFault returns why a payload is no part of a completion, or "".
func (c *chunk) completionFault() fault {
	if !c.listed {
		return faultChoices
	}
	return c.fault
}

func (c *chunk) readUsage(v gjson.Result) {
	if !v.IsObject() {
		return
	}
	c.hasUsage = true
	c.usage.PromptTokens = count(v.Get("prompt_tokens"))
	c.usage.OutputTokens = count(v.Get("completion_tokens"))
	c.usage.CachedTokens = min(c.usage.PromptTokens, count(v.Get("prompt_tokens_details.cached_tokens")))
}

// maxCount is the upper bound for counters reported by a backend server.
const maxCount = 1 << 30

// count reads a counter. A JSON value that is not a number counts as zero.
func count(v gjson.Result) int {
	if v.Type != gjson.Number {
		return 0
	}
	return clamp(v.Num)
}

// clamp limits a reported counter to the range from 0 to maxCount, so that a
// faulty engine cannot overflow sums of counters. NaN counts as zero.
func clamp(v float64) int {
	if !(v > 0) {
		return 0
	}
	return int(min(v, maxCount))
}
