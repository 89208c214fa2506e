package wasabicatalog

import "github.com/wasabiridge/wasabiridge"

// The names of the parts in logs and metrics.
const (
	configPart   = "config"
	backendsPart = "backends"
)

// part is the configuration or the list of backend servers, with its confirmation time.
type part struct {
	revision uint64
	digest   uint64
	// confirmedAt is when the platform read was sent that last confirmed the content.
	// known reports that there was one.
	confirmedAt wasabiridge.Millis
	known       bool
	// content is the known content; compressed is its form for instances without a
	// base, created by the first query that needs it.
	content, compressed []byte
	// bases are earlier contents, the newest last, and deltas the changes since, by
	// digest of the base.
	bases  []base
	deltas map[uint64][]byte
	// reading reports that a read is in flight; nextRead is the earliest time of the
	// next one.
	reading  bool
	nextRead wasabiridge.Millis
	failures int
}

// age returns the time since the content was last confirmed.
func (p *part) age(now wasabiridge.Millis) wasabiridge.Millis {
	if !p.known {
		return wasabiridge.Day
	}
	return now - p.confirmedAt
}

// readEnded records the end of a read. Failed reads are retried with growing delays.
func (p *part) readEnded(now wasabiridge.Millis, err error) {
	p.reading = false
	if err == nil {
		p.failures, p.nextRead = 0, 0
		return
	}
	p.failures++
	p.nextRead = now + min(maxRetryDelay, retryDelay*wasabiridge.Millis(p.failures))
}

func (p *part) answer(now wasabiridge.Millis, has uint64) wasabiridge.CatalogPart {
	if !p.known {
		return wasabiridge.CatalogPart{Age: -1}
	}
	// Rounding the age down would make the content seem more recently confirmed than it
	// is.
	out := wasabiridge.CatalogPart{Revision: p.revision, Digest: p.digest, Age: max(0, now-p.confirmedAt) + 1}
	if has != p.digest {
		out.Content = p.compressedFor(has)
	}
	return out
}

// compressedFor returns the content for an instance whose content has the given digest,
// or nil when it cannot be compressed.
func (p *part) compressedFor(has uint64) []byte {
	for _, b := range p.bases {
		if b.digest != has || dictionaryID(has) == 0 {
			continue
		}
		if p.deltas[has] == nil {
			delta, err := compressDelta(p.content, b)
			if err != nil {
				break
			}
			p.deltas[has] = delta
		}
		return p.deltas[has]
	}
	if p.compressed == nil {
		var err error
		if p.compressed, err = compress(p.content); err != nil {
			return nil
		}
	}
	return p.compressed
}

// decompress decompresses received content, which may be a delta.
func (p *part) decompress(compressed []byte) ([]byte, error) {
	if !isDelta(compressed) {
		return decompress(compressed)
	}
	return decompressDelta(compressed, append([]base{{digest: p.digest, content: p.content}}, p.bases...))
}

// replace replaces the content and keeps the previous one as a base for deltas.
func (p *part) replace(next part) {
	bases := p.bases
	if p.known {
		bases = append(bases, base{digest: p.digest, content: p.content})
	}
	size := 0
	for i := len(bases) - 1; i >= 0; i-- {
		if size += len(bases[i].content); size > maxBaseBytes || len(bases)-i > maxBases {
			bases = bases[i+1:]
			break
		}
	}
	next.bases, next.deltas = append([]base(nil), bases...), map[uint64][]byte{}
	next.known, next.reading, next.nextRead, next.failures = true, p.reading, p.nextRead, p.failures
	*p = next
}
