// Package wasabicache keeps a picture of what each model engine holds in its
// prefix cache.
//
// The picture is built from three sources: what this instance sent where,
// what answers say was reused, and the engines' cache events. None of them is
// complete, so every entry has a trust between 0 and 1:
//
//   - An entry that nothing has confirmed lately loses trust with its age, by
//     a block lifetime that is learned for each engine from answers and
//     evictions.
//   - While an engine's event stream arrives without gaps, an entry that was
//     not reported as evicted keeps its trust. A gap in the sequence numbers
//     lowers the trust in the stream, and a stream that falls silent stops
//     vouching for entries.
//
// # Lives
//
// An entry belongs to one life of an engine: one incarnation with one version
// of the weights. Entries name the life and not the engine, so that a new
// incarnation, new weights or a cleared cache drops the engine's whole
// picture at once, without visiting any entry. The number of a life is used
// again only after a scan has removed every entry that names it.
//
// # Claims
//
// A block that an engine was only asked to compute is held for choosing an
// engine and not for claims, because the request that computes it may never
// have reached the engine.
//
// # Memory
//
// Entries stand in one flat table of 40 bytes a slot with open addressing,
// filled to between 7/16 and 7/8. An entry names at most six holders; when a
// seventh comes, the one confirmed longest ago is forgotten. Options.MaxLevels
// bounds the table.
//
// # Usage
//
//	p := wasabicache.New(wasabicache.Options{})
//	s := p.Server("answer-1")
//	p.Reborn(now, s, 1, 7)
//	p.Touch(now, s, chain, len(chain.Blocks))
//	for _, hit := range p.Hits(now, chain) {
//		fmt.Println(p.ID(hit.Server), hit.Tokens)
//	}
//
// A Picture is deterministic and not safe for concurrent use.
package wasabicache
