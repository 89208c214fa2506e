package wasabistream

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxGap is the longest time between two reads of the list for which the versions in
	// between count as known. A backend server is listed for longer.
	maxGap = 2500 * wasabiridge.Millis(1)
	// SettleTime is how long a version must be listed before streams begin at it, where
	// others are listed. A list that is not older than maxAge contains it then.
	SettleTime = 1500 * wasabiridge.Millis(1)
	maxAge     = wasabiridge.Second
	// maxVersions bounds the versions that are remembered of one pool.
	maxVersions = 64
)

// History remembers which software versions were listed in each pool. It is deterministic
// and not safe for concurrent use.
type History struct {
	// since is the begin of the time without gaps, and readAt when the last read of the
	// list was sent. Both are zero before the first read.
	since, readAt wasabiridge.Millis
	// listedAt holds when each version was last listed.
	listedAt map[wasabiridge.PoolID]map[wasabiridge.SoftwareVersion]wasabiridge.Millis
	// entries is the list that was read last, and versions are those in it. Lists are not
	// modified.
	entries  []wasabiridge.BackendEntry
	versions []listedVersion
}

// listedVersion is a software version that is listed in a pool.
type listedVersion struct {
	pool    wasabiridge.PoolID
	version wasabiridge.SoftwareVersion
}

// NewHistory returns a History of an instance that has not read the list.
func NewHistory() *History {
	return &History{listedAt: map[wasabiridge.PoolID]map[wasabiridge.SoftwareVersion]wasabiridge.Millis{}}
}

// Read takes the list as the platform returned it to a read that was sent at a time. All
// entries count, also those of servers that are leaving.
func (h *History) Read(sent wasabiridge.Millis, entries []wasabiridge.BackendEntry) {
	if sent <= h.readAt {
		return
	}
	if h.readAt == 0 || sent-h.readAt > maxGap {
		h.since = sent
	}
	h.readAt = sent
	for _, l := range h.versionsOf(entries) {
		versions := h.listedAt[l.pool]
		if versions == nil {
			versions = map[wasabiridge.SoftwareVersion]wasabiridge.Millis{}
			h.listedAt[l.pool] = versions
		}
		versions[l.version] = sent
	}
	for pool, versions := range h.listedAt {
		for v, at := range versions {
			if sent-at > maxLife {
				delete(versions, v)
			}
		}
		if len(versions) == 0 {
			delete(h.listedAt, pool)
		}
	}
}

// versionsOf returns the versions in a list. The list is the same from one read to the next while
// nothing changes, and may have thousands of entries.
func (h *History) versionsOf(entries []wasabiridge.BackendEntry) []listedVersion {
	if len(entries) == len(h.entries) && (len(entries) == 0 || &entries[0] == &h.entries[0]) {
		return h.versions
	}
	seen := map[listedVersion]bool{}
	h.entries, h.versions = entries, nil
	for _, e := range entries {
		if v := (listedVersion{pool: e.Pool, version: e.Server.Software}); !seen[v] {
			seen[v] = true
			h.versions = append(h.versions, v)
		}
	}
	return h.versions
}

// Of returns the versions that were listed in a pool within a window before now.
func (h *History) Of(now wasabiridge.Millis, pool wasabiridge.PoolID, window wasabiridge.Millis) wasabiridge.SoftwareHistory {
	out := wasabiridge.SoftwareHistory{Age: maxLife}
	if h.readAt > 0 {
		out.Watched, out.Age = now-h.since, now-h.readAt
	}
	for v, at := range h.listedAt[pool] {
		if now-at <= window+out.Age && len(out.Versions) < maxVersions {
			out.Versions = append(out.Versions, v)
		}
	}
	slices.Sort(out.Versions)
	return out
}

// OnlyVersion returns the version at which every stream of a pool began that is not older
// than window, if the histories of some instances show that there was no other one.
//
// That needs a history without gaps over the window whose last read is so recent that no
// stream can have begun at a version that is not in it.
func OnlyVersion(window wasabiridge.Millis, histories []wasabiridge.SoftwareHistory) (wasabiridge.SoftwareVersion, bool) {
	var only wasabiridge.SoftwareVersion
	seen, proven := false, false
	for _, h := range histories {
		for _, v := range h.Versions {
			if seen && v != only {
				return "", false
			}
			only, seen = v, true
		}
		proven = proven || h.Watched >= window && h.Age <= maxAge && len(h.Versions) > 0
	}
	return only, seen && proven
}
