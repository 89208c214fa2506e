package wasabicache

import "github.com/wasabiridge/wasabiridge"

// Defaults of Options.
const (
	// DefaultMaxBlocks is 7/8 of 131072 slots, which take 5 MiB.
	DefaultMaxBlocks = 114688
	// DefaultLifetime is the initial value of the learned block lifetime.
	DefaultLifetime = 10 * wasabiridge.Second
	// DefaultEventTimeout is the default of Options.EventTimeout.
	DefaultEventTimeout = 2 * wasabiridge.Second
)

// Options configures an Index. The zero value selects the defaults.
type Options struct {
	// MaxBlocks is the maximum number of blocks with an entry. Zero means
	// DefaultMaxBlocks.
	MaxBlocks int
	// Lifetime is the initial value of the learned block lifetime. Zero means
	// DefaultLifetime.
	Lifetime wasabiridge.Millis
	// EventTimeout is the time after which an expected event is overdue, so that the
	// stream is considered stopped and its lack of eviction events is ignored. Zero
	// means DefaultEventTimeout.
	EventTimeout wasabiridge.Millis
}

// ServerIndex is the index of a model engine. Engines are numbered from zero in the order
// of the first calls to Server.
type ServerIndex int32

// noServer marks an old generation.
const noServer ServerIndex = -1

// server is the state of one model engine over all its generations.
type server struct {
	id          wasabiridge.BackendServerID
	incarnation wasabiridge.Incarnation
	weights     wasabiridge.WeightsVersion
	generation  uint16
	// lifetime is the learned block lifetime in milliseconds. It is kept across
	// incarnations.
	lifetime float64
	// loss is the estimated rate of lost events of the engine's stream, between 0
	// and 1.
	loss     float64
	sequence uint64
	// lastLongGap is the time of the last long gap in the stream.
	lastLongGap wasabiridge.Millis
	// expectedSince is the time since which an event is expected. Zero means that none is.
	expectedSince wasabiridge.Millis
	// heldCount is the number of entries that refer to the current generation.
	heldCount int
	walk      walk
}

// Index is the estimate of all engines' caches. See the package comment. It is not safe
// for concurrent use.
type Index struct {
	opts    Options
	table   table
	index   map[wasabiridge.BackendServerID]ServerIndex
	servers []server
	// generations maps generation numbers to servers. Number 0 is not used.
	generations []ServerIndex
	free        []uint16
	hits        []Hit
	round       uint64
	seen        wasabiridge.Millis
}

// New returns an empty Index.
func New(o Options) *Index {
	if o.MaxBlocks <= 0 {
		o.MaxBlocks = DefaultMaxBlocks
	}
	if o.Lifetime <= 0 {
		o.Lifetime = DefaultLifetime
	}
	if o.EventTimeout <= 0 {
		o.EventTimeout = DefaultEventTimeout
	}
	return &Index{
		opts:        o,
		table:       newTable(),
		index:       make(map[wasabiridge.BackendServerID]ServerIndex),
		generations: []ServerIndex{noServer},
	}
}

// Server returns the index of an engine. The engine is added if it is not known.
func (p *Index) Server(id wasabiridge.BackendServerID) ServerIndex {
	if i, ok := p.index[id]; ok {
		return i
	}
	i := ServerIndex(len(p.servers))
	p.index[id] = i
	p.servers = append(p.servers, server{id: id, lifetime: float64(p.opts.Lifetime), loss: 1})
	p.startGeneration(i)
	return i
}

// ID returns the identifier of an engine.
func (p *Index) ID(s ServerIndex) wasabiridge.BackendServerID { return p.servers[s].id }

// Incarnation returns the latest known incarnation of the engine. Zero means that it is
// not known.
func (p *Index) Incarnation(s ServerIndex) wasabiridge.Incarnation { return p.servers[s].incarnation }

// Weights returns the version of the weights that the engine serves. Zero means that it is
// not known.
func (p *Index) Weights(s ServerIndex) wasabiridge.WeightsVersion { return p.servers[s].weights }

// Lifetime returns the block lifetime learned for the engine.
func (p *Index) Lifetime(s ServerIndex) wasabiridge.Millis {
	return wasabiridge.Millis(p.servers[s].lifetime)
}

