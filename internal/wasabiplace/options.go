package wasabiplace

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
)

// Defaults of Options.
const (
	// DefaultSmallPool is the pool size up to which every server is weighed.
	DefaultSmallPool = 24
	// DefaultMaxHomes bounds the homes of a hot level.
	DefaultMaxHomes = 8
	// DefaultFirstTokenPrice and DefaultRecomputePrice are what one computed
	// token costs beyond the time that it takes, as a share of that time.
	DefaultFirstTokenPrice = 2.5
	DefaultRecomputePrice  = 1.5
	// DefaultNear is the difference in score that counts as none.
	DefaultNear = 1 * wasabiridge.Millis(1)
	// DefaultZoneDistance is the time to another availability zone and back.
	DefaultZoneDistance = 1 * wasabiridge.Millis(1)
	// DefaultTokenMicros is the time to compute one token of a prompt before
	// any is learned, in microseconds.
	DefaultTokenMicros = 50
	// DefaultLostRetry is when a lost server that never reported its load is
	// tried again.
	DefaultLostRetry = 5 * wasabiridge.Second
)

// Options holds the knobs of a Placer. The zero value works.
type Options struct {
	// Seed starts the source that decides between nearly equal scores.
	Seed uint64
	// Zone is the availability zone of this instance. Empty means that all
	// servers are equally far.
	Zone wasabiridge.AvailabilityZone
	// ZoneDistance is the time to a server of another zone and back. Zero
	// means DefaultZoneDistance.
	ZoneDistance wasabiridge.Millis
	// SmallPool is the pool size up to which every server is weighed. Zero
	// means DefaultSmallPool.
	SmallPool int
	// MaxHomes bounds the homes of a hot level, up to 8. Zero means
	// DefaultMaxHomes.
	MaxHomes int
	// FirstTokenPrice and RecomputePrice are what one computed token costs
	// beyond its time, for each objective, as a share of that time. Zero
	// means the default; a negative price means none.
	FirstTokenPrice float64
	RecomputePrice  float64
	// Near is the difference in score that counts as none. Zero means
	// DefaultNear.
	Near wasabiridge.Millis
	// JoinLimit is how long a request is held back while its prefix is being
	// computed. Zero means that it follows at once.
	JoinLimit wasabiridge.Millis
	// LostRetry is when a lost server that never reported its load is tried
	// again. Zero means DefaultLostRetry.
	LostRetry wasabiridge.Millis
	// Cache holds the knobs of the picture of the caches.
	Cache wasabicache.Options
}

func (o Options) withDefaults() Options {
	if o.ZoneDistance == 0 {
		o.ZoneDistance = DefaultZoneDistance
	}
	if o.SmallPool == 0 {
		o.SmallPool = DefaultSmallPool
	}
	if o.MaxHomes == 0 {
		o.MaxHomes = DefaultMaxHomes
	}
	if o.Near == 0 {
		o.Near = DefaultNear
	}
	if o.LostRetry == 0 {
		o.LostRetry = DefaultLostRetry
	}
	o.MaxHomes = min(max(o.MaxHomes, 1), homesKept)
	o.FirstTokenPrice = price(o.FirstTokenPrice, DefaultFirstTokenPrice)
	o.RecomputePrice = price(o.RecomputePrice, DefaultRecomputePrice)
	return o
}

func price(p, otherwise float64) float64 {
	if p == 0 {
		return otherwise
	}
	return max(0, p)
}
