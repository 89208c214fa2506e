package wasabicatalog

import (
	"maps"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// entryLogInterval is the shortest time between two log lines about ignored entries.
	entryLogInterval = wasabiridge.Second
	// maxLoggedID bounds an identifier in a log line, in bytes.
	maxLoggedID = 64
	// unknownService is the cause of an entry whose pool is not in the configuration.
	unknownService = "unknown service"
)

// ignoredEntries counts the entries of the list that name no backend server to use, and
// decides which of them are logged. An entry counts again when its cause changes and
// when it was usable in between.
type ignoredEntries struct {
	causes map[wasabiridge.BackendServerID]string
	counts map[string]uint64
	// pending is the entry of the next log line, and unlogged the number of those after
	// it that get none.
	pending  *wasabiridge.UnusableEntry
	unlogged int
	loggedAt wasabiridge.Millis
	logged   bool
}

func newIgnoredEntries() *ignoredEntries { return &ignoredEntries{counts: map[string]uint64{}} }

// read takes the ignored entries of a read of the list. It returns the entry to log now,
// or nil, and how many others were not logged since the last one.
func (t *ignoredEntries) read(now wasabiridge.Millis, entries []wasabiridge.UnusableEntry) (*wasabiridge.UnusableEntry, int) {
	causes := make(map[wasabiridge.BackendServerID]string, len(entries))
	for _, e := range entries {
		causes[e.ID] = e.Cause
		if t.causes[e.ID] == e.Cause {
			continue
		}
		t.counts[e.Cause]++
		if t.pending != nil {
			t.unlogged++
			continue
		}
		t.pending = &wasabiridge.UnusableEntry{ID: e.ID[:min(len(e.ID), maxLoggedID)], Cause: e.Cause}
	}
	t.causes = causes
	if t.pending == nil || t.logged && now-t.loggedAt < entryLogInterval {
		return nil, 0
	}
	entry, unlogged := t.pending, t.unlogged
	t.pending, t.unlogged, t.loggedAt, t.logged = nil, 0, now, true
	return entry, unlogged
}

// total returns the counts by cause.
func (t *ignoredEntries) total() map[string]uint64 { return maps.Clone(t.counts) }

// Usable returns the entries whose pool is in the configuration. The others name no
// backend server to use, but may do so with a later configuration.
func (v View) Usable() []wasabiridge.BackendEntry {
	pools := poolsOf(v.Snapshot.Config)
	out := make([]wasabiridge.BackendEntry, 0, len(v.Backends.Entries))
	for _, e := range v.Backends.Entries {
		if pools[e.Pool] {
			out = append(out, e)
		}
	}
	return out
}

// unknownPools returns the entries whose pool is not in a configuration.
func unknownPools(cfg wasabiridge.Config, entries []wasabiridge.BackendEntry) []wasabiridge.UnusableEntry {
	pools := poolsOf(cfg)
	var out []wasabiridge.UnusableEntry
	for _, e := range entries {
		if !pools[e.Pool] {
			out = append(out, wasabiridge.UnusableEntry{ID: e.Server.ID, Cause: unknownService})
		}
	}
	return out
}

func poolsOf(cfg wasabiridge.Config) map[wasabiridge.PoolID]bool {
	pools := make(map[wasabiridge.PoolID]bool, len(cfg.Pools))
	for _, p := range cfg.Pools {
		pools[p.ID] = true
	}
	return pools
}
