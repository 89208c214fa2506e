package wasabiplace

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabicache"
)

// Defaults of Options.
const (
	// DefaultSmallPool is the pool size up to which every server is a
	// candidate.
	DefaultSmallPool = 24
	// DefaultMaxHomes is the maximum number of homes of a hot level.
	DefaultMaxHomes = 8
	// DefaultFirstTokenPrice and DefaultRecomputePrice are the additional price
	// of a computed token, relative to its computing time.
	DefaultFirstTokenPrice = 2.5
	DefaultRecomputePrice  = 1.5
	// DefaultScoreTolerance is the difference in score up to which scores count as equal.
	DefaultScoreTolerance = 1 * wasabiridge.Millis(1)
	// DefaultZoneDistance is the round-trip time to another availability zone.
	DefaultZoneDistance = 1 * wasabiridge.Millis(1)
	// DefaultTokenMicros is the assumed time to compute one prompt token before
	// any samples, in microseconds.
	DefaultTokenMicros = 50
	// DefaultLostRetryInterval is when a lost server that never reported its load is
	// retried.
	DefaultLostRetryInterval = 5 * wasabiridge.Second
)

// Options configures a Placer. The zero value is ready to use.
type Options struct {
	// Seed seeds the random generator that decides between nearly equal scores.
	Seed uint64
	// Zone is the availability zone of this instance. Empty means that all
	// servers are at the same distance.
	Zone wasabiridge.AvailabilityZone
	// ZoneDistance is the round-trip time to a server of another zone. Zero
	// means DefaultZoneDistance.
	ZoneDistance wasabiridge.Millis
	// SmallPool is the pool size up to which every server is a candidate. Zero
	// means DefaultSmallPool.
	SmallPool int
	// MaxHomes is the maximum number of homes of a hot level, at most 8. Zero
	// means DefaultMaxHomes.
	MaxHomes int
	// FirstTokenPrice and RecomputePrice are the additional price of a computed
	// token for each objective, relative to its computing time. Zero means the
	// default; a negative price means none.
	FirstTokenPrice float64
	RecomputePrice  float64
	// ScoreTolerance is the difference in score up to which scores count as equal. Zero
	// means DefaultScoreTolerance.
	ScoreTolerance wasabiridge.Millis
	// MaxPrefixWait is the maximum time for which a request is held back while its
	// prefix is being computed. Zero means that it is sent at once.
	MaxPrefixWait wasabiridge.Millis
	// LostRetryInterval is when a lost server that never reported its load is retried.
	// Zero means DefaultLostRetryInterval.
	LostRetryInterval wasabiridge.Millis
	// Cache configures the estimate of the servers' caches.
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
	if o.ScoreTolerance == 0 {
		o.ScoreTolerance = DefaultScoreTolerance
	}
	if o.LostRetryInterval == 0 {
		o.LostRetryInterval = DefaultLostRetryInterval
	}
	o.MaxHomes = min(max(o.MaxHomes, 1), maxRankedHomes)
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
