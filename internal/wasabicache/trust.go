package wasabicache

import (
	"math"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// forgetTrust is the trust below which a holder is removed.
	forgetTrust = 0.01
	// believed is the trust from which a block counts as held.
	believed = 0.5
	// leastLoss is the share of events that counts as missing even in a
	// stream without gaps, because events are late.
	leastLoss = 0.002
	// learnRate is the step by which one observation moves the lifetime.
	learnRate = 0.15
	// minLifetime and maxLifetime bound the learned lifetime.
	minLifetime = float64(wasabiridge.Second / 2)
	maxLifetime = float64(20 * wasabiridge.Minute)
	// contradicted is how many lost events an answer counts for that lacks
	// blocks for which the stream vouched.
	contradicted = 5
)

// decay is the share of blocks that survive to the age: half at one lifetime,
// and quickly fewer after it, as in a cache that evicts what was used least
// recently.
func decay(age wasabiridge.Millis, lifetime float64) float64 {
	r := float64(age) / lifetime
	r *= r
	return 1 / (1 + r*r)
}

// trust is the chance that the holder still has the block. Age alone says
// that it survived with the chance that decay gives. When the engine's stream
// reported no eviction, the block either survived, or was evicted and the
// report was lost; the chance of the first follows by Bayes' rule. That holds
// for blocks that were never reported as stored, too: after a restart of the
// router these are most of what the engine holds.
func (p *Picture) trust(now wasabiridge.Millis, sv *server, h holder) float64 {
	age := h.stamp().age(tickOf(now))
	survived := decay(age, sv.lifetime)
	if h.pending() || p.silent(now, sv) || now-age < sv.whole {
		return survived
	}
	return survived / (survived + (1-survived)*max(sv.loss, leastLoss))
}

// silent reports whether an event is overdue. A stream that stopped reports no
// evictions, so it cannot vouch for entries.
func (p *Picture) silent(now wasabiridge.Millis, sv *server) bool {
	return sv.owed != 0 && now-sv.owed > p.opts.Silence
}

// Expect tells that the engine computed blocks that were not cached, so that
// an event of its stream is due.
func (p *Picture) Expect(now wasabiridge.Millis, s ServerIndex) {
	if sv := &p.servers[s]; sv.owed == 0 {
		sv.owed = now
	}
}

// Trust returns how far the engine's event stream is believed, between 0 and
// 1. It is 0 when the stream is silent.
func (p *Picture) Trust(now wasabiridge.Millis, s ServerIndex) float64 {
	sv := &p.servers[s]
	if p.silent(now, sv) {
		return 0
	}
	return 1 - sv.loss
}

// learn moves the lifetime by one observation: a block of the given age was
// still there, or was not. It is one step of a logistic regression on the
// logarithm of the lifetime.
func (sv *server) learn(age wasabiridge.Millis, kept bool) {
	expected, got := decay(age, sv.lifetime), 0.0
	if kept {
		got = 1
	}
	sv.setLifetime(sv.lifetime * math.Exp(learnRate*(got-expected)))
}

// lived moves the lifetime towards the age at which a block was evicted.
func (sv *server) lived(age wasabiridge.Millis) {
	sv.setLifetime(sv.lifetime * math.Pow(max(float64(age), minLifetime)/sv.lifetime, learnRate))
}

func (sv *server) setLifetime(l float64) {
	sv.lifetime = min(max(l, minLifetime), maxLifetime)
}

// Answered tells that the engine found the first n blocks of the chain in its
// cache when it computed the prompt at the given time. Blocks that were not
// found lower the trust; blocks that were found raise it.
func (p *Picture) Answered(at wasabiridge.Millis, s ServerIndex, before Before, n int) {
	sv := &p.servers[s]
	if before.depth == 0 || before.life != sv.life {
		return
	}
	kept := n >= before.depth
	sv.learn(before.age, kept)
	if !before.pending && !kept && !p.silent(at, sv) {
		sv.lost(contradicted)
	}
}

// Before is what was believed of a chain at an engine before an attempt was
// sent there. The answer is compared with it.
type Before struct {
	life    uint16
	depth   int
	age     wasabiridge.Millis
	pending bool
}

// Alive reports whether the engine still is in the life in which b was taken.
func (p *Picture) Alive(s ServerIndex, b Before) bool { return b.life == p.servers[s].life }

// Depth is how many leading blocks were believed to be held.
func (b Before) Depth() int { return b.depth }

// Believe returns what is believed of the chain at the engine now. Call it
// before Touch.
func (p *Picture) Believe(now wasabiridge.Millis, s ServerIndex, c wasabiridge.Chain) Before {
	sv := &p.servers[s]
	b := Before{life: sv.life}
	for i, block := range c.Blocks {
		e := p.table.find(block)
		if e == nil {
			return b
		}
		h, ok := e.holder(sv.life)
		if !ok || p.trust(now, sv, h) < believed {
			return b
		}
		b.depth = i + 1
		b.age = h.stamp().age(tickOf(now))
		b.pending = h.pending()
	}
	return b
}
