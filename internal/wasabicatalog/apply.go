package wasabicatalog

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// confirm records that the known content is still valid.
func (m *Machine) confirm(p *part, revision uint64, confirmedAt wasabiridge.Millis) {
	p.revision, p.confirmedAt = revision, max(p.confirmedAt, confirmedAt)
	m.emit(Confirmed{})
}

// replace replaces the content of a part.
func (m *Machine) replace(p *part, next part, own bool) {
	p.replace(next)
	m.emit(Changed{FromPlatform: own, Config: p == &m.config})
}

// applyRead applies content that this instance read from the platform. It reports
// whether the content is new.
func (m *Machine) applyRead(p *part, revision uint64, sent wasabiridge.Millis, content []byte) bool {
	digest := xxhash.Sum64(content)
	if p.known && digest == p.digest {
		m.confirm(p, revision, sent)
		return false
	}
	m.replace(p, part{revision: revision, digest: digest, confirmedAt: sent, content: content}, true)
	return true
}

// newContent returns the content of a response that differs from the known one, or nil.
func (p *part) newContent(a wasabiridge.CatalogPart) []byte {
	if a.Age < 0 || len(a.Content) == 0 || p.known && a.Digest == p.digest {
		return nil
	}
	content, err := p.decompress(a.Content)
	if err != nil || xxhash.Sum64(content) != a.Digest {
		return nil
	}
	return content
}

// applyPeerConfig applies the configuration in the response of another instance.
func (m *Machine) applyPeerConfig(now wasabiridge.Millis, e PeerResponded) {
	a, p := e.Answer.Config, &m.config
	confirmedAt := e.Sent - a.Age
	older := p.known && a.Revision < p.revision
	if p.known && a.Digest == p.digest {
		if !older && a.Age >= 0 && confirmedAt > p.confirmedAt && m.peerConfirms(a, confirmedAt, m.snapshot) {
			m.confirm(p, a.Revision, confirmedAt)
		}
		return
	}
	if older && wasabiridge.EpochOf(a.Revision) == wasabiridge.EpochOf(p.revision) {
		return
	}
	content := p.newContent(a)
	if content == nil {
		return
	}
	var s wasabiridge.ConfigSnapshot
	if json.Unmarshal(content, &s) != nil {
		return
	}
	s.Revision = a.Revision
	if older {
		m.applyEarlierEpoch(now, s, confirmedAt)
		return
	}
	if m.isRegression(s) {
		return
	}
	if !m.peerConfirms(a, confirmedAt, s) {
		confirmedAt = p.confirmedAt
	}
	merged, kept := withNewer(s, m.snapshot)
	if !kept {
		m.snapshot = s
		m.replace(p, part{revision: a.Revision, digest: a.Digest, confirmedAt: confirmedAt, content: content}, false)
		return
	}
	m.applyMerged(merged, confirmedAt)
}

// peerConfirms reports whether the confirmation of a snapshot by another instance counts
// here. One from an earlier epoch was made before the store was restored.
func (m *Machine) peerConfirms(a wasabiridge.CatalogPart, confirmedAt wasabiridge.Millis, s wasabiridge.ConfigSnapshot) bool {
	return wasabiridge.EpochOf(a.Revision) < m.epoch || m.confirmsConfig(confirmedAt, s)
}

// applyEarlierEpoch takes what an instance that has not read since the store was restored
// knows to be newer than the copy. The copy has then confirmed nothing.
func (m *Machine) applyEarlierEpoch(now wasabiridge.Millis, s wasabiridge.ConfigSnapshot, confirmedAt wasabiridge.Millis) {
	merged, newer := withNewer(m.snapshot, s)
	if !newer {
		return
	}
	if merged.Config.Version > m.snapshot.Config.Version {
		m.restored, m.epochSince = true, now
		m.config.confirmedAt = min(m.config.confirmedAt, confirmedAt)
	}
	merged.Revision = m.snapshot.Revision
	m.applyMerged(merged, m.config.confirmedAt)
}

// applyMerged applies a snapshot with parts from two sources.
func (m *Machine) applyMerged(s wasabiridge.ConfigSnapshot, confirmedAt wasabiridge.Millis) {
	content, err := encodeConfig(s)
	if err != nil {
		return
	}
	p, digest := &m.config, xxhash.Sum64(content)
	if digest == p.digest {
		m.confirm(p, s.Revision, confirmedAt)
		return
	}
	m.snapshot = s
	m.replace(p, part{revision: s.Revision, digest: digest, confirmedAt: confirmedAt, content: content}, false)
}

// applyPeerBackends applies the list of backend servers in the response of another
// instance.
func (m *Machine) applyPeerBackends(now wasabiridge.Millis, e PeerResponded) {
	a, p := e.Answer.Backends, &m.backends
	confirmedAt := e.Sent - a.Age
	if a.Age < 0 || p.known && a.Revision < p.revision {
		return
	}
	if p.known && a.Digest == p.digest {
		if confirmedAt > p.confirmedAt {
			m.confirm(p, a.Revision, confirmedAt)
		}
		return
	}
	if len(a.Content) == 0 {
		return
	}
	known := m.list.Entries
	if m.partial {
		known = nil
	}
	list, err := decodeBackends(a.Content, p.digest, known)
	if err != nil || list.digest != a.Digest {
		return
	}
	if list.change != nil && len(m.departures) == 0 && !list.change.hasDepartures() {
		m.replaceList(wasabiridge.BackendSnapshot{Revision: a.Revision, Entries: list.entries}, list, confirmedAt, false)
		return
	}
	if marked, changed := m.withDepartures(now, list.entries); changed {
		list = decodedList{entries: marked, digest: digestOf(marked)}
	}
	if p.known && list.digest == p.digest {
		m.confirm(p, a.Revision, confirmedAt)
		return
	}
	m.replaceList(wasabiridge.BackendSnapshot{Revision: a.Revision, Entries: list.entries}, list, confirmedAt, false)
}
