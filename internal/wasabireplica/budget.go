package wasabireplica

import (
	"github.com/wasabiridge/wasabiridge"
)

// budgetSlices is into how many parts the window of a budget is cut.
const budgetSlices = 20

// budget bounds further attempts to a part of the requests of a sliding
// window. Counting in slices keeps it small; the oldest slice of requests is
// left out and the oldest of retries counted in, so that no window of the full
// length ever holds more than is allowed.
type budget struct {
	requests, retries [budgetSlices + 1]int
	slice             int64
}

// move drops the slices that have left the window.
func (b *budget) move(now, window wasabiridge.Millis) int {
	slice := int64(now) * budgetSlices / int64(window)
	for steps := 0; b.slice < slice && steps <= budgetSlices; steps++ {
		b.slice++
		i := int(b.slice % (budgetSlices + 1))
		b.requests[i], b.retries[i] = 0, 0
	}
	b.slice = slice
	return int(slice % (budgetSlices + 1))
}

func (b *budget) request(now, window wasabiridge.Millis) {
	b.requests[b.move(now, window)]++
}

func (b *budget) spend(now, window wasabiridge.Millis, ratio, slack float64) bool {
	at := b.move(now, window)
	requests, retries := 0, 0
	for i := range b.requests {
		retries += b.retries[i]
		if i != (at+1)%(budgetSlices+1) {
			requests += b.requests[i]
		}
	}
	if float64(retries+1) > ratio*float64(requests)+slack {
		return false
	}
	b.retries[at]++
	return true
}

// retryCounts counts what the budget of a pool was asked for.
type retryCounts struct{ granted, denied int }

func (c *retryCounts) count(granted bool) {
	if granted {
		c.granted++
		return
	}
	c.denied++
}

// Retries is what became of further attempts at a pool since the process began.
type Retries struct {
	Pool            wasabiridge.PoolID
	Granted, Denied int
	// Instances is how many instances are believed to share the budget.
	Instances int
}

// Retries returns the further attempts of all pools.
func (p *Placer) Retries() []Retries {
	var out []Retries
	for id, pl := range p.pools {
		out = append(out, Retries{Pool: id, Granted: pl.retries.granted, Denied: pl.retries.denied, Instances: p.instances})
	}
	return out
}
