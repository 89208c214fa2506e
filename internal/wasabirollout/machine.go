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
	// progressInterval is the minimum time between two writes of the progress
	// while the state of the rollout is unchanged.
	progressInterval = 5 * wasabiridge.Second
	// drivingPoll and idlePoll are the intervals for polling the rollout rows,
	// by an instance that drives a rollout and by one that does not.
	drivingPoll = wasabiridge.Second
	idlePoll    = 10 * wasabiridge.Second
	// maxRollouts is the maximum number of rows per read.
	maxRollouts = 500

	blockedByConfig = "pool is not in the configuration"
)

// poolRollout is the state of an active rollout of one pool.
type poolRollout struct {
	record   record
	revision uint64
	driver   *driver
	// fencing is the fencing number of the lease under which the pool is
	// driven. requiredList is the number of the first list that started after
	// that lease was acquired; it must have succeeded before orders are sent.
	fencing      wasabiridge.FencingNumber
	requiredList uint64
	// writeInFlight is set while progress is being written to the table.
	writeInFlight bool
	writtenAt     wasabiridge.Millis
}

// machine drives the rollouts of an instance. It is deterministic. It is not
// safe for concurrent use.
type machine struct {
	self         wasabiridge.InstanceID
	incarnation  wasabiridge.Incarnation
	limits       Limits
	poolRollouts map[wasabiridge.PoolID]*poolRollout
	listInFlight bool
	// lists counts the started lists of rows; lastList is the last one that
	// succeeded.
	lists, lastList uint64
	// listAt is when the rows are listed next. It is zero before the first
	// tick.
	listAt  wasabiridge.Millis
	writes  uint64
	effects []machineEffect
}

func newMachine(self wasabiridge.InstanceID, incarnation wasabiridge.Incarnation, l Limits) *machine {
	return &machine{self: self, incarnation: incarnation, limits: l.withDefaults(), poolRollouts: make(map[wasabiridge.PoolID]*poolRollout)}
}

