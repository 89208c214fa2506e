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

// loadBody is the answer to GET /load.
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

// cacheBatch is one message of GET /cache/events. Entries follow each other
// without a gap from Sequence on.
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

// handleEvents streams cache events. A subscriber that names the last event
// it saw goes on behind it, as far as the engine still keeps events.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	life, sequence := lastEvent(r.Header.Get("Last-Event-ID"))
	if r.URL.Query().Get("from") == "newest" {
		life, sequence = e.core.newest()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	for {
		events, changed := e.core.eventsAfter(life, sequence)
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
		run := unbroken(events)
		writeBatch(w, run)
		life, sequence = run[len(run)-1].Incarnation, run[len(run)-1].Sequence
	}
}

// unbroken returns the leading events without a gap.
func unbroken(events []wasabiridge.CacheEvent) []wasabiridge.CacheEvent {
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

func lastEvent(id string) (wasabiridge.Incarnation, uint64) {
	life, sequence, ok := strings.Cut(id, "-")
	if !ok {
		return 0, 0
	}
	l, lifeErr := strconv.ParseUint(life, 10, 64)
	s, sequenceErr := strconv.ParseUint(sequence, 10, 64)
	if lifeErr != nil || sequenceErr != nil {
		return 0, 0
	}
	return wasabiridge.Incarnation(l), s
}

// sleep waits for a length of time. It reports false when the caller is gone.
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
