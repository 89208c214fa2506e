package wasabiengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// loadBody is the response to GET /load.
type loadBody struct {
	Incarnation   uint64 `json:"incarnation"`
	AgeMillis     int64  `json:"age_ms"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	WaitingTokens int    `json:"waiting_tokens"`
	Weights       uint64 `json:"weights"`
	Leaving       bool   `json:"leaving,omitempty"`
}

type cacheEntry struct {
	Kind  string `json:"kind"`
	Block string `json:"block,omitempty"`
}

// cacheBatch is one message of GET /cache/events. The events have consecutive
// sequence numbers, the first of which is Sequence.
type cacheBatch struct {
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Events      []cacheEntry `json:"events"`
}

var kindNames = map[wasabiridge.CacheEventKind]string{
	wasabiridge.BlockStored:  "stored",
	wasabiridge.BlockEvicted: "evicted",
	wasabiridge.CacheCleared: "cleared",
}

func entryOf(e wasabiridge.CacheEvent) cacheEntry {
	entry := cacheEntry{Kind: kindNames[e.Kind]}
	if e.Kind != wasabiridge.CacheCleared {
		entry.Block = fmt.Sprintf("%016x", uint64(e.Block))
	}
	return entry
}

// handleEvents streams cache events. A subscriber that sends the ID of its last
// event receives the events after it, as far as the event log still has them.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	incarnation, sequence := parseEventID(r.Header.Get("Last-Event-ID"))
	if r.URL.Query().Get("from") == "newest" {
		incarnation, sequence = e.runner.newestEvent()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	for {
		events, changed := e.runner.eventsAfter(incarnation, sequence)
		if len(events) == 0 {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
			continue
		}
		if !sleep(r, e.opts.EventDelay) {
			return
		}
		run := contiguous(events)
		writeBatch(w, run)
		incarnation, sequence = run[len(run)-1].Incarnation, run[len(run)-1].Sequence
	}
}

// contiguous returns the leading events of one incarnation that have consecutive
// sequence numbers.
func contiguous(events []wasabiridge.CacheEvent) []wasabiridge.CacheEvent {
	for i := 1; i < len(events); i++ {
		if events[i].Incarnation != events[0].Incarnation || events[i].Sequence != events[i-1].Sequence+1 {
			return events[:i]
		}
	}
	return events
}

func writeBatch(w http.ResponseWriter, run []wasabiridge.CacheEvent) {
	batch := cacheBatch{Incarnation: uint64(run[0].Incarnation), Sequence: run[0].Sequence}
	for _, event := range run {
		batch.Events = append(batch.Events, entryOf(event))
	}
	var data []byte
	var err error
	if data, err = json.Marshal(batch); err != nil {
		return
	}
	last := run[len(run)-1]
	_, _ = fmt.Fprintf(w, "id: %d-%d\ndata: %s\n\n", last.Incarnation, last.Sequence, data)
	_ = http.NewResponseController(w).Flush()
}

func parseEventID(id string) (wasabiridge.Incarnation, uint64) {
	incarnation, sequence, ok := strings.Cut(id, "-")
	if !ok {
		return 0, 0
	}
	number, incarnationErr := strconv.ParseUint(incarnation, 10, 64)
	s, sequenceErr := strconv.ParseUint(sequence, 10, 64)
	if incarnationErr != nil || sequenceErr != nil {
		return 0, 0
	}
	return wasabiridge.Incarnation(number), s
}

// sleep waits for d. It reports false if the caller has disconnected.
func sleep(r *http.Request, d wasabiridge.Millis) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
