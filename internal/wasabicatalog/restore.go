package wasabicatalog

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// rewriteTime is how long after a restore of the store the operators and backend servers
	// have written again what the copy lacks.
	rewriteTime = 2 * wasabiridge.Second
	// staleRewriteTime is the same if the copy is known to lack a configuration that an
	// instance has read. If it is not written again by then, it will not be.
	staleRewriteTime = 10 * wasabiridge.Second
	// returnTime is how long after a restore a backend server that had vanished before is
	// taken for gone although the copy lists it. If it has ended, its entry expires by then.
	returnTime = 8 * wasabiridge.Second
	// departureRetention is how long departures are remembered, and maxDepartures limits
	// their number.
	departureRetention = 5 * wasabiridge.Minute
	maxDepartures      = 4096
)

// departure is the end of a backend server's entry.
type departure struct {
	at    wasabiridge.Millis
	epoch wasabiridge.StoreEpoch
	// announced reports that the entry was marked as leaving before.
	announced bool
}

// observeRevision detects that the store was restored. What this instance has read before
// may be newer than the content of the store, and neither may be the newest: writes that
// were acknowledged and lost are written again some time later.
func (m *Machine) observeRevision(now wasabiridge.Millis, revision uint64) {
	epoch := wasabiridge.EpochOf(revision)
	if epoch <= m.epoch {
		return
	}
	before := m.epoch
	m.epoch, m.epochRevision = epoch, revision
	if !m.config.known && !m.backends.known {
		return
	}
	m.epochSince, m.restored = now, true
	m.keepExpiredUntil = now + expiredRetention
	m.emit(Restored{Epoch: epoch, Before: before, Revision: revision})
}

// confirmsConfig reports whether a read that was sent at a time and returned a snapshot
// confirms the configuration that results from it.
//
// The failure it guards against: a key is revoked, the store loses that configuration, and
// reads of the copy confirm the one before until the operators have written it again.
func (m *Machine) confirmsConfig(sent wasabiridge.Millis, s wasabiridge.ConfigSnapshot) bool {
	switch {
	case !m.restored:
		return true
	case s.Config.Version < m.snapshot.Config.Version:
		return sent >= m.epochSince+staleRewriteTime
	case wasabiridge.EpochOf(s.Written) == m.epoch && s.Written > m.epochRevision:
		// It was written after the restore.
		return true
	}
	return sent >= m.epochSince+rewriteTime
}

// isRegression reports whether a snapshot has an older configuration than the known one,
// although the store was not restored.
func (m *Machine) isRegression(s wasabiridge.ConfigSnapshot) bool {
	return !m.restored && s.Config.Version < m.snapshot.Config.Version
}

// withNewer returns a snapshot with what another one has newer: a configuration is ordered
// by its version, and so are weights, whatever the store's revisions. Of two configurations of
// one version, the one with a known key policy is newer: the other comes from an instance that
// lost it. It reports whether there is anything newer.
func withNewer(s, other wasabiridge.ConfigSnapshot) (wasabiridge.ConfigSnapshot, bool) {
	newer := other.Config.Version > s.Config.Version ||
		other.Config.Version == s.Config.Version && s.Config.KeyPolicy() == wasabiridge.KeysUnknown && other.Config.KeyPolicy() != wasabiridge.KeysUnknown
	if newer {
		s.Config, s.Written = other.Config, other.Written
	}
	weights := maps.Clone(s.Weights)
	for model, version := range other.Weights {
		if version <= weights[model] {
			continue
		}
		if weights == nil {
			weights = map[wasabiridge.ModelID]wasabiridge.WeightsVersion{}
		}
		weights[model], newer = version, true
	}
	s.Weights = weights
	return s, newer
}

// withDepartures marks the servers of a list that had left before the store was restored. It
// reports whether there are any.
//
// The failure it guards against: a server has announced that it leaves, the copy lists it as
// ready, and it gets requests until it ends.
func (m *Machine) withDepartures(now wasabiridge.Millis, entries []wasabiridge.BackendEntry) ([]wasabiridge.BackendEntry, bool) {
	out, marked := entries, false
	for i, e := range entries {
		d, departed := m.departures[e.Server.ID]
		switch {
		case e.Returned:
		case e.Leaving:
			m.depart(e.Server.ID, departure{at: now, epoch: m.epoch, announced: true})
		case departed && d.epoch < m.epoch && (d.announced || now < m.epochSince+returnTime):
			if !marked {
				out = slices.Clone(entries)
			}
			out[i].Leaving, out[i].Returned, marked = true, true, true
		case departed:
			delete(m.departures, e.Server.ID)
		}
	}
	m.departVanished(now, entries)
	return out, marked
}

// departVanished records the departure of the servers that are in the known list and not in
// another one. Both are sorted.
func (m *Machine) departVanished(now wasabiridge.Millis, entries []wasabiridge.BackendEntry) {
	if m.partial {
		return
	}
	i := 0
	for _, e := range m.list.Entries {
		id := e.Server.ID
		for i < len(entries) && entries[i].Server.ID < id {
			i++
		}
		if i == len(entries) || entries[i].Server.ID != id {
			m.depart(id, departure{at: now, epoch: m.epoch, announced: e.Leaving && !e.Returned || m.departures[id].announced})
		}
	}
}

// depart records a departure.
func (m *Machine) depart(id wasabiridge.BackendServerID, d departure) {
	if _, known := m.departures[id]; !known && len(m.departures) >= maxDepartures {
		maps.DeleteFunc(m.departures, func(_ wasabiridge.BackendServerID, old departure) bool { return d.at-old.at > departureRetention })
		if len(m.departures) >= maxDepartures {
			return
		}
	}
	m.departures[id] = d
}

// encodeConfig returns a snapshot as the content of a part. The revision is left out, since
// it increases with every write by anyone.
func encodeConfig(s wasabiridge.ConfigSnapshot) ([]byte, error) {
	s.Revision = 0
	return json.Marshal(s)
}
