package wasabishare

import (
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// keptFraction is the part of the average served fraction that every rank keeps, however
// much more urgent ranks ask for.
const keptFraction = 0.28

// rank is the requests of one priority for a pool, at all instances.
type rank struct {
	priority          wasabiridge.Priority
	offered, admitted float64
	// allocation is the work per second that the rank gets.
	allocation float64
	// level is the limit of an account of weight one. It is set if limited.
	level   float64
	limited bool
	// claims are the demands of the accounts, served is what is not limited.
	claims []claim
	served float64
}

// allocate divides a capacity among ranks, which are ordered by urgency. The most urgent
// gets what it asks for, but what the others keep.
func allocate(ranks []rank, capacity float64) {
	demand := 0.0
	for _, r := range ranks {
		demand += r.offered
	}
	if demand <= capacity {
		for i := range ranks {
			ranks[i].allocation = ranks[i].offered
		}
		return
	}
	kept := keptFraction * capacity / demand
	left := capacity * (1 - keptFraction)
	for i := range ranks {
		more := min(left, (1-kept)*ranks[i].offered)
		ranks[i].allocation = kept*ranks[i].offered + more
		left -= more
	}
}

// claim is the demand of a number of equal accounts.
type claim struct {
	demand, weight, count float64
}

// fillLevel returns the level up to which accounts are served when the allocation is
// divided max-min fairly. The result is false when all get what they ask for.
func fillLevel(claims []claim, allocation float64) (level float64, limited bool) {
	slices.SortFunc(claims, func(a, b claim) int {
		switch x, y := a.demand*b.weight, b.demand*a.weight; {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
	weight := 0.0
	for _, c := range claims {
		weight += c.count * c.weight
	}
	for _, c := range claims {
		if c.demand/c.weight*weight > allocation {
			return max(0, allocation) / weight, true
		}
		allocation -= c.count * c.demand
		weight -= c.count * c.weight
	}
	return 0, false
}
