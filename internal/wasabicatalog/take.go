package wasabicatalog

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
)

// prove takes that known content is still true.
func (m *Machine) prove(p *part, revision uint64, proven wasabiridge.Millis) {
	p.revision, p.proven = revision, max(p.proven, proven)
	m.emit(Proven{})
}

// change takes new content with its proof.
func (m *Machine) change(p *part, next part, own bool) {
	p.succeed(next)
	m.emit(Changed{FromPlatform: own, Config: p == &m.config})
}

// read takes content that this instance read from the platform. It reports
// whether it is new.
func (m *Machine) read(p *part, revision uint64, sent wasabiridge.Millis, content []byte) bool {
	digest := xxhash.Sum64(content)
	if p.known && digest == p.digest {
		m.prove(p, revision, sent)
		return false
	}
	m.change(p, part{revision: revision, digest: digest, proven: sent, content: content}, true)
	return true
}

// take takes what another instance answered. It returns new content, or nil.
func (m *Machine) take(p *part, a wasabiridge.CatalogPart, sent wasabiridge.Millis) []byte {
	if !p.fits(a, sent) {
		return nil
	}
	if p.known && a.Digest == p.digest {
		m.prove(p, a.Revision, sent-a.Age)
		return nil
	}
	content, err := p.unpack(a.Content)
	if err != nil || xxhash.Sum64(content) != a.Digest {
		return nil
	}
	return content
}

// answeredPart is the part that an answer makes of what is known.
func answeredPart(a wasabiridge.CatalogPart, sent wasabiridge.Millis, content []byte) part {
	return part{revision: a.Revision, digest: a.Digest, proven: sent - a.Age, content: content}
}

func (m *Machine) takeConfig(e PeerAnswered) {
	a := e.Answer.Config
	content := m.take(&m.config, a, e.Sent)
	if content == nil {
		return
	}
	var s wasabiridge.ConfigSnapshot
	if err := json.Unmarshal(content, &s); err != nil || s.Config.Version < m.snapshot.Config.Version {
		return
	}
	s.Revision = a.Revision
	m.snapshot = s
	m.change(&m.config, answeredPart(a, e.Sent, content), false)
}

func (m *Machine) takeBackends(e PeerAnswered) {
	a := e.Answer.Backends
	content := m.take(&m.backends, a, e.Sent)
	if content == nil {
		return
	}
	s := wasabiridge.BackendSnapshot{Revision: a.Revision}
	if err := json.Unmarshal(content, &s.Entries); err != nil {
		return
	}
	m.list = s
	m.change(&m.backends, answeredPart(a, e.Sent, content), false)
}
