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
	// crashTries is how often an instance is told that does not answer, crashAgain the
	// time in between, crashTimeout the time for one try.
	crashTries   = 6
	crashAgain   = 400 * time.Millisecond
	crashTimeout = 400 * time.Millisecond
)

// shareCrashes tells the other instances under which requests servers ended, and logs
// what was decided.
func (n *Node) shareCrashes(ctx context.Context) {
	ticker := time.NewTicker(crashRepeat)
	defer ticker.Stop()
	spread := wasabiquarantine.NewSpread(uint64(n.incarnation))
	for {
		var one, all []wasabicatalog.Peer
		var others []wasabiridge.InstanceID
		select {
		case <-n.crashed:
			time.Sleep(crashDelay)
		case <-ticker.C:
			members := n.members.Members()
			for _, m := range members {
				others = append(others, m.ID)
			}
			active, any := spread.Targets(members, n.otherActive())
			one, all = peersOf(active), peersOf(append(active, any...))
		case <-ctx.Done():
			return
		}
		var news, repeated wasabiquarantine.News
		var notes []wasabiquarantine.Note
		n.loop.Inspect(func() {
			now := n.options.Clock.Now()
			news, notes = n.quarantine.TakeNews(now), n.quarantine.TakeNotes()
			if len(all) > 0 {
				n.quarantine.Meet(others)
				repeated = n.quarantine.Repeated(now)
			}
		})
		n.logCrashes(notes)
		n.tellCrashes(ctx, n.active(), news.Narrow)
		n.tellCrashes(ctx, n.peers(), news.Wide)
		for _, c := range news.Corrections {
			if address, ok := n.members.Locate(c.To); ok {
				n.tellCrashes(ctx, []wasabicatalog.Peer{{ID: c.To, Address: address}}, c.Marks)
			}
		}
		n.tellCrashes(ctx, one, repeated.Narrow)
		n.tellCrashes(ctx, all, repeated.Wide)
	}
}

// tellCrashes tells other instances, each until it answers. It does not wait for them.
//
// The failure it guards against: a message is lost. Its instance sends the request on, or
// goes on to suspect one that was answered elsewhere.
func (n *Node) tellCrashes(ctx context.Context, peers []wasabicatalog.Peer, crashes []wasabiridge.CrashNews) {
	if len(crashes) == 0 {
		return
	}
	news := wasabiridge.News{From: n.options.Settings.Instance, Crashes: crashes}
	for _, p := range peers {
		go func() {
			for range crashTries {
				if n.tellOnce(ctx, p.Address, news) == nil {
					return
				}
				select {
				case <-time.After(crashAgain):
				case <-ctx.Done():
					return
				}
			}
		}()
	}
}

func (n *Node) tellOnce(ctx context.Context, address string, news wasabiridge.News) error {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	return n.client.TellNews(ctx, address, news)
}

// peers returns all other living instances.
func (n *Node) peers() []wasabicatalog.Peer {
	var entries []wasabiridge.InstanceEntry
	for _, m := range n.members.Members() {
		if !m.Leaving {
			entries = append(entries, m.InstanceEntry)
		}
	}
	return peersOf(entries)
}

func peersOf(entries []wasabiridge.InstanceEntry) []wasabicatalog.Peer {
	var out []wasabicatalog.Peer
	for _, e := range entries {
		if e.PeerAddress != "" {
			out = append(out, wasabicatalog.PeerOf(e))
		}
	}
	return out
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
		n.noteBar(note)
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
