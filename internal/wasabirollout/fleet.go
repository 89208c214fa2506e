package wasabirollout

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabiorder"
)

const (
	// progressEvery is the pause between two writes of the progress.
	progressEvery = 5 * wasabiridge.Second
	// drivingPoll and idlePoll are the pauses between two readings of all
	// rollouts, by an instance that drives one and by one that does not.
	drivingPoll = wasabiridge.Second
	idlePoll    = 10 * wasabiridge.Second
	// maxRollouts is how many rows one reading returns.
	maxRollouts = 500

	blockedByConfig = "pool is not in the configuration"
)

// campaign is what an instance knows of one pool with an active rollout.
type campaign struct {
	record   record
	revision uint64
	driver   *driver
	// fencing is the number of the lease under which the pool is driven, and
	// fresh the listing that has to be in before that.
	fencing wasabiridge.FencingNumber
	fresh   uint64
	// writing is true while progress is on its way to the table.
	writing   bool
	writtenAt wasabiridge.Millis
}

// fleet decides on all rollouts of an instance. It is deterministic and not
// safe for concurrent use.
type fleet struct {
	self      wasabiridge.InstanceID
	life      wasabiridge.Incarnation
	limits    Limits
	campaigns map[wasabiridge.PoolID]*campaign
	listing   bool
	// lists counts listings that began; last is the one that worked last.
	lists, last uint64
	// listAt is when the rows are read next. It is zero before the first tick.
	listAt  wasabiridge.Millis
	writes  uint64
	effects []fleetEffect
}

func newFleet(self wasabiridge.InstanceID, life wasabiridge.Incarnation, l Limits) *fleet {
	return &fleet{self: self, life: life, limits: l.withDefaults(), campaigns: make(map[wasabiridge.PoolID]*campaign)}
}

// pools returns the pools with an active rollout, in order.
func (f *fleet) pools() []wasabiridge.PoolID {
	ids := make([]wasabiridge.PoolID, 0, len(f.campaigns))
	for id := range f.campaigns {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// handle takes one event and returns what has to be done. The returned slice
// is valid until the next call.
func (f *fleet) handle(now wasabiridge.Millis, e fleetEvent) []fleetEffect {
	f.effects = f.effects[:0]
	switch e := e.(type) {
	case fleetTicked:
		f.tick(now, e)
	case rowsListed:
		f.listed(now, e)
	case callEnded:
		f.ended(now, e)
	case progressWritten:
		if c := f.campaigns[e.Pool]; c != nil {
			// Written or not, the row is read again before the next write.
			c.writing, c.revision = false, 0
			f.listAt = now
		}
	case changed:
		f.listAt = now
	}
	return f.effects
}

func (f *fleet) tick(now wasabiridge.Millis, t fleetTicked) {
	driving := false
	for _, id := range f.pools() {
		c, grant := f.campaigns[id], t.Grants[id]
		driving = driving || grant.Covers(now, 0)
		if !f.isFresh(now, c, grant) {
			continue
		}
		pool, known := t.Config.Pool(id)
		if known {
			c.driver.setPool(pool)
			f.calls(id, c.driver.tick(now, grant))
		}
		f.report(now, id, c, grant, known)
	}
	if f.listAt == 0 {
		// Instances that restart together read at different times.
		f.listAt = now + wasabiridge.Millis(xxhash.Sum64String(string(f.self))%uint64(idlePoll))
	}
	if now >= f.listAt && !f.listing {
		f.listing = true
		f.lists++
		f.listAt = now + idlePoll
		if driving {
			f.listAt = now + drivingPoll
		}
		f.effects = append(f.effects, listRows{Prefix: rowPrefix, Limit: maxRollouts})
	}
}

// isFresh reports whether the row was read since the lease was taken.
//
// The failure it guards against: a rollout is paused or ended, its driver gives
// the lease back, and another instance takes it while it still remembers the
// rollout as running. It would give orders that nobody wants any more.
func (f *fleet) isFresh(now wasabiridge.Millis, c *campaign, g wasabilease.Grant) bool {
	if g.Fencing == 0 {
		return true
	}
	if g.Fencing != c.fencing {
		c.fencing, c.fresh = g.Fencing, f.lists+1
		f.listAt = now
	}
	return f.last >= c.fresh
}

func (f *fleet) calls(id wasabiridge.PoolID, effects []courseEffect) {
	for _, e := range effects {
		f.effects = append(f.effects, callEngine{Pool: id, Call: e})
	}
}

func (f *fleet) ended(now wasabiridge.Millis, e callEnded) {
	c := f.campaigns[e.Pool]
	if c == nil {
		return
	}
	grant := e.Grant
	if !f.isFresh(now, c, grant) {
		// The course still has to hear that its call ended.
		grant = wasabilease.Grant{}
	}
	f.calls(e.Pool, c.driver.handle(now, grant, e.Event))
}

func (f *fleet) listed(now wasabiridge.Millis, l rowsListed) {
	f.listing = false
	if l.Err != nil {
		return
	}
	f.last = f.lists
	seen := make(map[wasabiridge.PoolID]bool)
	for _, row := range l.Rows {
		r, err := decodeRecord(row.Value)
		if err != nil || !r.isActive() {
			// A row that cannot be read is left to an operator.
			continue
		}
		seen[r.Current.Pool] = true
		f.adopt(now, r, row.Revision)
	}
	for _, id := range f.pools() {
		if !seen[id] {
			delete(f.campaigns, id)
			f.effects = append(f.effects, leave{Pool: id})
		}
	}
}

// adopt takes a rollout as its row has it.
func (f *fleet) adopt(now wasabiridge.Millis, r record, revision uint64) {
	id := r.Current.Pool
	c := f.campaigns[id]
	if c == nil {
		c = &campaign{driver: newDriver(r.Current, wasabiridge.Pool{ID: id}, f.limits, now)}
		f.campaigns[id] = c
		f.effects = append(f.effects, contend{Pool: id})
	}
	if before := c.driver.rollout; before.ID != r.Current.ID || before.Weights != r.Current.Weights {
		// Orders of the former rollout may be on their way. They must not
		// arrive after those of the new one, which carry the same number.
		startAt := now + wasabiorder.OrderSpan(f.limits.Order)
		c.driver = newDriver(r.Current, wasabiridge.Pool{ID: id}, f.limits, startAt)
	}
	c.driver.rollout.State = r.Current.State
	c.record, c.revision = r, revision
}

// report writes the progress into the row, seldom, and only as the holder.
func (f *fleet) report(now wasabiridge.Millis, id wasabiridge.PoolID, c *campaign, g wasabilease.Grant, known bool) {
	if c.writing || c.revision == 0 || !g.Covers(now, 0) {
		return
	}
	p := c.driver.progress(now)
	if !known {
		p = c.record.Current
		p.Blocked = blockedByConfig
	}
	if p == c.record.Current || p.State == c.record.Current.State && now-c.writtenAt < progressEvery {
		return
	}
	f.writes++
	tx := wasabiridge.Transaction{
		ID: wasabiridge.WriteID(string(f.self) + "/" + strconv.FormatUint(uint64(f.life), 36) +
			"/rollout/" + strconv.FormatUint(f.writes, 36)),
		Changes: []wasabiridge.RowChange{{
			Key: rowKey(id), IfRevision: c.revision, Value: encodeRecord(c.record.withCurrent(p)),
		}},
	}
	c.writing, c.writtenAt = true, now
	f.effects = append(f.effects, writeProgress{Pool: id, Transaction: tx, Rollout: p})
}
