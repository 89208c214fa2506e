package wasabinode

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	// leavingLogInterval is the shortest time between two log lines on unusable
	// announcements of one server.
	leavingLogInterval = wasabiridge.Second
	// maxLeaving bounds how many servers are recorded as leaving.
	maxLeaving = 4096
)

// leavingServer is what is recorded of a backend server that announced that it is
// leaving, or sent an unusable announcement.
type leavingServer struct {
	leaving bool
	// since is when the server first announced that it is leaving, and receivedAt when
	// it last did. loggedAt is when a line on it was last logged.
	since, receivedAt, loggedAt wasabiridge.Millis
}

// leavingServers records and logs which backend servers announced in their answers that
// they are leaving. It is safe for concurrent use.
type leavingServers struct {
	log zerolog.Logger

	mu       sync.Mutex
	byServer map[wasabiridge.BackendServerID]leavingServer
}

// record takes the announcement of an answer. It reports whether the server was not
// known to be leaving before.
func (l *leavingServers) record(e wasabiridge.BackendLeaving, now wasabiridge.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.byServer[e.Backend]
	if !known && len(l.byServer) >= maxLeaving {
		return false
	}
	isNew := e.Fault == "" && !s.leaving
	if isNew {
		s.leaving, s.since = true, now
	}
	if e.Fault == "" {
		s.receivedAt = now
	}
	if isNew || e.Fault != "" && (s.loggedAt == 0 || now-s.loggedAt >= leavingLogInterval) {
		s.loggedAt = now
		l.log.Info().Str(wasabilog.BackendField, string(e.Backend)).Bool("leaving", s.leaving).Str("error", e.Fault).
			Msg("Backend server announced that it is leaving.")
	}
	l.byServer[e.Backend] = s
	return isNew
}

// lines returns one metrics line for each server that is leaving, with the time since
// its first announcement.
func (l *leavingServers) lines(now wasabiridge.Millis) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, s := range l.byServer {
		if s.leaving {
			out = append(out, line("server_leaving_ms{backend=\""+string(id)+"\"}", int64(now-s.since)))
		}
	}
	slices.Sort(out)
	return out
}
