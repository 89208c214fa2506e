package wasabinode

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabinotice"
)

// faultLogInterval is the shortest time between two log lines on unusable announcements
// of backend servers.
const faultLogInterval = wasabiridge.Second

// notices records and logs what backend servers state about themselves in their answers.
// It is safe for concurrent use.
type notices struct {
	log zerolog.Logger

	mu    sync.Mutex
	board wasabinotice.Board
	// faultLoggedAt is when a line on an unusable announcement was last logged, and
	// unloggedFaults counts those since.
	faultLoggedAt  wasabiridge.Millis
	unloggedFaults int
}

// recordLeaving takes the announcement of a server that it is leaving. It reports whether
// that is news.
func (n *notices) recordLeaving(e wasabiridge.BackendLeaving, now wasabiridge.Millis) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e.Fault != "" {
		n.logFault(e.Backend, e.Fault, now)
		return false
	}
	if !n.board.Leave(now, e.Backend, e.Incarnation) {
		return false
	}
	n.log.Info().Str(wasabilog.BackendField, string(e.Backend)).Uint64("incarnation", uint64(e.Incarnation)).
		Msg("Backend server announced that it is leaving.")
	return true
}

// logFault logs an unusable announcement, at most once per faultLogInterval.
func (n *notices) logFault(b wasabiridge.BackendServerID, fault string, now wasabiridge.Millis) {
	if n.faultLoggedAt != 0 && now-n.faultLoggedAt < faultLogInterval {
		n.unloggedFaults++
		return
	}
	n.log.Warn().Str(wasabilog.BackendField, string(b)).Str("error", fault).Int("unlogged", n.unloggedFaults).
		Msg("Announcement of a backend server is unusable.")
	n.faultLoggedAt, n.unloggedFaults = now, 0
}

// withLeaving returns the entries with those marked as leaving whose servers have
// announced it themselves.
func (n *notices) withLeaving(entries []wasabiridge.BackendEntry) []wasabiridge.BackendEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := slices.Clone(entries)
	for i, e := range out {
		out[i].Leaving = e.Leaving || n.board.IsLeaving(e.Server.ID, e.Server.Incarnation)
	}
	return out
}

// lines returns one metrics line for each server that has announced that it is leaving,
// with the time since its first announcement.
func (n *notices) lines(now wasabiridge.Millis) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for _, s := range n.board.List() {
		if s.Leaving {
			out = append(out, line("server_leaving_ms{backend=\""+string(s.Backend)+"\"}", int64(now-s.LeavingSince)))
		}
	}
	return out
}
