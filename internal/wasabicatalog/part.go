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
	// packed is the content as it goes to others.
	packed []byte
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
		out.Content = p.packed
	}
	return out
}
