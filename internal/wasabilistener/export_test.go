package wasabilistener

// Stages returns how many connections of all ports are in each stage.
func (g *Guard) Stages() map[string]int {
	out := map[string]int{}
	for _, p := range g.all() {
		p.mu.Lock()
		for s := range p.ledger.queues {
			if n := p.ledger.queues[s].Len(); n > 0 {
				out[stage(s).String()] += n
			}
		}
		p.mu.Unlock()
	}
	return out
}
