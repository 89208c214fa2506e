package wasabistream_test

import (
	"fmt"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabistream"
)

// disturb starts a fault, or a change of the servers.
func (h *streamHistory) disturb() {
	h.after(wasabiridge.Millis(50+h.random.IntN(900)), h.disturb)
	a := h.instances[h.random.IntN(len(h.instances))]
	switch h.random.IntN(12) {
	case 0, 1:
		h.kill(a)
	case 2:
		for _, b := range h.instances {
			if h.random.IntN(10) < 6 {
				h.kill(b)
			}
		}
	case 3:
		a.frozen = h.now + wasabiridge.Millis(h.random.IntN(4000))
	case 4:
		h.storeAway = true
		h.after(wasabiridge.Millis(h.random.IntN(4000)), func() { h.storeAway = false })
	case 5, 6:
		to := store
		if h.random.IntN(2) == 0 {
			to = h.instances[h.random.IntN(len(h.instances))].id
		}
		pair := [2]wasabiridge.InstanceID{a.id, to}
		h.cut[pair] = true
		h.after(wasabiridge.Millis(h.random.IntN(5000)), func() { delete(h.cut, pair) })
	case 7:
		h.newest++
		h.replace(h.newest)
	case 8:
		h.replace(1 + h.random.IntN(h.newest))
	case 9:
		for _, s := range h.servers {
			s.alive = s.alive && h.random.IntN(3) > 0
		}
		h.after(200, func() { h.add(h.newest) })
	default:
		h.servers[h.random.IntN(len(h.servers))].alive = false
		h.add(1 + h.random.IntN(h.newest))
	}
}

// flash has a new version serve for a short time before one that has served alone. Then its
// servers, or all others, end, and most instances are killed.
func (h *streamHistory) flash() {
	h.newest++
	version := wasabiridge.SoftwareVersion(fmt.Sprint("v", h.newest))
	h.add(h.newest)
	h.add(h.newest)
	delay := wasabiridge.Millis(100 + h.random.IntN(700))
	var spared *instance
	switch h.random.IntN(4) {
	case 0:
		delay += wasabistream.SettleTime
	case 1:
		// Nobody can register the version.
		h.writesFail = true
		delay += wasabistream.SettleTime + 300
	default:
		// One instance does not see the version, and is notified nothing.
		spared = h.instances[h.random.IntN(len(h.instances))]
		h.isolate(spared, delay)
	}
	newEnds := h.random.IntN(3) > 0
	h.after(delay, func() {
		for _, s := range h.servers {
			s.alive = s.alive && (s.software == version) != newEnds
		}
		for _, a := range h.instances {
			if a != spared {
				h.kill(a)
			}
		}
		h.writesFail = false
	})
}

// isolate cuts an instance off from the store and all others for a time.
func (h *streamHistory) isolate(a *instance, span wasabiridge.Millis) {
	pairs := [][2]wasabiridge.InstanceID{{a.id, store}}
	for _, b := range h.instances {
		pairs = append(pairs, [2]wasabiridge.InstanceID{a.id, b.id})
	}
	for _, p := range pairs {
		h.cut[p] = true
	}
	h.after(span, func() {
		for _, p := range pairs {
			delete(h.cut, p)
		}
	})
}

// replace starts servers of a version and ends others, one after the other.
func (h *streamHistory) replace(version int) {
	for i := range 3 {
		h.after(wasabiridge.Millis(400*i), func() {
			h.add(version)
			h.servers[h.random.IntN(len(h.servers))].alive = false
		})
	}
}

func (h *streamHistory) kill(a *instance) {
	if !a.alive {
		return
	}
	a.alive = false
	h.after(wasabiridge.Millis(300+h.random.IntN(900)), func() { h.start(a) })
}
