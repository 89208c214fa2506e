package wasabiupgrade

import "github.com/wasabiridge/wasabiridge"

// send sends the order to a replica in backoff.
func (m *Machine) send(now wasabiridge.Millis, r *replica) {
	r.backoffTime = now - r.since
	r.phase, r.since, r.lastRead = ordered, now, now
	r.target = max(r.target, m.wanted[r.model])
	m.emitOrder(now, r)
}

// emitOrder emits the order for a replica, for the first time or again.
func (m *Machine) emitOrder(now wasabiridge.Millis, r *replica) {
	r.busy, r.accepted, r.fencing = true, false, m.grant.Fencing
	r.nextRead = now + m.timing.Poll
	m.observeOrder(r.server.ID, orderedBy{holder: m.self, at: now, told: true})
	m.effects = append(m.effects, SendOrder{
		Server: r.server,
		Order: wasabiridge.EngineOrder{
			Model: r.model, Weights: r.target, Fencing: m.grant.Fencing, Conditional: true, After: r.acceptedOrders,
		},
		Before: min(now+m.timing.OrderTimeout, m.grant.Until),
	})
}

// watch polls the state of a replica that has got its order. It abandons the upgrade
// after Timing.LoadTimeout; it is tried again later.
func (m *Machine) watch(now wasabiridge.Millis, r *replica) {
	if r.busy {
		return
	}
	if now-r.since > m.timing.LoadTimeout {
		m.abandon(now, r)
		return
	}
	if now >= r.nextRead {
		r.busy, r.nextRead = true, now+m.timing.Poll
		m.effects = append(m.effects, ReadState{Server: r.server, Model: r.model})
	}
}

// abandon lets a replica serve its current weights, and delays the next attempt to upgrade
// it. Other instances are notified unless they were not notified before.
func (m *Machine) abandon(now wasabiridge.Millis, r *replica) {
	silent := r.phase == draining && !r.drainAnnounced
	r.phase, r.notBefore = idle, now+retryDelay
	if silent {
		return
	}
	m.effects = append(m.effects, SendUpdate{Update: wasabiridge.BackoffUpdate{Backend: r.server.ID}})
}

func (m *Machine) handleOrderResult(now wasabiridge.Millis, e OrderResult) {
	r := m.replicas[unit{e.Backend, e.Model}]
	if e.Fenced {
		m.rejectedFencing = max(m.rejectedFencing, e.Fencing)
	}
	if r == nil {
		return
	}
	r.busy = false
	switch {
	case e.Fenced, e.Refused:
		// The order will not be carried out.
		m.abandon(now, r)
	case e.Unsure:
		r.nextRead = now + m.timing.Recheck
		m.serveOn(now, r)
	default:
		m.markAccepted(now, r)
	}
}

// serveOn lets a replica serve light requests that has not answered its order.
func (m *Machine) serveOn(now wasabiridge.Millis, r *replica) {
	if r.phase != ordered {
		return
	}
	r.phase, r.lastRead = unanswered, now
	m.effects = append(m.effects, SendUpdate{Update: wasabiridge.BackoffUpdate{Backend: r.server.ID, Drain: drainTTL}})
}

// markAccepted records that a replica has accepted its order. If the order had no answer
// so far, the replica goes back into backoff, because it starts to load only now.
func (m *Machine) markAccepted(now wasabiridge.Millis, r *replica) {
	r.accepted = true
	if r.phase != unanswered {
		return
	}
	r.phase, r.lastRead = ordered, now
	m.effects = append(m.effects, SendUpdate{Update: wasabiridge.BackoffUpdate{Backend: r.server.ID, Backoff: backoffTTL}})
}

func (m *Machine) handleStateResult(now wasabiridge.Millis, e StateResult) {
	r := m.replicas[unit{e.Backend, e.Model}]
	if r == nil {
		return
	}
	r.busy = false
	serves := e.State.Weights
	if e.State.Models != nil {
		serves = e.State.Models[e.Model]
	}
	if serves > max(r.serves, m.wanted[e.Model]) {
		// No operator has named this version, so the report is wrong.
		e.Failed = true
	}
	if !e.Failed && !r.observeIncarnation(now, e.State.Incarnation) {
		return
	}
	if !e.Failed {
		r.lastRead = now
	}
	switch {
	case e.Failed && (r.phase == inBackoff || r.phase == draining):
		m.abandon(now, r)
	case e.Failed:
	case !e.State.Loading && serves >= r.target:
		r.serveUnlisted(now, serves)
		if r.phase != idle {
			m.finish(now, r)
		}
	case r.phase == draining:
		m.drainingRead(now, r)
	case r.phase == inBackoff:
		r.readInBackoff, r.acceptedOrders = true, e.State.Orders
	case (r.phase == ordered || r.phase == unanswered) && !r.accepted:
		m.resolveUnsure(now, r, e.State)
	}
}

// drainingRead handles the first successful read of a draining replica. The replica goes
// into backoff immediately if a slot is free. Otherwise the other instances are notified
// that it is draining.
func (m *Machine) drainingRead(now wasabiridge.Millis, r *replica) {
	away, _, serving := m.count(now)
	switch {
	case !m.mayOrder(now):
		r.phase = idle
	case away < m.maxLoads() && m.maySpare(serving):
		m.startBackoff(now, r)
	case !r.drainAnnounced:
		r.drainAnnounced, r.since = true, now
		m.effects = append(m.effects, SendUpdate{Update: wasabiridge.BackoffUpdate{Backend: r.server.ID, Drain: drainTTL}})
	}
}

// resolveUnsure decides by the state of a replica whether its order without an answer was
// accepted. If not, the order is sent again.
func (m *Machine) resolveUnsure(now wasabiridge.Millis, r *replica, s wasabiridge.EngineState) {
	if s.Loading || s.Orders > r.acceptedOrders {
		m.markAccepted(now, r)
		r.nextRead = now + m.timing.Poll
		return
	}
	r.acceptedOrders = s.Orders
	if m.mayOrder(now) && m.mayContinue(now, r) {
		m.emitOrder(now, r)
	}
}

// finish ends the upgrade of a replica and notifies all instances of its new weights.
func (m *Machine) finish(now wasabiridge.Millis, r *replica) {
	if r.phase == ordered || r.phase == unanswered {
		m.effects = append(m.effects, Upgraded{Backend: r.server.ID, Model: r.model, Weights: r.serves, Backoff: r.backoffTime, LoadTime: now - r.since})
	}
	r.phase = idle
	m.effects = append(m.effects, SendUpdate{Update: wasabiridge.BackoffUpdate{Backend: r.server.ID, Model: r.model, Weights: r.serves, Incarnation: r.server.Incarnation}})
}
