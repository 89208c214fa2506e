package wasabilife

import "github.com/wasabiridge/wasabiridge"

// maxEventGap is the longest time between two events of a process that runs. Its clock
// ticks several times a second.
const maxEventGap = wasabiridge.Second

// PauseDetector detects that this process did not run for a while, because it or its
// machine was frozen. The zero value has seen no event. It is not safe for concurrent use.
type PauseDetector struct {
	last wasabiridge.Millis
}

// Observe takes the time of an event. It returns the length of the pause before it, or
// zero if there was none.
func (d *PauseDetector) Observe(now wasabiridge.Millis) wasabiridge.Millis {
	gap := now - d.last
	first := d.last == 0
	d.last = max(d.last, now)
	if first || gap <= maxEventGap {
		return 0
	}
	return gap
}
