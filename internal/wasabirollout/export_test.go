package wasabirollout

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
)

// The driver and the decoder of rows, for tests.
type (
	Driver       = driver
	CourseEvent  = courseEvent
	CourseEffect = courseEffect
	Record       = record
)

var (
	NewDriver    = newDriver
	EncodeRecord = encodeRecord
	DecodeRecord = decodeRecord
)

func (d *driver) Tick(now wasabiridge.Millis, g wasabilease.Grant) []CourseEffect {
	return d.tick(now, g)
}
func (d *driver) Handle(now wasabiridge.Millis, g wasabilease.Grant, e CourseEvent) []CourseEffect {
	return d.handle(now, g, e)
}
func (d *driver) Progress(now wasabiridge.Millis) wasabiridge.Rollout { return d.progress(now) }
func (d *driver) SetPool(p wasabiridge.Pool)                          { d.setPool(p) }
