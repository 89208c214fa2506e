// Package wasabiupgrade performs rolling upgrades of replicas to the versions of model
// weights that operators set as targets.
//
// Only one instance sends orders at a time: the holder of a lease in the platform's
// table. Each order carries the fencing number of the lease. A replica is upgraded
// directly to the newest version, without the versions in between.
//
// # Upgrade of one replica
//
// The state of a replica is read first, so that a replica that does not respond takes no
// slot from others. While it waits for a slot, it is draining: all instances are notified
// that they should send it only light requests, so that it has little work left when its
// slot becomes free. Then it is in backoff: all instances are notified that they should
// send it no new requests. After a short time for running answers to end it gets its
// order. Its state is polled until it serves the new version, and all instances are
// notified of that.
//
// # Orders without an answer
//
// An order without an answer may have been accepted, may be carried out seconds later, or
// may be lost. The state of the replica is read after Timing.Recheck, and the order is
// sent again unless the replica has accepted one. Every order states how many orders the
// replica had accepted before. So only one of the two is carried out, and a late order
// cannot replace newer weights. Until the replica is seen to load, it serves light
// requests as before and its slot is given to another replica. Otherwise, all slots could
// be taken by engines that answer late, and these would be idle for seconds.
//
// # Concurrent upgrades
//
// The weight store serves only a few loads at full speed; with more, each load takes
// longer. Also, a pool should not lose more than a fifth of its replicas at a time. So at
// most a fifth of the replicas, and at least 2, are in backoff or loading, and as many
// others are draining. A replica that stops responding after its order is not counted.
//
// # Change of the lease holder
//
// Orders of an earlier holder may still be in flight when its lease has expired.
// Instances receive state updates about each other's orders, so a new holder sends no
// order to a replica within one lease term after such an update from another instance.
// An instance that has just started has not received them. The row of the lease has the orders
// of the last lease term if the earlier holder has released it, so that the instance does not
// order a replica again to which another holder has sent an order after its own. A holder that
// ends without a release is followed only when its lease has expired.
//
// # Usage
//
//	controller := wasabiupgrade.NewController(wasabiupgrade.Options{
//		Self: "pos-1", Clock: clock, Table: table, Engines: engines, Catalog: view, Send: send,
//	})
//	go controller.Run(ctx)
package wasabiupgrade

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabilife"
)

const (
	// minLoads is the minimum of the default limit of concurrent loads. For many
	// replicas the limit is their number divided by loadsDivisor.
	minLoads     = 2
	loadsDivisor = 5
	// minServing is the number of serving replicas from which one may be taken out of
	// service.
	minServing = 2
)

// maxLoads returns the maximum number of replicas that are in backoff or loading.
func (m *Machine) maxLoads() int {
	if m.timing.MaxLoads > 0 {
		return m.timing.MaxLoads
	}
	return max(minLoads, len(m.order)/loadsDivisor)
}

const (
	// backoffTTL is the time after which the backoff of a replica expires at other
	// instances without a further update. It covers a load with concurrent loads.
	backoffTTL = 4 * wasabiridge.Second
	// maxBackoff is the maximum time that a replica is in backoff before its order.
	maxBackoff = 2500 * wasabiridge.Millis(1)
	// drainTTL is the time after which the draining state of a replica expires at
	// other instances without a further update. It covers the loads of the replicas
	// before it.
	drainTTL = 4 * wasabiridge.Second
	// unresponsiveAfter is the time without a successful read after which a loading
	// replica is no longer counted against maxLoads.
	unresponsiveAfter = 800 * wasabiridge.Millis(1)
	// retryDelay is the delay before the next upgrade attempt of a replica that
	// could not be read or did not accept its order.
	retryDelay = wasabiridge.Second
)

// Machine is the state machine that decides when each replica gets which order. It is
// deterministic and not safe for concurrent use.
type Machine struct {
	timing   Timing
	self     wasabiridge.InstanceID
	replicas map[unit]*replica
	// order holds the replicas in the order of their units.
	order  []*replica
	wanted map[wasabiridge.ModelID]wasabiridge.WeightsVersion
	grant  wasabilease.Grant
	// recent are the orders of all holders within the last lease term, by replica. Any update
	// from another instance about a replica counts as an order.
	recent map[wasabiridge.BackendServerID][]orderedBy
	// rejectedFencing is the highest fencing number that a replica rejected as outdated.
	rejectedFencing wasabiridge.FencingNumber
	// outstanding is the result of Outstanding as of the last tick.
	outstanding int
	pauses      wasabilife.PauseDetector
	effects     []Effect
}

