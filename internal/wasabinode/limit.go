package wasabinode

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	// limitLogInterval is the shortest time between two log lines on the limit of one
	// server while only its rate changes.
	limitLogInterval = wasabiridge.Second
	// limitRetention is how long a server that reports no limit any more is remembered,
	// and maxLimits bounds how many servers are.
	limitRetention = wasabiridge.Minute
	maxLimits      = 4096
	// limitMetricTime is how long a limit is shown in the metrics after it was last
	// reported. It is not kept any longer either.
	limitMetricTime = 10 * wasabiridge.Second
)

// serverLimit is the limit that a backend server last reported to this instance.
type serverLimit struct {
	wasabiridge.LimitAnnounced
	// since is when the server began to be limited or ceased to be, loggedAt when a
	// line on it was last logged, and receivedAt when it was last received.
	since, loggedAt, receivedAt wasabiridge.Millis
}

// serverLimits records and logs which backend servers report a limit. It is safe for
// concurrent use.
type serverLimits struct {
	log zerolog.Logger

	mu       sync.Mutex
	byServer map[wasabiridge.BackendServerID]serverLimit
}

// record takes the limit that a response reported. One that belongs to an older request
// than the limit on record is ignored.
func (l *serverLimits) record(e wasabiridge.LimitAnnounced, now wasabiridge.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.byServer[e.Backend]
	if !known && (!e.Limited && e.Fault == "" || len(l.byServer) >= maxLimits) {
		return
	}
	if known && e.RequestSentAt < before.RequestSentAt {
		return
	}
	after := serverLimit{LimitAnnounced: e, since: before.since, loggedAt: before.loggedAt, receivedAt: now}
	if !known || before.Limited != e.Limited {
		after.since = now
	}
	changed := !known || before.Limited != e.Limited || before.Fault != e.Fault
	if changed || before.Rate != e.Rate && now-before.loggedAt >= limitLogInterval {
		after.loggedAt = now
		l.log.Info().Str(wasabilog.BackendField, string(e.Backend)).Bool("limited", e.Limited).Float64("rate", e.Rate).
			Str("error", e.Fault).Int64("asked_ms_ago", int64(now-e.RequestSentAt)).Int64("since_ms", int64(now-after.since)).
			Msg("Backend server reported its limit.")
	}
	l.byServer[e.Backend] = after
	if !e.Limited && e.Fault == "" {
		l.evictStale(now)
	}
}

// evictStale removes servers that were not recorded within limitRetention.
func (l *serverLimits) evictStale(now wasabiridge.Millis) {
	for id, s := range l.byServer {
		if now-s.receivedAt > limitRetention {
			delete(l.byServer, id)
		}
	}
}

// lines returns one metrics line for each server that is limited now, in thousandths of
// requests a second.
func (l *serverLimits) lines(now wasabiridge.Millis) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, s := range l.byServer {
		if s.Limited && now-s.receivedAt < limitMetricTime {
			out = append(out, line("server_limit_milli{backend=\""+string(id)+"\"}", int64(1000*min(s.Rate, 1e9))))
		}
	}
	slices.Sort(out)
	return out
}
