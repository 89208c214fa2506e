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

// applyAnswer applies the response of another instance. It returns new content, or nil.
func (m *Machine) applyAnswer(p *part, a wasabiridge.CatalogPart, sent wasabiridge.Millis) []byte {
	if !p.improves(a, sent) {
		return nil
	}
	if p.known && a.Digest == p.digest {
		m.confirm(p, a.Revision, sent-a.Age)
		return nil
	}
	content, err := p.decompress(a.Content)
	if err != nil || xxhash.Sum64(content) != a.Digest {
		return nil
	}
	return content
}

// partOf returns the part for new content from a response.
func partOf(a wasabiridge.CatalogPart, sent wasabiridge.Millis, content []byte) part {
	return part{revision: a.Revision, digest: a.Digest, confirmedAt: sent - a.Age, content: content}
}

func (m *Machine) applyPeerConfig(e PeerResponded) {
	a := e.Answer.Config
	content := m.applyAnswer(&m.config, a, e.Sent)
	if content == nil {
		return
	}
	var s wasabiridge.ConfigSnapshot
	if err := json.Unmarshal(content, &s); err != nil || s.Config.Version < m.snapshot.Config.Version {
		return
	}
	s.Revision = a.Revision
	m.snapshot = s
	m.replace(&m.config, partOf(a, e.Sent, content), false)
}

func (m *Machine) applyPeerBackends(e PeerResponded) {
	a := e.Answer.Backends
	content := m.applyAnswer(&m.backends, a, e.Sent)
	if content == nil {
		return
	}
	s := wasabiridge.BackendSnapshot{Revision: a.Revision}
	if err := json.Unmarshal(content, &s.Entries); err != nil {
		return
	}
	m.list = s
	m.replace(&m.backends, partOf(a, e.Sent, content), false)
}