// NewMachine returns a Machine without replicas. Self is this instance.
func NewMachine(self wasabiridge.InstanceID, t Timing) *Machine {
	t = t.withDefaults()
	return &Machine{
		timing: t, self: self, replicas: map[unit]*replica{},
		recent: map[wasabiridge.BackendServerID][]orderedBy{},
	}
}

// Handle processes one event and returns the effects that the caller must carry out. The
// returned slice is valid until the next call.
func (m *Machine) Handle(now wasabiridge.Millis, e Event) []Effect {
	m.effects = m.effects[:0]
	if pause := m.pauses.Observe(now); pause > 0 {
		// A freeze does not confirm an earlier incarnation.
		for _, r := range m.replicas {
			r.incarnation.Postpone(pause)
		}
	}
	switch e := e.(type) {
	case Ticked:
		if e.Grant.Fencing != m.grant.Fencing && e.Grant.Fencing != 0 {
			m.succeed(now, e.Grant.Previous)
		}
		m.wanted, m.grant = e.Targets, e.Grant
		if !e.Unchanged {
			m.updateReplicas(now, e)
		}
		m.countOutstanding()
		m.step(now)
		m.countOutstanding()
	case OrderResult:
		m.handleOrderResult(now, e)
	case StateResult:
		m.handleStateResult(now, e)
	case UpdateReceived:
		m.observeOrder(e.Backend, orderedBy{holder: e.From, at: now, told: true})
	}
	return m.effects
}

// Outstanding returns the number of replicas that did not serve the target version at the
// last tick, with each model of a replica counted separately.
func (m *Machine) Outstanding() int { return m.outstanding }

func (m *Machine) countOutstanding() {
	m.outstanding = 0
	for _, r := range m.order {
		if r.serves < m.wanted[r.model] {
			m.outstanding++
		}
	}
}

// updateReplicas updates the replicas from the platform's list.
func (m *Machine) updateReplicas(now wasabiridge.Millis, e Ticked) {
	for _, r := range m.replicas {
		r.present = false
	}
	before := len(m.replicas)
	for _, entry := range e.Entries {
		if entry.Leaving || entry.Lapsed {
			continue
		}
		for model, version := range entry.Weights {
			if e.Targets[model] == 0 {
				continue
			}
			u := unit{entry.Server.ID, model}
			r := m.replicas[u]
			if r == nil {
				r = &replica{server: entry.Server, model: model}
				m.replicas[u] = r
			}
			r.present = true
			if !r.observeIncarnation(now, entry.Server.Incarnation) {
				continue
			}
			entry.Server.Incarnation = r.incarnation.Current()
			r.server = entry.Server
			r.serveListed(now, version)
		}
	}
	changed := len(m.replicas) != before
	for id, r := range m.replicas {
		if !r.present {
			changed = true
			delete(m.replicas, id)
		}
	}
	m.expireOrders(now)
	if changed {
		m.sortReplicas()
	}
}

// sortReplicas brings order up to date.
func (m *Machine) sortReplicas() {
	m.order = slices.AppendSeq(m.order[:0], maps.Values(m.replicas))
	slices.SortFunc(m.order, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.server.ID, b.server.ID), cmp.Compare(a.model, b.model))
	})
}

// mayOrder reports whether this instance holds the lease for long enough to send an order,
// and no replica has rejected its fencing number.
func (m *Machine) mayOrder(now wasabiridge.Millis) bool {
	return m.grant.Covers(now, m.timing.OrderTimeout) && !m.IsRejected()
}

// IsRejected reports whether a replica has rejected the fencing number of the lease that this
// instance held at the last tick. It sends no more orders under that number.
func (m *Machine) IsRejected() bool {
	return m.grant.Fencing != 0 && m.rejectedFencing >= m.grant.Fencing
}

// step advances all replicas, sends the orders that are due, and starts further upgrades.
func (m *Machine) step(now wasabiridge.Millis) {
	for _, r := range m.order {
		m.advance(now, r)
	}
	if !m.mayOrder(now) {
		return
	}
	for _, r := range m.order {
		switch {
		case r.phase != inBackoff || now-r.since < m.timing.Backoff || !r.readInBackoff || r.busy:
		case !m.mayContinue(now, r):
			m.abandon(now, r)
		default:
			m.send(now, r)
		}
	}
	m.startNext(now)
}

