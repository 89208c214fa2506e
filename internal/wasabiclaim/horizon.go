package wasabiclaim

import "github.com/wasabiridge/wasabiridge"

// horizon is a time that at least two instances agree to have passed. It is
// learned from the times that claim rows carry.
//
// One instance whose clock jumped ahead would otherwise delete rows before
// their retention ends, and one whose clock jumped back would write rows that
// end too early; in both cases a late repeat would run a second time. The
// second highest time of all writers is not moved by any one of them.
type horizon struct {
	first, second wasabiridge.Millis
	firstBy       wasabiridge.InstanceID
	// agreed is what instances said of their time in messages. It only
	// raises the time of new rows.
	agreed wasabiridge.Millis
}

// agree takes a time from the messages of other instances.
func (h *horizon) agree(at wasabiridge.Millis) {
	h.agreed = max(h.agreed, at)
}

// observe takes the time that a row of the instance carries.
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

// raise returns the time to write into rows: the own clock, or what others
// agree on when the own clock is behind that.
func (h *horizon) raise(now wasabiridge.Millis) wasabiridge.Millis {
	return max(now, h.second, h.agreed)
}

// limit returns the time up to which retentions count as ended.
func (h *horizon) limit(now wasabiridge.Millis) wasabiridge.Millis {
	return min(now, h.second)
}
