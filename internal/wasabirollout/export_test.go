package wasabirollout

import (
	"context"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
)

// Unexported names for external tests.
type (
	Driver           = driver
	ReconcilerEvent  = reconcilerEvent
	ReconcilerEffect = reconcilerEffect
	Record           = record
)

var (
	NewDriver    = newDriver
	EncodeRecord = encodeRecord
	DecodeRecord = decodeRecord
)

func (d *driver) Tick(now wasabiridge.Millis, g wasabilease.Grant) []ReconcilerEffect {
	return d.tick(now, g)
}
func (d *driver) Handle(now wasabiridge.Millis, g wasabilease.Grant, e ReconcilerEvent) []ReconcilerEffect {
	return d.handle(now, g, e)
}
func (d *driver) Progress(now wasabiridge.Millis) wasabiridge.Rollout { return d.progress(now) }
func (d *driver) SetPool(p wasabiridge.Pool)                          { d.setPool(p) }

// IdleReads returns how often an instance that drives no rollout reads the
// rollout rows within the span.
func IdleReads(self wasabiridge.InstanceID, span wasabiridge.Millis) int {
	f, reads := newMachine(self, 1, Limits{}), 0
	for now := wasabiridge.Day; now < wasabiridge.Day+span; now += 100 {
		for _, e := range append([]machineEffect(nil), f.handle(now, ticked{})...) {
			if _, ok := e.(listRows); ok {
				reads++
				f.handle(now, rowsListed{})
			}
		}
	}
	return reads
}

// Send sends an order as the workers do.
func (k *Controller) Send(ctx context.Context, e wasabiorder.SendOrder) error { return k.send(ctx, e) }
