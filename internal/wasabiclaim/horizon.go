package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// horizon is a time that has passed by the clocks of at least two instances. It is
// computed from the write times in claim rows.
//
// Without it an instance whose clock jumped ahead would delete rows before their
// retention ends, and one whose clock jumped back would write rows whose retention
// ends too early; in both cases a late repeat would run a second time. The second
// highest write time, counting one per writer, cannot be moved by a single
// instance.
type horizon struct {
	// first is the highest write time and firstBy its writer, second the highest of
	// all other writers.
	first, second wasabiridge.Millis
	firstBy       wasabiridge.InstanceID
	// agreed is the highest time received in messages of other instances. It only
	// raises the time of new rows.
	agreed wasabiridge.Millis
}

// agree takes a time that was received in messages of other instances.
func (h *horizon) agree(at wasabiridge.Millis) {
	h.agreed = max(h.agreed, at)
}

// observe takes the write time of a row that the instance wrote.
func (h *horizon) observe(by wasabiridge.InstanceID, at wasabiridge.Millis) {
	switch {
	case by == h.firstBy:
		h.first = max(h.first, at)
	case at > h.first:
		h.second = h.first
		h.first, h.firstBy = at, by
	default:
		h.second = max(h.second, at)
	}
}

// raise returns the time to write into new rows: this instance's clock, or the time
// of the other instances when the clock is behind that.
func (h *horizon) raise(now wasabiridge.Millis) wasabiridge.Millis {
	return max(now, h.second, h.agreed)
}

// limit returns the time before which retentions count as ended.
func (h *horizon) limit(now wasabiridge.Millis) wasabiridge.Millis {
	return min(now, h.second)
}