// Len returns the number of blocks with an entry.
func (p *Index) Len() int { return p.table.used }

// MarkHeld records that the engine holds the first n blocks of the chain.
func (p *Index) MarkHeld(now wasabiridge.Millis, s ServerIndex, c wasabiridge.Chain, n int) {
	for _, b := range c.Blocks[:min(n, len(c.Blocks))] {
		p.set(now, s, b, 0)
	}
}

// MarkPending records that a request for the chain is sent to the engine. Blocks that
// the engine was not known to hold become pending. They count as held for the selection
// of an engine, because a later request will find them there. They do not count in
// Hit.ConfirmedDepth until the engine has been shown to hold them, because the request
// may never reach it.
func (p *Index) MarkPending(now wasabiridge.Millis, s ServerIndex, c wasabiridge.Chain) {
	for _, b := range c.Blocks {
		p.set(now, s, b, pendingBit)
	}
}

// MarkMissing records that the engine does not hold the blocks of the chain from index
// n on.
func (p *Index) MarkMissing(s ServerIndex, c wasabiridge.Chain, n int) {
	for _, b := range c.Blocks[min(n, len(c.Blocks)):] {
		p.unset(s, b)
	}
}

func (p *Index) set(now wasabiridge.Millis, s ServerIndex, b wasabiridge.BlockHash, flags holder) {
	sv := &p.servers[s]
	h := newHolder(sv.generation, tickOf(now), flags)
	replaced := p.entry(now, b).set(h)
	if replaced.generation() != h.generation() {
		sv.heldCount++
		p.released(replaced)
	}
}

// entry returns the entry of a block, which is added if necessary. If the number of
// entries has reached Options.MaxBlocks, an old entry is evicted first.
func (p *Index) entry(now wasabiridge.Millis, b wasabiridge.BlockHash) *entry {
	if e := p.table.find(b); e != nil {
		return e
	}
	if p.table.used >= p.opts.MaxBlocks {
		slot := p.table.stale(tickOf(now))
		for _, h := range p.table.slots[slot].holders {
			p.released(h)
		}
		p.table.remove(slot)
	}
	return p.table.add(b, tickOf(now))
}

// released updates the count of held blocks for a holder that was removed from an entry.
func (p *Index) released(h holder) {
	if h.generation() == 0 || p.generations[h.generation()] == noServer {
		return
	}
	p.servers[p.generations[h.generation()]].heldCount--
}

func (p *Index) unset(s ServerIndex, b wasabiridge.BlockHash) {
	sv := &p.servers[s]
	if e := p.table.find(b); e != nil && e.unset(sv.generation) {
		sv.heldCount--
	}
}

// sweepShare is the divisor for the part of the table that one Tick visits. With a tick
// every 50 ms the complete table is visited within a minute.
const sweepShare = 1024

// Tick removes outdated holders and entries from a small part of the table. Call it at
// least every 50 ms.
func (p *Index) Tick(now wasabiridge.Millis) {
	// Ticks wrap around. After a long pause of the process, old entries would
	// look recent, so all entries are dropped.
	if p.seen != 0 && now-p.seen > wrap/2 {
		p.table = newTable()
		for s := range p.servers {
			p.Clear(ServerIndex(s))
		}
	}
	p.seen = now
	for range len(p.table.slots)/sweepShare + 1 {
		p.table.hand = (p.table.hand + 1) & (len(p.table.slots) - 1)
		p.sweep(now, p.table.hand)
	}
}

func (p *Index) sweep(now wasabiridge.Millis, slot int) {
	e := &p.table.slots[slot]
	if e.hash == 0 {
		return
	}
	p.removeOldHolders(e)
	for i, h := range e.holders {
		if h.generation() == 0 {
			continue
		}
		sv := &p.servers[p.generations[h.generation()]]
		age := h.stamp().age(tickOf(now))
		switch {
		case age > wrap/4 && p.heldProbability(now, sv, h) > heldThreshold:
			e.holders[i] = newHolder(h.generation(), tickOf(now), h.flags())
		case p.heldProbability(now, sv, h) < minHeldProbability || age > wrap/3:
			e.holders[i] = 0
			sv.heldCount--
		}
	}
	if e.empty() && e.countedAt.age(tickOf(now)) > unusedAfter {
		p.table.remove(slot)
	}
}
