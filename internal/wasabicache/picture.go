package wasabicache

import "github.com/wasabiridge/wasabiridge"

// Defaults of Options.
const (
	// DefaultMaxLevels is 7/8 of 131072 slots, which take 5 MiB.
	DefaultMaxLevels = 114688
	// DefaultLifetime is the block lifetime assumed before any is learned.
	DefaultLifetime = 10 * wasabiridge.Second
	// DefaultSilence is how long an event may be overdue before its stream
	// stops vouching for entries.
	DefaultSilence = 2 * wasabiridge.Second
)

// Options holds the knobs of a Picture. The zero value works.
type Options struct {
	// MaxLevels bounds how many prefix levels are known. Zero means
	// DefaultMaxLevels.
	MaxLevels int
	// Lifetime is the block lifetime assumed at first. Zero means
	// DefaultLifetime.
	Lifetime wasabiridge.Millis
	// Silence is how long an event may be overdue before its stream stops
	// vouching for entries. Zero means DefaultSilence.
	Silence wasabiridge.Millis
}

// ServerIndex numbers the known model engines from zero, in the order in which
// they were first named.
type ServerIndex int32

// noServer marks a life that is over.
const noServer ServerIndex = -1

// server is what is known of one model engine over all its lives.
type server struct {
	id          wasabiridge.BackendServerID
	incarnation wasabiridge.Incarnation
	weights     wasabiridge.WeightsVersion
	life        uint16
	// lifetime is learned and outlives incarnations.
	lifetime float64
	// loss is the share of the engine's events that do not arrive, between 0
	// and 1.
	loss     float64
	sequence uint64
	// whole is since when no long gap was seen.
	whole wasabiridge.Millis
	// owed is since when an event is due. Zero means that none is.
	owed wasabiridge.Millis
	// held counts entries that name the current life.
	held int
	walk walk
}

// Picture is what is believed of all engines' caches. See the package comment.
type Picture struct {
	opts    Options
	table   table
	index   map[wasabiridge.BackendServerID]ServerIndex
	servers []server
	// lives maps the number of a life to its server. Number 0 is not used.
	lives []ServerIndex
	free  []uint16
	hits  []Hit
	round uint64
	seen  wasabiridge.Millis
}

// New returns an empty picture.
func New(o Options) *Picture {
	if o.MaxLevels <= 0 {
		o.MaxLevels = DefaultMaxLevels
	}
	if o.Lifetime <= 0 {
		o.Lifetime = DefaultLifetime
	}
	if o.Silence <= 0 {
		o.Silence = DefaultSilence
	}
	return &Picture{
		opts:  o,
		table: newTable(),
		index: make(map[wasabiridge.BackendServerID]ServerIndex),
		lives: []ServerIndex{noServer},
	}
}

// Server returns the number of an engine and makes one at the first call.
func (p *Picture) Server(id wasabiridge.BackendServerID) ServerIndex {
	if i, ok := p.index[id]; ok {
		return i
	}
	i := ServerIndex(len(p.servers))
	p.index[id] = i
	p.servers = append(p.servers, server{id: id, lifetime: float64(p.opts.Lifetime), loss: 1})
	p.beginLife(i)
	return i
}

// ID returns the name of an engine.
func (p *Picture) ID(s ServerIndex) wasabiridge.BackendServerID { return p.servers[s].id }

// Incarnation returns the engine's life that the picture is about. Zero means
// that it is not known.
func (p *Picture) Incarnation(s ServerIndex) wasabiridge.Incarnation { return p.servers[s].incarnation }

// Weights returns the version that the engine is known to serve. Zero means
// that it is not known.
func (p *Picture) Weights(s ServerIndex) wasabiridge.WeightsVersion { return p.servers[s].weights }

// Lifetime returns the block lifetime learned for the engine.
func (p *Picture) Lifetime(s ServerIndex) wasabiridge.Millis {
	return wasabiridge.Millis(p.servers[s].lifetime)
}

// Levels counts the prefix levels that are known.
func (p *Picture) Levels() int { return p.table.used }

// Touch tells that the engine holds the first n blocks of the chain.
func (p *Picture) Touch(now wasabiridge.Millis, s ServerIndex, c wasabiridge.Chain, n int) {
	for _, b := range c.Blocks[:min(n, len(c.Blocks))] {
		p.set(now, s, b, 0)
	}
}

// Ask tells that the engine is asked to compute the chain. Blocks that it was
// not known to hold count as held for choosing an engine, because whoever
// follows finds them there. They are not claimed before the engine has shown
// that it computed them: the request may never reach it.
func (p *Picture) Ask(now wasabiridge.Millis, s ServerIndex, c wasabiridge.Chain) {
	for _, b := range c.Blocks {
		p.set(now, s, b, pendingBit)
	}
}

// Forget tells that the engine does not hold the blocks from number n on.
func (p *Picture) Forget(s ServerIndex, c wasabiridge.Chain, n int) {
	for _, b := range c.Blocks[min(n, len(c.Blocks)):] {
		p.unset(s, b)
	}
}

func (p *Picture) set(now wasabiridge.Millis, s ServerIndex, b wasabiridge.BlockHash, flags holder) {
	sv := &p.servers[s]
	h := newHolder(sv.life, tickOf(now), flags)
	replaced := p.entry(now, b).set(h)
	if replaced.life() != h.life() {
		sv.held++
		p.released(replaced)
	}
}

// entry finds or adds the entry of a block. When the table is at its bound, an
// old entry is given up first.
func (p *Picture) entry(now wasabiridge.Millis, b wasabiridge.BlockHash) *entry {
	if e := p.table.find(b); e != nil {
		return e
	}
	if p.table.used >= p.opts.MaxLevels {
		slot := p.table.stale(tickOf(now))
		for _, h := range p.table.slots[slot].holders {
			p.released(h)
		}
		p.table.remove(slot)
	}
	return p.table.add(b, tickOf(now))
}

// released counts a holder that was taken out of an entry.
func (p *Picture) released(h holder) {
	if h.life() == 0 || p.lives[h.life()] == noServer {
		return
	}
	p.servers[p.lives[h.life()]].held--
}

func (p *Picture) unset(s ServerIndex, b wasabiridge.BlockHash) {
	sv := &p.servers[s]
	if e := p.table.find(b); e != nil && e.unset(sv.life) {
		sv.held--
	}
}

// sweepShare is the part of the table that one Tick visits. With a tick each
// 50 ms the whole table is visited within a minute.
const sweepShare = 1024

// Tick does a small part of the cleaning. Call it at least every 50 ms.
func (p *Picture) Tick(now wasabiridge.Millis) {
	// Ticks wrap. A process that was paused for long would take old entries
	// for fresh ones, so it begins with an empty picture.
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

func (p *Picture) sweep(now wasabiridge.Millis, slot int) {
	e := &p.table.slots[slot]
	if e.hash == 0 {
		return
	}
	p.dropDead(e)
	for i, h := range e.holders {
		if h.life() == 0 {
			continue
		}
		sv := &p.servers[p.lives[h.life()]]
		age := h.stamp().age(tickOf(now))
		switch {
		case age > wrap/4 && p.trust(now, sv, h) > believed:
			e.holders[i] = newHolder(h.life(), tickOf(now), h.flags())
		case p.trust(now, sv, h) < forgetTrust || age > wrap/3:
			e.holders[i] = 0
			sv.held--
		}
	}
	if e.empty() && e.heatAt.age(tickOf(now)) > coldAfter {
		p.table.remove(slot)
	}
}
