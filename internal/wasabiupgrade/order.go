package wasabiupgrade

import "github.com/wasabiridge/wasabiridge"

// send gives a replica that rests its order.
func (m *Machine) send(now wasabiridge.Millis, r *replica) {
	r.rested = now - r.since
	r.phase, r.since, r.heardAt = ordered, now, now
	r.target = max(r.target, m.wanted[r.model])
	m.give(now, r)
}

// give sends the order to a replica, for the first time or again.
func (m *Machine) give(now wasabiridge.Millis, r *replica) {
	r.busy, r.accepted = true, false
	r.readAt = now + m.timing.Poll
	m.effects = append(m.effects, SendOrder{
		Server: r.server,
		Order: wasabiridge.EngineOrder{
			Model: r.model, Weights: r.target, Fencing: m.grant.Fencing, Conditional: true, After: r.orders,
		},
		Before: min(now+m.timing.OrderTime, m.grant.Until),
	})
}

// watch reads a replica back that loads, and gives it up when it takes too
// long; then it is tried again.
func (m *Machine) watch(now wasabiridge.Millis, r *replica) {
	if r.busy {
		return
	}
	if now-r.since > m.timing.Patience {
		m.giveUp(now, r)
		return
	}
	if now >= r.readAt {
		r.busy, r.readAt = true, now+m.timing.Poll
		m.effects = append(m.effects, ReadState{Server: r.server, Model: r.model})
	}
}

// giveUp lets a replica serve on as it is, and tries it again later.
func (m *Machine) giveUp(now wasabiridge.Millis, r *replica) {
	silent := r.phase == easing && !r.told
	r.phase, r.notBefore = idle, now+retryAfter
	if silent {
		return
	}
	m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: r.server.ID}})
}

func (m *Machine) ordered(now wasabiridge.Millis, e Ordered) {
	r := m.replicas[unit{e.Backend, e.Model}]
	if e.Fenced {
		m.fenced = max(m.fenced, e.Fencing)
	}
	if r == nil {
		return
	}
	r.busy = false
	switch {
	case e.Fenced, e.Refused:
		// Nothing was ordered. The replica serves on as it is.
		m.giveUp(now, r)
	case e.Unsure:
		r.readAt = now + m.timing.Recheck
		m.serveOn(now, r)
	default:
		m.accept(now, r)
	}
}

// serveOn lets a replica serve that has not answered its order.
func (m *Machine) serveOn(now wasabiridge.Millis, r *replica) {
	if r.phase != ordered {
		return
	}
	r.phase, r.heardAt = unanswered, now
	m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: r.server.ID, Easing: easeLife}})
}

// accept notes that an order is carried out. One that was not answered begins to
// load only now.
func (m *Machine) accept(now wasabiridge.Millis, r *replica) {
	r.accepted = true
	if r.phase != unanswered {
		return
	}
	r.phase, r.heardAt = ordered, now
	m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: r.server.ID, Resting: restLife}})
}

func (m *Machine) stateRead(now wasabiridge.Millis, e StateRead) {
	r := m.replicas[unit{e.Backend, e.Model}]
	if r == nil {
		return
	}
	r.busy = false
	if !e.Failed && !r.live(now, e.State.Incarnation) {
		return
	}
	if !e.Failed {
		r.heardAt = now
	}
	serves := e.State.Weights
	if e.State.Models != nil {
		serves = e.State.Models[e.Model]
	}
	switch {
	case e.Failed && (r.phase == resting || r.phase == easing):
		m.giveUp(now, r)
	case e.Failed:
	case !e.State.Loading && serves >= r.target:
		r.serves = max(r.serves, serves)
		if r.phase != idle {
			m.finish(now, r)
		}
	case r.phase == easing:
		m.eased(now, r)
	case r.phase == resting:
		r.asked, r.orders = true, e.State.Orders
	case (r.phase == ordered || r.phase == unanswered) && !r.accepted:
		m.orderAgain(now, r, e.State)
	}
}

// eased takes that a replica answers. It rests at once when there is a place;
// otherwise it takes light work only until there is one.
func (m *Machine) eased(now wasabiridge.Millis, r *replica) {
	away, _, serving := m.count(now)
	switch {
	case !m.holds(now):
		r.phase = idle
	case away < m.maxLoads() && m.maySpare(serving):
		m.rest(now, r)
	case !r.told:
		r.told, r.since = true, now
		m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: r.server.ID, Easing: easeLife}})
	}
}

// orderAgain decides about an order of unsure outcome by what the replica says
// a moment later.
func (m *Machine) orderAgain(now wasabiridge.Millis, r *replica, s wasabiridge.EngineState) {
	if s.Loading || s.Orders > r.orders {
		m.accept(now, r)
		r.readAt = now + m.timing.Poll
		return
	}
	r.orders = s.Orders
	if m.holds(now) {
		m.give(now, r)
	}
}

// finish lets a replica serve again.
func (m *Machine) finish(now wasabiridge.Millis, r *replica) {
	if r.phase == ordered || r.phase == unanswered {
		m.effects = append(m.effects, Upgraded{Backend: r.server.ID, Model: r.model, Weights: r.serves, Rested: r.rested, Loaded: now - r.since})
	}
	r.phase = idle
	m.effects = append(m.effects, Tell{News: wasabiridge.RestNews{Backend: r.server.ID, Model: r.model, Weights: r.serves, Incarnation: r.server.Incarnation}})
}
