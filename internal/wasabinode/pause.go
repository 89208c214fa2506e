package wasabinode

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	// pauseLogInterval is the shortest time between two log lines on the pauses that one
	// server requests.
	pauseLogInterval = wasabiridge.Second
	// pauseRetention is how long a server is remembered after its last request for a
	// pause, and maxPaused bounds how many servers are.
	pauseRetention = wasabiridge.Minute
	maxPaused      = 4096
)

// pausedServer is the pause that a backend server last requested of this instance.
type pausedServer struct {
	until, receivedAt, loggedAt wasabiridge.Millis
	// unlogged counts the requests for a pause since the last log line.
	unlogged int
}

// pausedServers records and logs which backend servers requested a pause. It is safe for
// concurrent use.
type pausedServers struct {
	log zerolog.Logger

	mu       sync.Mutex
	byServer map[wasabiridge.BackendServerID]pausedServer
	total    int
}

// record takes a request for a pause.
func (l *pausedServers) record(e wasabiridge.PauseRequested, now wasabiridge.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	s, known := l.byServer[e.Backend]
	if !known {
		l.evictStale(now)
		if len(l.byServer) >= maxPaused {
			return
		}
	}
	s.receivedAt = now
	if e.Fault == "" {
		s.until = max(s.until, now+e.Duration)
	}
	if s.loggedAt == 0 || now-s.loggedAt >= pauseLogInterval {
		l.log.Info().Str(wasabilog.BackendField, string(e.Backend)).Int64("pause_ms", int64(e.Duration)).
			Int64("left_ms", int64(max(0, s.until-now))).Int("unlogged", s.unlogged).Str("error", e.Fault).
			Msg("Backend server requested a pause.")
		s.loggedAt, s.unlogged = now, 0
	} else {
		s.unlogged++
	}
	l.byServer[e.Backend] = s
}

// evictStale removes servers that requested no pause within pauseRetention.
func (l *pausedServers) evictStale(now wasabiridge.Millis) {
	for id, s := range l.byServer {
		if now-s.receivedAt > pauseRetention && now >= s.until {
			delete(l.byServer, id)
		}
	}
}

// lines returns the number of requested pauses, and the time left of each one.
func (l *pausedServers) lines(now wasabiridge.Millis) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{line("server_pauses_total", int64(l.total))}
	for id, s := range l.byServer {
		if s.until > now {
			out = append(out, line("server_pause_left_ms{backend=\""+string(id)+"\"}", int64(s.until-now)))
		}
	}
	slices.Sort(out)
	return out
}
