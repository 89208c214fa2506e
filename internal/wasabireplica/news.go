package wasabireplica

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// newsMost bounds the news that waits to be told. When it is full the
	// oldest is dropped: the others then compute a part again at worst.
	newsMost = 1024
	// peerLife is how long the word of another instance on its load counts.
	peerLife = 1500 * wasabiridge.Millis(1)
)

// news is what the other instances have not been told yet.
type news struct {
	parts []wasabiridge.PartNews
}

func (n *news) add(p wasabiridge.PartNews) {
	if len(n.parts) >= newsMost {
		n.parts = n.parts[1:]
	}
	n.parts = append(n.parts, p)
}

// TakeNews returns what the other instances should be told, and forgets it.
// Loads of replicas to which nothing is sent are left out.
func (p *Placer) TakeNews(now wasabiridge.Millis) ([]wasabiridge.LoadNews, []wasabiridge.PartNews) {
	parts := p.news.parts
	p.news.parts = nil
	var loads []wasabiridge.LoadNews
	for id, r := range p.replicas {
		limit := r.takeLimitNews(now)
		if r.own == r.told && !limit.Known {
			continue
		}
		r.told = r.own
		loads = append(loads, wasabiridge.LoadNews{Backend: id, Inside: r.own.inside, Tokens: r.own.tokens, Limit: limit})
	}
	slices.SortFunc(loads, func(a, b wasabiridge.LoadNews) int { return compare(a.Backend, b.Backend) })
	return loads, parts
}

// peerLoad is what another instance has at a replica.
type peerLoad struct {
	occupation
	at wasabiridge.Millis
}

// peerPlaced takes what another instance has sent.
func (p *Placer) peerPlaced(now wasabiridge.Millis, e wasabiridge.PeerPlaced) {
	for _, l := range e.Loads {
		if r := p.replicas[l.Backend]; r != nil {
			r.peers[e.From] = peerLoad{occupation: occupation{inside: l.Inside, tokens: l.Tokens}, at: now}
			r.peerLimit(now, l.Limit)
		}
	}
	for _, part := range e.Parts {
		r := p.replicas[part.Backend]
		if r == nil || !r.live(now, part.Incarnation) {
			continue
		}
		if part.Ready {
			r.cache.use(part.Key, part.Tokens)
			r.cache.finish(part.Key)
			r.line.begun(now, func(w waitingPrompt) bool { return w.attempt == 0 && w.key == part.Key })
			continue
		}
		p.notePart(now, r, part)
		if part.Work > 0 {
			r.line.enter(now, waitingPrompt{key: part.Key, priority: part.Priority, left: float64(part.Work)})
		}
	}
}
