package wasabicatalog

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// maxSteps and maxStepEntries limit the remembered changes of the list and the entries in
	// them. An instance whose list is older than these changes is sent the complete list.
	maxSteps       = 128
	maxStepEntries = 8192
)

// step is one change of the list.
type step struct {
	// from is the digest of the list before the change.
	from    uint64
	set     []wasabiridge.BackendEntry
	removed []wasabiridge.BackendServerID
}

func (s step) size() int { return len(s.set) + len(s.removed) }

// hasDepartures reports whether a server has left or is leaving.
func (s step) hasDepartures() bool {
	return len(s.removed) > 0 || slices.ContainsFunc(s.set, func(e wasabiridge.BackendEntry) bool { return e.Leaving })
}

// history holds the last changes of the list, the newest last, so that other instances are
// sent only what has changed since the list that they have.
//
// The failure it guards against: hundreds of instances hold thousands of entries, and each
// change of a few of them costs every instance the memory and the time of the complete list
// several times over.
type history struct {
	steps   []step
	entries int
	// full is the encoded complete list, and deltas are the encoded changes by the digest of
	// the list that they apply to. Both are created by the first query that needs them.
	full   []byte
	deltas map[uint64][]byte
}

// add adds a change that leads to a new list.
func (h *history) add(s step) {
	h.full, h.deltas = nil, nil
	h.steps = append(h.steps, s)
	h.entries += s.size()
	drop := 0
	for h.entries > maxStepEntries || len(h.steps)-drop > maxSteps {
		h.entries -= h.steps[drop].size()
		drop++
	}
	h.steps = slices.Delete(h.steps, 0, drop)
}

// since returns all changes since the list with a digest as one. It reports false if the
// list is not known any more.
func (h *history) since(digest uint64) (step, bool) {
	i := len(h.steps) - 1
	for i >= 0 && h.steps[i].from != digest {
		i--
	}
	if i < 0 {
		return step{}, false
	}
	changes := map[wasabiridge.BackendServerID]*wasabiridge.BackendEntry{}
	for _, s := range h.steps[i:] {
		for j := range s.set {
			changes[s.set[j].Server.ID] = &s.set[j]
		}
		for _, id := range s.removed {
			changes[id] = nil
		}
	}
	out := step{from: digest}
	for _, id := range slices.Sorted(maps.Keys(changes)) {
		if e := changes[id]; e != nil {
			out.set = append(out.set, *e)
		} else {
			out.removed = append(out.removed, id)
		}
	}
	return out, true
}

// answerBackends returns the response to a query of an instance whose list has a digest.
func (m *Machine) answerBackends(now wasabiridge.Millis, has uint64) wasabiridge.CatalogPart {
	p := &m.backends
	if !p.known {
		return wasabiridge.CatalogPart{Age: -1}
	}
	out := wasabiridge.CatalogPart{Revision: p.revision, Digest: p.digest, Age: max(0, now-p.confirmedAt) + 1}
	if has != p.digest {
		out.Content = m.backendsContent(has)
	}
	return out
}

// backendsContent returns the encoded changes since the list with a digest, or the complete
// list.
func (m *Machine) backendsContent(has uint64) []byte {
	h := &m.history
	if delta := h.deltas[has]; delta != nil {
		return delta
	}
	if s, known := h.since(has); known {
		if h.deltas == nil {
			h.deltas = map[uint64][]byte{}
		}
		h.deltas[has] = encodeDelta(s)
		return h.deltas[has]
	}
	if h.full == nil {
		h.full = encodeList(m.list.Entries)
	}
	return h.full
}

// replaceList makes a list the known one. Its entries are sorted and differ from it.
func (m *Machine) replaceList(s wasabiridge.BackendSnapshot, list decodedList, confirmedAt wasabiridge.Millis, own bool) {
	switch {
	case !m.backends.known:
		m.history = history{}
	case list.change != nil:
		m.history.add(*list.change)
	default:
		m.history.add(changesBetween(m.backends.digest, m.list.Entries, s.Entries))
	}
	m.list, m.partial = s, false
	p := &m.backends
	p.revision, p.digest, p.confirmedAt, p.known = s.Revision, list.digest, confirmedAt, true
	m.emit(Changed{FromPlatform: own})
}

// changesBetween returns the change from one sorted list to another. Entries that have not
// changed are replaced in the second list by those of the first, so that their memory is
// shared.
func changesBetween(digest uint64, before, after []wasabiridge.BackendEntry) step {
	out := step{from: digest}
	i := 0
	for j := range after {
		for i < len(before) && before[i].Server.ID < after[j].Server.ID {
			out.removed = append(out.removed, before[i].Server.ID)
			i++
		}
		if i < len(before) && before[i].Server.ID == after[j].Server.ID {
			if equalEntries(before[i], after[j]) {
				after[j] = before[i]
			} else {
				out.set = append(out.set, after[j])
			}
			i++
			continue
		}
		out.set = append(out.set, after[j])
	}
	for ; i < len(before); i++ {
		out.removed = append(out.removed, before[i].Server.ID)
	}
	return out
}

// applied returns a list after a change, and its digest given that of the list before.
func (s step) applied(digest uint64, before []wasabiridge.BackendEntry) ([]wasabiridge.BackendEntry, uint64) {
	out := make([]wasabiridge.BackendEntry, 0, len(before)+len(s.set))
	set, removed := s.set, s.removed
	for _, e := range before {
		for len(set) > 0 && set[0].Server.ID < e.Server.ID {
			out, digest, set = append(out, set[0]), digest+hashEntry(set[0]), set[1:]
		}
		for len(removed) > 0 && removed[0] < e.Server.ID {
			removed = removed[1:]
		}
		switch {
		case len(removed) > 0 && removed[0] == e.Server.ID:
			digest -= hashEntry(e)
		case len(set) > 0 && set[0].Server.ID == e.Server.ID:
			digest += hashEntry(set[0]) - hashEntry(e)
			out, set = append(out, set[0]), set[1:]
		default:
			out = append(out, e)
		}
	}
	for _, e := range set {
		out, digest = append(out, e), digest+hashEntry(e)
	}
	return out, digest
}

func equalEntries(a, b wasabiridge.BackendEntry) bool {
	return a.Server == b.Server && a.Pool == b.Pool && a.Leaving == b.Leaving && a.Lapsed == b.Lapsed && a.Returned == b.Returned &&
		maps.Equal(a.Weights, b.Weights)
}

// sorted returns the entries in the order of their servers.
func sorted(entries []wasabiridge.BackendEntry) []wasabiridge.BackendEntry {
	order := func(a, b wasabiridge.BackendEntry) int { return cmp.Compare(a.Server.ID, b.Server.ID) }
	if slices.IsSortedFunc(entries, order) {
		return entries
	}
	out := slices.Clone(entries)
	slices.SortStableFunc(out, order)
	return out
}
