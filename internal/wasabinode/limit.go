package wasabinode

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
)

const (
	// limitLineInterval is how often the limit of a server is told at most while only its
	// rate changes.
	limitLineInterval = wasabiridge.Second
	// limitMemory is how long a server that names no limit any more is kept, and
	// limitsMost how many servers are.
	limitMemory = wasabiridge.Minute
	limitsMost  = 4096
)

// serverLimit is what a server said last of its limit, to this instance.
type serverLimit struct {
	wasabiridge.LimitNamed
	since, told, heard wasabiridge.Millis
}

// serverLimits writes down which servers name a limit. It is safe for concurrent use.
type serverLimits struct {
	log zerolog.Logger

	mu    sync.Mutex
	named map[wasabiridge.BackendServerID]serverLimit
}

// note takes what an answer says.
func (l *serverLimits) note(e wasabiridge.LimitNamed, now wasabiridge.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.named[e.Backend]
	if !known && (!e.Limited && e.Fault == "" || len(l.named) >= limitsMost) {
		return
	}
	if known && e.Asked < before.Asked {
		return
	}
	after := serverLimit{LimitNamed: e, since: before.since, told: before.told, heard: now}
	if !known || before.Limited != e.Limited {
		after.since = now
	}
	changed := !known || before.Limited != e.Limited || before.Fault != e.Fault
	if changed || before.Rate != e.Rate && now-before.told >= limitLineInterval {
		after.told = now
		l.log.Info().Str(wasabilog.BackendField, string(e.Backend)).Bool("limited", e.Limited).Float64("rate", e.Rate).
			Str("error", e.Fault).Int64("asked_ms_ago", int64(now-e.Asked)).Int64("since_ms", int64(now-after.since)).
			Msg("Server names its limit.")
	}
	l.named[e.Backend] = after
	if !e.Limited && e.Fault == "" {
		l.drop(now)
	}
}

// drop forgets servers that have named no limit for long.
func (l *serverLimits) drop(now wasabiridge.Millis) {
	for id, s := range l.named {
		if now-s.heard > limitMemory {
			delete(l.named, id)
		}
	}
}

// lines tells which servers name a limit now.
func (l *serverLimits) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for id, s := range l.named {
		if s.Limited {
			out = append(out, line("server_limit_milli{backend=\""+string(id)+"\"}", int64(1000*min(s.Rate, 1e9))))
		}
	}
	slices.Sort(out)
	return out
}
