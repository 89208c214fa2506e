package wasabicache

import "github.com/wasabiridge/wasabiridge"

// UpdateIncarnation updates the incarnation and weights of an engine. A later
// incarnation or other weights drop all entries of the engine. It returns false if i is
// an earlier incarnation; the information that came with it must not be used then. Zero
// values are ignored.
func (p *Index) UpdateIncarnation(s ServerIndex, i wasabiridge.Incarnation, w wasabiridge.WeightsVersion) bool {
	sv := &p.servers[s]
	if i != 0 && i < sv.incarnation {
		return false
	}
	restarted := i != 0 && sv.incarnation != 0 && i > sv.incarnation
	newWeights := w != 0 && sv.weights != 0 && w != sv.weights
	if i != 0 {
		sv.incarnation = i
	}
	if w != 0 {
		sv.weights = w
	}
	if restarted || newWeights {
		p.Clear(s)
	}
	if restarted {
		sv.sequence = 0
		sv.loss = 1
	}
	return true
}

// Clear drops all entries of the engine, by starting a new generation.
func (p *Index) Clear(s ServerIndex) {
	p.generations[p.servers[s].generation] = noServer
	p.startGeneration(s)
}

// maxGenerations is the number of possible generation numbers, which have 16 bits.
const maxGenerations = 1 << 16

func (p *Index) startGeneration(s ServerIndex) {
	sv := &p.servers[s]
	sv.heldCount = 0
	sv.expectedSince = 0
	sv.generation = p.allocateGeneration()
	p.generations[sv.generation] = s
}

func (p *Index) allocateGeneration() uint16 {
	if len(p.free) == 0 && len(p.generations) >= maxGenerations {
		p.reclaim()
	}
	if n := len(p.free); n > 0 {
		generation := p.free[n-1]
		p.free = p.free[:n-1]
		return generation
	}
	p.generations = append(p.generations, noServer)
	return uint16(len(p.generations) - 1)
}

// reclaim removes all entries of old generations and frees their numbers. It scans the
// complete table, because if a number were reused while an entry still refers to it, the
// block of an earlier generation would be attributed to another engine.
func (p *Index) reclaim() {
	for i := range p.table.slots {
		p.removeOldHolders(&p.table.slots[i])
	}
	for generation := len(p.generations) - 1; generation > 0; generation-- {
		if p.generations[generation] == noServer {
			p.free = append(p.free, uint16(generation))
		}
	}
}

func (p *Index) removeOldHolders(e *entry) {
	for i, h := range e.holders {
		if h.generation() != 0 && p.generations[h.generation()] == noServer {
			e.holders[i] = 0
		}
	}
}
