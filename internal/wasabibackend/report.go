package wasabibackend

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxBatchEvents limits the entries of one cache event message.
	maxBatchEvents = 4096
	// maxSequence limits sequence numbers, so that adding to them does not
	// overflow.
	maxSequence = 1 << 62
	// maxReportAge is the upper bound for the age stated in a load report.
	maxReportAge = wasabiridge.Minute
)

// loadBody is the body of the response to GET /load.
type loadBody struct {
	Incarnation uint64 `json:"incarnation"`
	// AgeMillis is the time between the server's measurement and its response.
	// Unlike a timestamp, an age does not require synchronized clocks.
	AgeMillis     float64 `json:"age_ms"`
	Running       float64 `json:"running"`
	Waiting       float64 `json:"waiting"`
	WaitingTokens float64 `json:"waiting_tokens"`
	Weights       uint64  `json:"weights"`
	Leaving       bool    `json:"leaving"`
}

// decodeLoad parses a load report that was received at the given time. Counters
// out of range are clamped. It returns false when the report is malformed.
func decodeLoad(now wasabiridge.Millis, b wasabiridge.BackendServerID, data []byte) (wasabiridge.LoadReport, bool) {
	var body loadBody
	if err := json.Unmarshal(data, &body); err != nil || !isObject(data) {
		return wasabiridge.LoadReport{}, false
	}
	age := min(wasabiridge.Millis(clamp(body.AgeMillis)), maxReportAge)
	return wasabiridge.LoadReport{
		Backend:       b,
		Incarnation:   wasabiridge.Incarnation(body.Incarnation),
		MeasuredAt:    now - age,
		Running:       clamp(body.Running),
		Waiting:       clamp(body.Waiting),
		WaitingTokens: clamp(body.WaitingTokens),
		Weights:       wasabiridge.WeightsVersion(body.Weights),
		Leaving:       body.Leaving,
	}, true
}

// isObject reports whether valid JSON is an object. json.Unmarshal accepts null for one.
func isObject(data []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{"))
}

// cacheEntry is one change of an engine's cache, as sent by the engine.
type cacheEntry struct {
	Kind  string `json:"kind"`
	Block string `json:"block"`
}

// cacheBatch is one message of GET /cache/events. Its entries have consecutive
// sequence numbers, beginning with Sequence.
type cacheBatch struct {
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Events      []cacheEntry `json:"events"`
}

// eventKinds maps the names of cache events on the wire to their kinds.
var eventKinds = map[string]wasabiridge.CacheEventKind{
	"stored":  wasabiridge.BlockStored,
	"evicted": wasabiridge.BlockEvicted,
	"cleared": wasabiridge.CacheCleared,
}

// decodeBatch parses one message of cache events. It returns false for the
// complete message if one entry is invalid, because the sequence numbers of the
// entries after it would be unreliable.
func decodeBatch(b wasabiridge.BackendServerID, payload string) ([]wasabiridge.CacheEvent, bool) {
	var batch cacheBatch
	if err := json.Unmarshal([]byte(payload), &batch); err != nil || !isObject([]byte(payload)) {
		return nil, false
	}
	if len(batch.Events) > maxBatchEvents || batch.Sequence > maxSequence {
		return nil, false
	}
	events := make([]wasabiridge.CacheEvent, 0, len(batch.Events))
	for i, entry := range batch.Events {
		kind, known := eventKinds[entry.Kind]
		block, err := blockOf(kind, entry.Block)
		if !known || err != nil {
			return nil, false
		}
		events = append(events, wasabiridge.CacheEvent{
			Backend:     b,
			Incarnation: wasabiridge.Incarnation(batch.Incarnation),
			Sequence:    batch.Sequence + uint64(i),
			Kind:        kind,
			Block:       block,
		})
	}
	return events, true
}

func blockOf(kind wasabiridge.CacheEventKind, text string) (wasabiridge.BlockHash, error) {
	if kind == wasabiridge.CacheCleared {
		return 0, nil
	}
	block, err := strconv.ParseUint(text, 16, 64)
	return wasabiridge.BlockHash(block), err
}