// advance handles the transitions of one replica that depend on time or on what it serves.
func (m *Machine) advance(now wasabiridge.Millis, r *replica) {
	switch {
	case r.phase == idle:
	case r.serves >= r.target && !r.busy:
		m.finish(now, r)
	case r.phase == ordered, r.phase == unanswered:
		m.watch(now, r)
	case r.phase == draining && now-r.since > drainTTL, r.phase == inBackoff && now-r.since > maxBackoff:
		// The lease has expired, or no slot for a load became free. The
		// replica continues to serve its current weights.
		m.abandon(now, r)
	}
}

// startNext puts the next replicas into backoff while slots are free, and starts to drain
// as many more.
func (m *Machine) startNext(now wasabiridge.Millis) {
	if m.outstanding == 0 {
		return
	}
	away, drained, serving := m.count(now)
	unsure, inProgress := m.countUnanswered(), m.inProgress()
	for _, r := range m.upgradeOrder() {
		if r.busy {
			continue
		}
		id := r.server.ID
		switch {
		case r.phase == draining && away < m.maxLoads() && away+unsure < 2*m.maxLoads() && m.maySpare(serving):
			m.startBackoff(now, r)
			away, drained, serving = away+1, drained-1, serving-1
		case r.phase == idle && away+drained < 2*m.maxLoads() && now >= r.notBefore && !m.mayBeOrderedByOther(now, id) && !inProgress[id]:
			inProgress[id] = true
			r.phase, r.since, r.target, r.fencing = draining, now, m.wanted[r.model], m.grant.Fencing
			r.drainAnnounced, r.busy = false, true
			drained++
			m.effects = append(m.effects, ReadState{Server: r.server, Model: r.model})
		}
	}
}

// maySpare reports whether one of the serving replicas may be taken out of service. The
// last serving one may be taken only if there is no other replica.
func (m *Machine) maySpare(serving int) bool {
	return serving >= minServing || len(m.order) == 1
}

// startBackoff takes a replica out of service, so that its running answers can end.
func (m *Machine) startBackoff(now wasabiridge.Millis, r *replica) {
	r.phase, r.since, r.target = inBackoff, now, m.wanted[r.model]
	r.readInBackoff, r.busy = false, true
	m.effects = append(m.effects, SendUpdate{Update: wasabiridge.BackoffUpdate{Backend: r.server.ID, Backoff: backoffTTL}}, ReadState{Server: r.server, Model: r.model})
}

// inProgress returns the backend servers at which an upgrade of any model is in progress. A
// server carries out one order at a time.
func (m *Machine) inProgress() map[wasabiridge.BackendServerID]bool {
	out := map[wasabiridge.BackendServerID]bool{}
	for _, r := range m.order {
		if r.phase != idle {
			out[r.server.ID] = true
		}
	}
	return out
}

// upgradeOrder returns the replicas without the target version in the order of their
// upgrades. Draining replicas come first, then those with the oldest weights. With a fixed
// order, the replicas at the end would never be upgraded if target versions follow each other
// quickly.
func (m *Machine) upgradeOrder() []*replica {
	out := make([]*replica, 0, m.outstanding)
	for _, r := range m.order {
		if r.serves < m.wanted[r.model] {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(drainRank(a), drainRank(b)), cmp.Compare(a.serves, b.serves))
	})
	return out
}

// drainRank returns the sort key of a replica: 0 if it is draining, and 1 otherwise.
func drainRank(r *replica) int {
	if r.phase == draining {
		return 0
	}
	return 1
}

// countUnanswered returns the number of replicas that have not answered their order and
// may start to load at any time.
func (m *Machine) countUnanswered() int {
	n := 0
	for _, r := range m.order {
		if r.phase == unanswered {
			n++
		}
	}
	return n
}

// count returns the number of replicas that are away (in backoff or loading), draining, and
// serving. Draining replicas also count as serving.
func (m *Machine) count(now wasabiridge.Millis) (away, drained, serving int) {
	for _, r := range m.order {
		switch {
		case r.phase == inBackoff, r.phase == ordered && !r.isUnresponsive(now):
			away++
		case r.phase == ordered:
		case r.phase == draining:
			drained++
			serving++
		default:
			serving++
		}
	}
	return away, drained, serving
}
