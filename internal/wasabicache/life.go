package wasabicache

import "github.com/wasabiridge/wasabiridge"

// Reborn tells which incarnation and weights answer now. A later incarnation
// or other weights drop the engine's whole picture. It reports false when the
// news is of an earlier incarnation and must not be used. Zero values are not
// news.
func (p *Picture) Reborn(s ServerIndex, i wasabiridge.Incarnation, w wasabiridge.WeightsVersion) bool {
	sv := &p.servers[s]
	if i != 0 && i < sv.incarnation {
		return false
	}
	newLife := i != 0 && sv.incarnation != 0 && i > sv.incarnation
	newWeights := w != 0 && sv.weights != 0 && w != sv.weights
	if i != 0 {
		sv.incarnation = i
	}
	if w != 0 {
		sv.weights = w
	}
	if newLife || newWeights {
		p.Clear(s)
	}
	if newLife {
		sv.sequence = 0
		sv.loss = 1
	}
	return true
}

// Clear drops the engine's whole picture at once.
func (p *Picture) Clear(s ServerIndex) {
	p.lives[p.servers[s].life] = noServer
	p.beginLife(s)
}

// maxLives bounds the numbers of lives, which have 16 bits.
const maxLives = 1 << 16

func (p *Picture) beginLife(s ServerIndex) {
	sv := &p.servers[s]
	sv.held = 0
	sv.owed = 0
	sv.life = p.takeLife()
	p.lives[sv.life] = s
}

func (p *Picture) takeLife() uint16 {
	if len(p.free) == 0 && len(p.lives) >= maxLives {
		p.reclaim()
	}
	if n := len(p.free); n > 0 {
		life := p.free[n-1]
		p.free = p.free[:n-1]
		return life
	}
	p.lives = append(p.lives, noServer)
	return uint16(len(p.lives) - 1)
}

// reclaim removes every entry of every life that is over and frees the
// numbers. A number that was used again while an entry still named it would
// claim blocks of an earlier incarnation to another engine; the scan of the
// whole table rules that out.
func (p *Picture) reclaim() {
	for i := range p.table.slots {
		p.dropDead(&p.table.slots[i])
	}
	for life := len(p.lives) - 1; life > 0; life-- {
		if p.lives[life] == noServer {
			p.free = append(p.free, uint16(life))
		}
	}
}

func (p *Picture) dropDead(e *entry) {
	for i, h := range e.holders {
		if h.life() != 0 && p.lives[h.life()] == noServer {
			e.holders[i] = 0
		}
	}
}