// pools returns the pools with an active rollout, in sorted order.
func (f *machine) pools() []wasabiridge.PoolID {
	ids := make([]wasabiridge.PoolID, 0, len(f.poolRollouts))
	for id := range f.poolRollouts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// handle applies an event and returns the effects to execute. The result is
// valid until the next call.
func (f *machine) handle(now wasabiridge.Millis, e machineEvent) []machineEffect {
	f.effects = f.effects[:0]
	switch e := e.(type) {
	case ticked:
		f.tick(now, e)
	case rowsListed:
		f.handleRows(now, e)
	case callEnded:
		f.handleCallEnded(now, e)
	case progressWritten:
		if c := f.poolRollouts[e.Pool]; c != nil {
			// Whether the write succeeded or not, the row must be read before
			// the next write.
			c.writeInFlight, c.revision = false, 0
			f.listAt = now
		}
	case rolloutChanged:
		f.listAt = now
	}
	return f.effects
}

func (f *machine) tick(now wasabiridge.Millis, t ticked) {
	driving := false
	for _, id := range f.pools() {
		c, grant := f.poolRollouts[id], t.Grants[id]
		driving = driving || grant.Covers(now, 0)
		if !f.hasCurrentRow(now, c, grant) {
			continue
		}
		pool, configured := t.Config.Pool(id)
		if configured {
			c.driver.setPool(pool)
			f.calls(id, c.driver.tick(now, grant))
		}
		f.reportProgress(now, id, c, grant, configured)
	}
	if f.listAt == 0 {
		// The offset by instance spreads the reads of instances that restart
		// together.
		f.listAt = now + wasabiridge.Millis(xxhash.Sum64String(string(f.self))%uint64(idlePoll))
	}
	if now >= f.listAt && !f.listInFlight {
		f.listInFlight = true
		f.lists++
		f.listAt = now + idlePoll
		if driving {
			f.listAt = now + drivingPoll
		}
		f.effects = append(f.effects, listRows{Prefix: rowPrefix, Limit: maxRollouts})
	}
}

// hasCurrentRow reports whether the row was read since the lease was acquired.
//
// It guards against this failure: a rollout is paused or ends, its driver
// releases the lease, and another instance acquires it while its copy of the
// row still says that the rollout is running. That instance would send orders
// for a rollout that has stopped.
func (f *machine) hasCurrentRow(now wasabiridge.Millis, c *poolRollout, g wasabilease.Grant) bool {
	if g.Fencing == 0 {
		return true
	}
	if g.Fencing != c.fencing {
		c.fencing, c.requiredList = g.Fencing, f.lists+1
		f.listAt = now
	}
	return f.lastList >= c.requiredList
}

func (f *machine) calls(id wasabiridge.PoolID, effects []reconcilerEffect) {
	for _, e := range effects {
		f.effects = append(f.effects, callEngine{Pool: id, Call: e})
	}
}

func (f *machine) handleCallEnded(now wasabiridge.Millis, e callEnded) {
	c := f.poolRollouts[e.Pool]
	if c == nil {
		return
	}
	grant := e.Grant
	if !f.hasCurrentRow(now, c, grant) {
		// The reconciler must be notified of the end of its call, without a grant
		// to send further orders.
		grant = wasabilease.Grant{}
	}
	f.calls(e.Pool, c.driver.handle(now, grant, e.Event))
}

func (f *machine) handleRows(now wasabiridge.Millis, l rowsListed) {
	f.listInFlight = false
	if l.Err != nil {
		return
	}
	f.lastList = f.lists
	seen := make(map[wasabiridge.PoolID]bool)
	for _, row := range l.Rows {
		r, err := decodeRecord(row.Value)
		if err != nil || !r.isActive() {
			// Unreadable rows are left for an operator to repair.
			continue
		}
		seen[r.Current.Pool] = true
		f.adopt(now, r, row.Revision)
	}
	for _, id := range f.pools() {
		if !seen[id] {
			delete(f.poolRollouts, id)
			f.effects = append(f.effects, leaveLease{Pool: id})
		}
	}
}

// adopt applies a rollout row.
func (f *machine) adopt(now wasabiridge.Millis, r record, revision uint64) {
	id := r.Current.Pool
	c := f.poolRollouts[id]
	if c == nil {
		c = &poolRollout{driver: newDriver(r.Current, wasabiridge.Pool{ID: id}, f.limits, now)}
		f.poolRollouts[id] = c
		f.effects = append(f.effects, contendLease{Pool: id})
	}
	if before := c.driver.rollout; before.ID != r.Current.ID || before.Weights != r.Current.Weights {
		// Orders of the previous rollout may be in flight. They must not arrive
		// after those of the new one, which carry the same fencing number.
		startAt := now + wasabiorder.MaxOrderDelay(f.limits.Order)
		c.driver = newDriver(r.Current, wasabiridge.Pool{ID: id}, f.limits, startAt)
	}
	c.driver.rollout.State = r.Current.State
	c.record, c.revision = r, revision
}

// reportProgress writes the progress to the row, at a low rate and only while
// this instance holds the lease.
func (f *machine) reportProgress(now wasabiridge.Millis, id wasabiridge.PoolID, c *poolRollout, g wasabilease.Grant, configured bool) {
	if c.writeInFlight || c.revision == 0 || !g.Covers(now, 0) {
		return
	}
	p := c.driver.progress(now)
	if !configured {
		p = c.record.Current
		p.Blocked = blockedByConfig
	}
	if p == c.record.Current || p.State == c.record.Current.State && now-c.writtenAt < progressInterval {
		return
	}
	f.writes++
	tx := wasabiridge.Transaction{
		ID: wasabiridge.WriteID(string(f.self) + "/" + strconv.FormatUint(uint64(f.incarnation), 36) +
			"/rollout/" + strconv.FormatUint(f.writes, 36)),
		Changes: []wasabiridge.RowChange{{
			Key: rowKey(id), IfRevision: c.revision, Value: encodeRecord(c.record.withCurrent(p)),
		}},
	}
	c.writeInFlight, c.writtenAt = true, now
	f.effects = append(f.effects, writeProgress{Pool: id, Transaction: tx, Rollout: p})
}
