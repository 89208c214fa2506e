package wasabinode

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicatalog"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
)

const (
	// crashDelay gathers what changes at about the same time into one message: a server
	// that ends had many requests.
	crashDelay = 5 * time.Millisecond
	// crashRepeat is how often what is known is repeated.
	crashRepeat = 500 * time.Millisecond
)

// shareCrashes tells the other instances under which requests servers ended, at once
// those that callers are sent to and by and by all, and logs what was decided.
func (n *Node) shareCrashes(ctx context.Context) {
	ticker := time.NewTicker(crashRepeat)
	defer ticker.Stop()
	spread := wasabiquarantine.NewSpread(uint64(n.incarnation))
	for {
		var targets []wasabicatalog.Peer
		select {
		case <-n.crashed:
			time.Sleep(crashDelay)
		case <-ticker.C:
			for _, e := range spread.Targets(n.members.Members(), n.otherActive()) {
				targets = append(targets, wasabicatalog.PeerOf(e))
			}
		case <-ctx.Done():
			return
		}
		var news, repeated []wasabiridge.CrashNews
		var notes []wasabiquarantine.Note
		n.loop.Inspect(func() {
			now := n.options.Clock.Now()
			news, notes = n.quarantine.TakeNews(now), n.quarantine.TakeNotes()
			if len(targets) > 0 {
				repeated = n.quarantine.Repeated(now)
			}
		})
		n.logCrashes(notes)
		if len(news) > 0 {
			n.catalog.TellSome(ctx, n.active(), wasabiridge.News{Crashes: news})
		}
		if len(repeated) > 0 {
			n.catalog.TellSome(ctx, targets, wasabiridge.News{Crashes: repeated})
		}
	}
}

// wakeCrashes lets shareCrashes look at what has changed.
func (n *Node) wakeCrashes() {
	select {
	case n.crashed <- struct{}{}:
	default:
	}
}

// logCrashes tells what is held against requests, and what is not any more.
func (n *Node) logCrashes(notes []wasabiquarantine.Note) {
	log := wasabilog.Part(n.log, "quarantine")
	for _, note := range notes {
		m := note.Mark
		line := log.Info().Stringer("fingerprint", m.Fingerprint).Str("account", string(m.Account)).Int("ends", len(m.Ends)).
			Uint64("epoch", uint64(m.Epoch)).Str("from", string(note.From))
		if len(m.Ends) > 0 {
			last := m.Ends[len(m.Ends)-1]
			line = line.Str(wasabilog.BackendField, string(last.Backend)).Int("generation", last.Generation).Int64("age_ms", int64(last.Age))
		}
		switch note.Kind {
		case wasabiquarantine.NoteEnd:
			line.Msg("Server ended under a request.")
		case wasabiquarantine.NoteBarred:
			var ended []string
			for _, e := range m.Ends {
				ended = append(ended, string(e.Backend))
			}
			line.Strs("ended", ended).Int64("for_ms", int64(note.For)).Msg("Request barred.")
		case wasabiquarantine.NoteLifted:
			line.Str("why", string(note.Why)).Msg("Request let go again.")
		}
	}
}

// quarantined is one request that something is held against, as operators see it.
type quarantined struct {
	Fingerprint string   `json:"fingerprint"`
	Account     string   `json:"account"`
	Model       string   `json:"model,omitempty"`
	Barred      bool     `json:"barred"`
	LeftMillis  int64    `json:"left_ms"`
	Ended       []string `json:"ended"`
	AgesMillis  []int64  `json:"ages_ms"`
}

// serveQuarantine lists what is held against requests.
func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	out := []quarantined{}
	n.loop.Inspect(func() {
		for _, e := range n.quarantine.Entries(n.options.Clock.Now()) {
			q := quarantined{
				Fingerprint: e.Fingerprint.String(), Account: string(e.Account), Model: string(e.Model), Barred: e.Barred, LeftMillis: int64(e.Left),
			}
			for _, end := range e.Ends {
				q.Ended = append(q.Ended, string(end.Backend))
				q.AgesMillis = append(q.AgesMillis, int64(end.Age))
			}
			out = append(out, q)
		}
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// releaseQuarantined lets a request go again, here and at all instances.
func (n *Node) releaseQuarantined(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(chi.URLParam(r, "fingerprint"), 16, 64)
	if err != nil {
		http.Error(w, "a fingerprint has 16 hexadecimal digits", http.StatusBadRequest)
		return
	}
	known := false
	n.loop.Inspect(func() { known = n.quarantine.Holds(wasabiridge.Fingerprint(id)) })
	if !known {
		http.Error(w, "nothing is held against this fingerprint here", http.StatusNotFound)
		return
	}
	n.loop.Post(wasabiridge.QuarantineReleased{Fingerprint: wasabiridge.Fingerprint(id)})
	w.WriteHeader(http.StatusNoContent)
}

// metricsHandler serves what operators see of a running instance.
func (n *Node) metricsHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/quarantine", n.serveQuarantine)
	router.Delete("/quarantine/{fingerprint}", n.releaseQuarantined)
	router.NotFound(n.serveMetrics)
	return router
}
