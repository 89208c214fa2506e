package wasabiupgrade

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabilease"
	"github.com/wasabiridge/wasabiridge/internal/wasabirecord"
)

// maxHandover is the maximum number of orders in a handover. The latest ones are kept.
const maxHandover = 256

// orderedBy is the last order of one holder to a replica that this instance knows of.
type orderedBy struct {
	holder wasabiridge.InstanceID
	at     wasabiridge.Millis
	// told is set if this instance has received an update from the holder, and not only its
	// handover.
	told bool
}

// handover is what a holder that releases the lease writes for the next one: which replicas
// got an order of which holder within the last lease term.
type handover struct {
	Orders []handoverOrder `json:"orders,omitempty"`
}

type handoverOrder struct {
	Backend wasabiridge.BackendServerID `json:"backend"`
	Holder  wasabiridge.InstanceID      `json:"holder"`
	Age     wasabiridge.Millis          `json:"age_ms"`
}

// Handover returns what the next holder of the lease has to know if this instance releases it
// now.
func (m *Machine) Handover(now wasabiridge.Millis) string {
	var h handover
	for id, list := range m.recent {
		for _, o := range list {
			if now-o.at < m.timing.LeaseTerm {
				h.Orders = append(h.Orders, handoverOrder{Backend: id, Holder: o.holder, Age: now - o.at})
			}
		}
	}
	slices.SortFunc(h.Orders, func(a, b handoverOrder) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Holder, b.Holder))
	})
	h.Orders = h.Orders[:min(len(h.Orders), maxHandover)]
	return string(wasabirecord.Encode(h))
}

// succeed takes over the handover of the holder before this instance. The ages in it count from
// now, although it may have been written long ago.
//
// It guards against two holders that take turns: a holder restarts, another one orders its
// replicas meanwhile and shuts down, and the first one orders them again without knowing either.
func (m *Machine) succeed(now wasabiridge.Millis, p wasabilease.Previous) {
	if p.Handover == "" {
		return
	}
	var h handover
	if err := json.Unmarshal([]byte(p.Handover), &h); err != nil {
		m.effects = append(m.effects, Succeeded{Previous: p, Err: wasabiridge.ErrInvalid.Wrap(err, "upgrade: handover of holder %q, fencing number %d", p.Holder, p.Fencing)})
		return
	}
	if h.Orders = h.Orders[:min(len(h.Orders), maxHandover)]; len(h.Orders) == 0 {
		return
	}
	for _, o := range h.Orders {
		if o.Age >= 0 && o.Age < m.timing.LeaseTerm {
			m.observeOrder(o.Backend, orderedBy{holder: o.Holder, at: now - o.Age})
		}
	}
	m.effects = append(m.effects, Succeeded{Previous: p, Orders: len(h.Orders)})
}

// observeOrder records an order of a holder. An update that was received outweighs a handover,
// which may be old.
func (m *Machine) observeOrder(id wasabiridge.BackendServerID, o orderedBy) {
	list := m.recent[id]
	i := slices.IndexFunc(list, func(known orderedBy) bool { return known.holder == o.holder })
	switch {
	case i < 0:
		m.recent[id] = append(list, o)
	case o.told || !list[i].told:
		list[i] = o
	}
}

// expireOrders forgets the orders that are older than a lease term.
func (m *Machine) expireOrders(now wasabiridge.Millis) {
	for id, list := range m.recent {
		list = slices.DeleteFunc(list, func(o orderedBy) bool { return now-o.at >= m.timing.LeaseTerm })
		if m.recent[id] = list; len(list) == 0 {
			delete(m.recent, id)
		}
	}
}

// mayBeOrderedByOther reports whether another instance may have sent the replica an order within
// the last lease term, so that this one must not. What it knows from a handover counts only if it
// has sent the replica an order before that one: the lease was released in between, and holders
// may follow each other, but not take turns.
func (m *Machine) mayBeOrderedByOther(now wasabiridge.Millis, id wasabiridge.BackendServerID) bool {
	list := m.recent[id]
	recent := func(o orderedBy) bool { return now-o.at < m.timing.LeaseTerm }
	return slices.ContainsFunc(list, func(o orderedBy) bool {
		return o.holder != m.self && recent(o) && (o.told || slices.ContainsFunc(list, func(own orderedBy) bool {
			return own.holder == m.self && recent(own) && own.at <= o.at
		}))
	})
}

// mayContinue reports whether this instance may go on with an upgrade that it has begun. If it
// lost the lease in the meantime, another holder may have ordered the replica.
func (m *Machine) mayContinue(now wasabiridge.Millis, r *replica) bool {
	return r.fencing == m.grant.Fencing || !m.mayBeOrderedByOther(now, r.server.ID)
}
