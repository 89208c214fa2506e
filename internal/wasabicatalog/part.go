package wasabicatalog

import "github.com/wasabiridge/wasabiridge"

// part is one snapshot with its proof.
type part struct {
	revision uint64
	digest   uint64
	// proven is when the read was sent that proved it. known says that there
	// was one.
	proven wasabiridge.Millis
	known  bool
	// content is what is known, packed the same as it goes to others who know
	// nothing, made when somebody asks.
	content, packed []byte
	// bases are earlier contents, the newest last, and deltas what has changed since
	// by their digests.
	bases  []base
	deltas map[uint64][]byte
	// reading says that a read is under way, nextRead when the next may begin.
	reading  bool
	nextRead wasabiridge.Millis
	failures int
}

// age returns how old the proof is.
func (p *part) age(now wasabiridge.Millis) wasabiridge.Millis {
	if !p.known {
		return wasabiridge.Day
	}
	return now - p.proven
}

// readEnded notes the end of a read. Failed ones are repeated at a growing
// pace.
func (p *part) readEnded(now wasabiridge.Millis, err error) {
	p.reading = false
	if err == nil {
		p.failures, p.nextRead = 0, 0
		return
	}
	p.failures++
	p.nextRead = now + min(retryMost, retryPause*wasabiridge.Millis(p.failures))
}

// fits reports whether an answered part says more than what is known.
func (p *part) fits(a wasabiridge.CatalogPart, sent wasabiridge.Millis) bool {
	switch {
	case a.Age < 0, a.Revision < p.revision && p.known:
		return false
	case a.Digest == p.digest && p.known:
		return sent-a.Age > p.proven
	}
	return len(a.Content) > 0
}

func (p *part) answer(now wasabiridge.Millis, has uint64) wasabiridge.CatalogPart {
	if !p.known {
		return wasabiridge.CatalogPart{Age: -1}
	}
	// An age that is rounded down would make the proof younger than it is.
	out := wasabiridge.CatalogPart{Revision: p.revision, Digest: p.digest, Age: max(0, now-p.proven) + 1}
	if has != p.digest {
		out.Content = p.packedFor(has)
	}
	return out
}

// packedFor returns the content for somebody who has that of a digest, or nothing
// when it cannot be packed.
func (p *part) packedFor(has uint64) []byte {
	for _, b := range p.bases {
		if b.digest != has || dictionaryOf(has) == 0 {
			continue
		}
		if p.deltas[has] == nil {
			delta, err := packDelta(p.content, b)
			if err != nil {
				break
			}
			p.deltas[has] = delta
		}
		return p.deltas[has]
	}
	if p.packed == nil {
		var err error
		if p.packed, err = pack(p.content); err != nil {
			return nil
		}
	}
	return p.packed
}

// unpack returns what packed content is, which may be a delta.
func (p *part) unpack(packed []byte) ([]byte, error) {
	if !isDelta(packed) {
		return unpack(packed)
	}
	return unpackDelta(packed, append([]base{{digest: p.digest, content: p.content}}, p.bases...))
}

// succeed takes new content and keeps the one before for deltas.
func (p *part) succeed(next part) {
	bases := p.bases
	if p.known {
		bases = append(bases, base{digest: p.digest, content: p.content})
	}
	size := 0
	for i := len(bases) - 1; i >= 0; i-- {
		if size += len(bases[i].content); size > baseBytes || len(bases)-i > basesKept {
			bases = bases[i+1:]
			break
		}
	}
	next.bases, next.deltas = append([]base(nil), bases...), map[uint64][]byte{}
	next.known, next.reading, next.nextRead, next.failures = true, p.reading, p.nextRead, p.failures
	*p = next
}
