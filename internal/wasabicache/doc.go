// Package wasabicache estimates which blocks each model engine holds in its prefix
// cache.
//
// The estimate is based on three sources: the requests that this instance sent to
// each engine, the numbers of cached tokens in the answers, and the engines' cache
// events. None of them is complete, so each entry has a probability between 0 and 1
// that the engine still holds the block:
//
//   - The probability of an entry decreases with the time since it was last
//     confirmed, by a block lifetime that is learned for each engine from answers
//     and evictions.
//   - While the event stream of an engine arrives without gaps, an entry that was
//     not reported as evicted keeps a high probability. A gap in the sequence numbers
//     lowers the reliability of the stream. A stream with an overdue event is not
//     taken into account.
//
// # Generations
//
// An entry refers to a generation of an engine's cache. An engine gets a new generation
// when it has a new incarnation, loads other weights or clears its cache. This drops all
// entries of the engine at once, without visiting them. The number of an old generation
// is reused only after a scan has removed every entry that refers to it.
//
// # Pending blocks
//
// A block that an engine has been sent a request for, but has not been shown to hold,
// is pending. Pending blocks count for the selection of an engine, but not for the number
// of prompt tokens that are reported as expected to be cached, because the request may
// never have reached the engine.
//
// # Memory
//
// The entries are stored in a hash table with open addressing and 40 bytes per slot. After
// it has grown, the table is between 7/16 and 7/8 full. An entry has at most six
// holders; a seventh replaces the one that was confirmed the longest time ago.
// Options.MaxBlocks limits the number of entries.
//
// # Usage
//
//	p := wasabicache.New(wasabicache.Options{})
//	s := p.Server("answer-1")
//	p.UpdateIncarnation(s, 1, 7)
//	p.MarkHeld(now, s, chain, len(chain.Blocks))
//	for _, hit := range p.Hits(now, chain) {
//		fmt.Println(p.ID(hit.Server), hit.Tokens)
//	}
//
// An Index is deterministic and not safe for concurrent use.
package wasabicache
