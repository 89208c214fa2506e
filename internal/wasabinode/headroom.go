package wasabinode

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge/internal/wasabiheadroom"
)

// watchHeadroom measures whether this instance has headroom, and announces and logs it when
// that changes.
func (n *Node) watchHeadroom(ctx context.Context) {
	var meter wasabiheadroom.Meter
	timer := time.NewTimer(wasabiheadroom.Interval.Duration())
	defer timer.Stop()
	for due := n.options.Clock.Now() + wasabiheadroom.Interval; ; {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		now := n.options.Clock.Now()
		if meter.Observe(now, now-due) {
			n.strained.Store(meter.Strained())
			n.members.SetStrained(meter.Strained())
			n.log.Info().Bool("strained", meter.Strained()).Msg("Headroom of this instance changed.")
		}
		due = now + wasabiheadroom.Interval
		timer.Reset(wasabiheadroom.Interval.Duration())
	}
}
