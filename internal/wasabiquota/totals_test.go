package wasabiquota_test

import (
	"fmt"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquota"
)

// runningTotals is the design in use: instances send each other running totals.
type runningTotals struct {
	fleet         *fleet
	self          int
	table         *wasabiquota.Table
	attempt       wasabiridge.AttemptID
	sendScheduled bool
	ticks         int
}

// ticksPerPoll is after how many ticks an instance checks whether updates are due.
const ticksPerPoll = 5

// instanceIDs holds the names of all instances of any fleet.
var instanceIDs = func() (out [400]wasabiridge.InstanceID) {
	for i := range out {
		out[i] = wasabiridge.InstanceID(fmt.Sprintf("i%04d", i))
	}
	return out
}()

func instanceID(i int) wasabiridge.InstanceID { return instanceIDs[i] }

func newRunningTotals(f *fleet, i int) limiter {
	n := f.instances[i]
	return &runningTotals{fleet: f, self: i, table: wasabiquota.New(wasabiquota.Options{
		Self: instanceID(i), Incarnation: wasabiridge.Incarnation(f.now + n.clockSkew), Started: f.now + n.clockSkew,
	})}
}

func (w *runningTotals) setLimits(now wasabiridge.Millis, accounts []wasabiridge.ClientAccount) {
	w.table.Observe(now, wasabiridge.ConfigAdopted{Config: wasabiridge.Config{Accounts: accounts}})
}

func (w *runningTotals) decide(now wasabiridge.Millis, r wasabiridge.Request, done func(wasabiridge.Millis, bool)) {
	if !w.table.Check(now, r).Allowed {
		done(now, false)
		return
	}
	w.attempt++
	w.table.Sent(now, r, w.attempt)
	w.table.Observe(now, wasabiridge.AttemptSent{Request: r.ID, Attempt: w.attempt})
	w.table.Observe(now, wasabiridge.AttemptEnded{Request: r.ID, Attempt: w.attempt, Result: wasabiridge.AttemptCompleted})
	done(now, true)
	// The use of a long prompt is sent at once, along with the update on its placement.
	if r.Chain.Tokens > 2000 && !w.sendScheduled {
		w.sendScheduled = true
		incarnation := w.fleet.instances[w.self].incarnation
		w.fleet.schedule(w.fleet.now+4, func() {
			w.sendScheduled = false
			if n := w.fleet.instances[w.self]; n.up && n.incarnation == incarnation && w.fleet.now >= n.pausedUntil {
				w.sendUpdate(w.fleet.now + n.clockSkew)
			}
		})
	}
}

func (w *runningTotals) tick(now wasabiridge.Millis) {
	w.table.Observe(now, wasabiridge.Ticked{})
	if w.ticks++; w.ticks%ticksPerPoll != 1 {
		return
	}
	// An instance that has not discovered the others assumes that callers are routed to it.
	known := wasabiridge.ActiveKnown{Instances: []wasabiridge.InstanceID{instanceID(w.self)}, Known: 1}
	if w.fleet.now-w.fleet.instances[w.self].startedAt >= w.fleet.discoveryDelay {
		known = wasabiridge.ActiveKnown{Known: len(w.fleet.instances)}
		for i, n := range w.fleet.instances {
			if n.up && i < w.fleet.active {
				known.Instances = append(known.Instances, instanceID(i))
			}
		}
	}
	w.table.Observe(now, known)
	if w.table.IsDue(now) {
		w.sendUpdate(now)
	}
	for _, id := range w.table.HelloTargets(now) {
		w.fleet.send(w.self, slices.Index(instanceIDs[:], id), 0, w.table.Hello(now))
	}
	for _, id := range w.table.SnapshotTargets() {
		all := w.table.LevelSnapshot(now)
		w.fleet.send(w.self, slices.Index(instanceIDs[:], id), entryBytes*len(all.Usage), all)
	}
}

func (w *runningTotals) sendUpdate(now wasabiridge.Millis) {
	update := w.table.TakeUpdate(now)
	if len(update.Usage) == 0 {
		return
	}
	for i := range w.fleet.instances {
		if i == w.self {
			continue
		}
		w.table.Observe(now, wasabiridge.PeerUpdateSent{To: instanceID(i)})
		w.fleet.send(w.self, i, entryBytes*len(update.Usage), update)
	}
}

func (w *runningTotals) receive(now wasabiridge.Millis, from int, message any) any {
	update := message.(wasabiridge.StateUpdate)
	w.table.Observe(now, update.UsageReceived())
	return nil
}

func (w *runningTotals) receiveAnswer(now wasabiridge.Millis, from int, _ any) {
	w.table.Observe(now, wasabiridge.PeerReachable{From: instanceID(from)})
}
