package wasabibackend

import (
	"encoding/json"
	"strconv"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxBatchEvents bounds the entries of one cache event message.
	maxBatchEvents = 4096
	// maxSequence keeps sums of sequence numbers from wrapping round.
	maxSequence = 1 << 62
	// maxReportAge bounds how old a load report may say it is.
	maxReportAge = wasabiridge.Minute
)

// loadBody is the answer to GET /load.
type loadBody struct {
	Incarnation uint64 `json:"incarnation"`
	// AgeMillis is how long before the answer the server measured. An age
	// does not depend on both clocks agreeing, as a time would.
	AgeMillis     float64 `json:"age_ms"`
	Running       float64 `json:"running"`
	Waiting       float64 `json:"waiting"`
	WaitingTokens float64 `json:"waiting_tokens"`
	Weights       uint64  `json:"weights"`
	Leaving       bool    `json:"leaving"`
}

// decodeLoad reads a load report that arrived at the given time.
func decodeLoad(now wasabiridge.Millis, b wasabiridge.BackendServerID, data []byte) (wasabiridge.LoadReport, bool) {
	var body loadBody
	if err := json.Unmarshal(data, &body); err != nil {
		return wasabiridge.LoadReport{}, false
	}
	age := min(wasabiridge.Millis(clamp(body.AgeMillis)), maxReportAge)
	return wasabiridge.LoadReport{
		Backend:       b,
		Incarnation:   wasabiridge.Incarnation(body.Incarnation),
		Taken:         now - age,
		Running:       clamp(body.Running),
		Waiting:       clamp(body.Waiting),
		WaitingTokens: clamp(body.WaitingTokens),
		Weights:       wasabiridge.WeightsVersion(body.Weights),
		Leaving:       body.Leaving,
	}, true
}

// cacheEntry is one change of a cache.
type cacheEntry struct {
	Kind  string `json:"kind"`
	Block string `json:"block"`
}

// cacheBatch is one message of GET /cache/events. Entries follow each other
// without a gap from Sequence on.
type cacheBatch struct {
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Events      []cacheEntry `json:"events"`
}

// eventKinds names the kinds of cache events on the wire.
var eventKinds = map[string]wasabiridge.CacheEventKind{
	"stored":  wasabiridge.BlockStored,
	"evicted": wasabiridge.BlockEvicted,
	"cleared": wasabiridge.CacheCleared,
}

// decodeBatch reads one message of cache events. One wrong entry spoils the
// message: the sequence numbers behind it could not be trusted.
func decodeBatch(b wasabiridge.BackendServerID, payload string) ([]wasabiridge.CacheEvent, bool) {
	var batch cacheBatch
	if err := json.Unmarshal([]byte(payload), &batch); err != nil {
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
