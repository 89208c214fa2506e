package wasabireplica_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// announcement is a set of kinds of announcements that servers make in a history.
type announcement uint8

const (
	leaves announcement = 1 << iota
	pauses
)

// plantedBug is a fault that a history gives to its instances, to show that it is found.
type plantedBug uint8

const (
	noPlantedBug plantedBug = iota
	// uncheckedRetry sends retries to any other server.
	uncheckedRetry
	// listWins forgets all announcements with each list of servers.
	listWins
	// shorterPauseWins replaces a pause by a later one that ends earlier.
	shorterPauseWins
	// wholeSeconds cuts off the fractions of a second of a pause.
	wholeSeconds
)

// announcingServer is a server of a history.
type announcingServer struct {
	id          wasabiridge.BackendServerID
	incarnation wasabiridge.Incarnation
	leaving     bool
	// listed reports that the list contains the server.
	listed bool
	// pauseFor is the pause that the server requests with each refusal until pausing ends.
	// Zero means that it refuses nothing.
	pauseFor wasabiridge.Millis
	arrivals []wasabiridge.Millis
}

// announcingInstance is an instance of a history, with what it received of each server.
type announcingInstance struct {
	*rig
	id wasabiridge.InstanceID
	// leaving holds the incarnation that was announced to be leaving, and pausedUntil the
	// end of the longest pause.
	leaving     map[wasabiridge.BackendServerID]wasabiridge.Incarnation
	pausedUntil map[wasabiridge.BackendServerID]wasabiridge.Millis
	pausedBy    map[wasabiridge.BackendServerID]wasabiridge.Incarnation
	// frozenUntil is the time until which the instance does not run.
	frozenUntil wasabiridge.Millis
}

// announcementHistory simulates instances before servers that announce in their answers
// that they are leaving, or request pauses, while other events replace what is known of
// them.
type announcementHistory struct {
	random    *rand.Rand
	queue     wasabitest.EventQueue
	now, end  wasabiridge.Millis
	bug       plantedBug
	kinds     announcement
	instances []*announcingInstance
	servers   []*announcingServer
	weights   wasabiridge.WeightsVersion
	// disturbed is set while faults are started, and quiet when no requests arrive.
	disturbed, quiet bool
	violations       []string
	// served counts the requests that were answered. The others were refused at once, or
	// found no server or no retry after an attempt that failed.
	served, refusedAtOnce, lost int
}

func newAnnouncementHistory(seed uint64, kinds announcement, instances, servers int, bug plantedBug) *announcementHistory {
	h := &announcementHistory{random: rand.New(rand.NewPCG(seed, 3)), now: 1e6, end: 1e6, bug: bug, kinds: kinds, weights: 1, disturbed: true}
	for i := range servers {
		h.servers = append(h.servers, &announcingServer{id: wasabiridge.BackendServerID(fmt.Sprint("e", i)), incarnation: 10, listed: true})
	}
	for i := range instances {
		a := &announcingInstance{id: wasabiridge.InstanceID(fmt.Sprint("i", i))}
		h.instances = append(h.instances, a)
		h.start(a)
	}
	h.queue.Schedule(h.now, h.tick)
	h.queue.Schedule(h.now, h.arrive)
	h.queue.Schedule(h.now+500, h.disturb)
	return h
}

// start starts an instance, which knows nothing.
func (h *announcementHistory) start(a *announcingInstance) {
	a.rig = newRigOf(a.id, len(h.servers))
	a.now = h.now
	a.leaving, a.pausedUntil, a.pausedBy = map[wasabiridge.BackendServerID]wasabiridge.Incarnation{}, map[wasabiridge.BackendServerID]wasabiridge.Millis{}, map[wasabiridge.BackendServerID]wasabiridge.Incarnation{}
	h.list(a)
}

// list gives an instance the list of servers, which names leaving ones as ready.
func (h *announcementHistory) list(a *announcingInstance) {
	a.pool.Backends = nil
	for _, s := range h.servers {
		if !s.listed {
			continue
		}
		if h.bug == listWins {
			s.incarnation++
			if _, ok := a.leaving[s.id]; ok {
				a.leaving[s.id] = s.incarnation
			}
			if _, ok := a.pausedBy[s.id]; ok {
				a.pausedBy[s.id] = s.incarnation
			}
		}
		a.pool.Backends = append(a.pool.Backends, wasabiridge.BackendServer{
			ID: s.id, Kind: wasabiridge.BackendEngine, URL: "http://" + string(s.id) + ":1", Slots: 8, Zone: "z", Incarnation: s.incarnation,
		})
	}
	a.adopt()
	for _, s := range h.servers {
		a.observe(wasabiridge.WeightsReported{Backend: s.id, Model: model, Weights: h.weights, Incarnation: s.incarnation})
	}
}

func (h *announcementHistory) advance(span wasabiridge.Millis) {
	h.end += span
	h.queue.Run(h.end, func(now wasabiridge.Millis) {
		h.now = now
		for _, a := range h.instances {
			a.now = now
		}
	})
}

func (h *announcementHistory) anyServer() *announcingServer {
	return h.servers[h.random.IntN(len(h.servers))]
}

func (h *announcementHistory) anyInstance() *announcingInstance {
	return h.instances[h.random.IntN(len(h.instances))]
}

// tick sends every running instance the time, and the updates of the others.
func (h *announcementHistory) tick() {
	for _, a := range h.instances {
		if h.now < a.frozenUntil {
			continue
		}
		a.observe(wasabiridge.Ticked{})
		loads, segments := a.placer.TakeUpdates(h.now)
		for _, other := range h.instances {
			if other != a && h.now >= other.frozenUntil {
				other.observe(wasabiridge.PeerPlaced{From: a.id, Loads: loads, Segments: segments})
			}
		}
	}
	h.queue.Schedule(h.now+100, h.tick)
}

func (h *announcementHistory) arrive() {
	if a := h.anyInstance(); !h.quiet && h.now >= a.frozenUntil {
		h.request(a)
	}
	h.queue.Schedule(h.now+wasabiridge.Millis(1+h.random.ExpFloat64()*10), h.arrive)
}

// request places a request as the decider does: admission, then a server, and after a
// refusal another one.
func (h *announcementHistory) request(a *announcingInstance) {
	r := short()
	if h.random.IntN(4) == 0 {
		r = long(uint64(h.random.IntN(5)))
	}
	if a.limiter.Offer(h.now, r).Verdict != wasabiridge.Admitted {
		h.refusedAtOnce++
		return
	}
	pl, id := a.place(r)
	if id == 0 {
		h.lost++
		return
	}
	h.send(a, r, pl, id, nil)
}

// send lets a request arrive at a server, and schedules its answer.
func (h *announcementHistory) send(a *announcingInstance, r wasabiridge.Request, pl wasabiridge.Placement, id wasabiridge.AttemptID, excluded []wasabiridge.BackendServerID) {
	s := h.server(pl.Backend.ID)
	s.arrivals = append(s.arrivals, h.now)
	h.check(a, s, "a request")
	answer := h.answerOf(s, pl.Backend.Incarnation)
	rig := a.rig
	h.queue.Schedule(h.now+answer.after, func() {
		if a.rig != rig {
			return // The instance has restarted.
		}
		if wait := a.frozenUntil - h.now; wait > 0 {
			h.queue.Schedule(a.frozenUntil, func() { h.receive(a, rig, s, answer, r, id, excluded) })
			return
		}
		h.receive(a, rig, s, answer, r, id, excluded)
	})
}

func (h *announcementHistory) server(id wasabiridge.BackendServerID) *announcingServer {
	for _, s := range h.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// serverAnswer is what a server answers.
type serverAnswer struct {
	leaving, refused, broken bool
	pauseFor                 wasabiridge.Millis
	incarnation              wasabiridge.Incarnation
	after                    wasabiridge.Millis
}

func (h *announcementHistory) answerOf(s *announcingServer, sentTo wasabiridge.Incarnation) serverAnswer {
	out := serverAnswer{leaving: s.leaving, incarnation: sentTo, after: wasabiridge.Millis(20 + h.random.IntN(300))}
	switch {
	case sentTo != s.incarnation:
		return serverAnswer{broken: true, incarnation: sentTo, after: 2}
	case s.pauseFor > 0:
		out.refused, out.pauseFor, out.after = true, s.pauseFor, wasabiridge.Millis(1+h.random.IntN(3))
	case h.disturbed && h.random.IntN(40) == 0:
		out.broken, out.leaving = true, false
	}
	return out
}

// receive gives an instance the answer of a server.
func (h *announcementHistory) receive(a *announcingInstance, rig *rig, s *announcingServer, answer serverAnswer, r wasabiridge.Request, id wasabiridge.AttemptID, excluded []wasabiridge.BackendServerID) {
	if a.rig != rig {
		return
	}
	if answer.leaving {
		a.observe(wasabiridge.BackendLeaving{Backend: s.id, Incarnation: answer.incarnation})
		a.leaving[s.id] = answer.incarnation
	}
	if answer.pauseFor > 0 {
		h.requestPause(a, s, answer)
	}
	switch {
	case answer.broken:
		a.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken})
	case !answer.refused:
		h.served++
		a.answer(id)
		return
	default:
		a.end(id, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun, Overloaded: true})
	}
	excluded = append(excluded, s.id)
	if len(excluded) > 1 || !a.limiter.MayRetry(h.now, r) {
		h.lost++
		return
	}
	if h.bug == uncheckedRetry {
		h.check(a, h.anyServer(), "a retry")
		return
	}
	pl, next := a.place(r, excluded...)
	if next == 0 {
		h.lost++
		return
	}
	h.send(a, r, pl, next, excluded)
}

// requestPause gives an instance the request for a pause.
func (h *announcementHistory) requestPause(a *announcingInstance, s *announcingServer, answer serverAnswer) {
	pause := wasabiridge.PauseRequested{Backend: s.id, Incarnation: answer.incarnation, Duration: answer.pauseFor}
	until := h.now + answer.pauseFor
	switch {
	case h.bug == wholeSeconds:
		pause.Duration -= pause.Duration % wasabiridge.Second
	case h.bug == shorterPauseWins && until < a.pausedUntil[s.id]:
		s.incarnation++
		pause.Incarnation = s.incarnation
		h.list(a)
	}
	a.observe(pause)
	if a.pausedBy[s.id] != pause.Incarnation && h.bug != shorterPauseWins {
		a.pausedUntil[s.id] = 0
	}
	a.pausedUntil[s.id], a.pausedBy[s.id] = max(a.pausedUntil[s.id], until), pause.Incarnation
}

// check records a violation if a server receives what it has stated to the instance that
// it accepts no more.
func (h *announcementHistory) check(a *announcingInstance, s *announcingServer, what string) {
	if incarnation, ok := a.leaving[s.id]; ok && incarnation == s.incarnation {
		h.violations = append(h.violations, fmt.Sprintf("%d: %s of %s reaches %s, which is leaving", h.now, what, a.id, s.id))
	}
	if left := a.pausedUntil[s.id] - h.now; left > 0 && a.pausedBy[s.id] == s.incarnation {
		h.violations = append(h.violations, fmt.Sprintf("%d: %s of %s reaches %s, whose pause lasts %d ms more", h.now, what, a.id, s.id, left))
	}
}

// disturb starts an event that may replace what an instance knows of a server.
func (h *announcementHistory) disturb() {
	if !h.disturbed {
		return
	}
	s, a := h.anyServer(), h.anyInstance()
	switch h.random.IntN(12) {
	case 0:
		s.leaving = h.kinds&leaves != 0
	case 1, 2:
		if h.kinds&pauses != 0 {
			s.pauseFor = wasabiridge.Millis(100 + h.random.IntN(4000))
			h.queue.Schedule(h.now+wasabiridge.Millis(200+h.random.IntN(3000)), func() { s.pauseFor = 0 })
		}
	case 3:
		h.restartServer(s)
	case 4:
		s.listed = !s.listed
		h.listAll()
	case 5:
		h.listAll()
	case 6:
		h.weights++
		for _, a := range h.instances {
			a.observe(wasabiridge.TargetWeightsSet{Model: model, Weights: h.weights, At: h.now})
		}
		h.listAll()
	case 7:
		until := h.now + wasabiridge.Millis(h.random.IntN(1000))
		a.observe(wasabiridge.BackendInBackoff{Backend: s.id, Until: until})
		h.queue.Schedule(until, func() { a.observe(wasabiridge.BackendInBackoff{Backend: s.id}) })
	case 8:
		a.observe(wasabiridge.BackendDraining{Backend: s.id, Until: h.now + 500})
		a.observe(wasabiridge.BackendLost{Backend: s.id})
	case 9:
		h.start(a)
	case 10:
		a.frozenUntil = h.now + wasabiridge.Millis(h.random.IntN(5000))
	case 11:
		if to, ok := a.placer.MigrationTarget(h.now, short(), wasabiridge.BackendServer{}, h.weights, nil); ok && h.now >= a.frozenUntil {
			h.check(a, h.server(to.ID), "a migration")
		}
	}
	h.queue.Schedule(h.now+wasabiridge.Millis(50+h.random.IntN(400)), h.disturb)
}

// restartServer starts a new incarnation of a server, which the list names after a while.
func (h *announcementHistory) restartServer(s *announcingServer) {
	s.incarnation += 10
	s.leaving, s.pauseFor, s.listed = false, 0, true
	h.queue.Schedule(h.now+wasabiridge.Millis(h.random.IntN(1000)), h.listAll)
}

func (h *announcementHistory) listAll() {
	for _, a := range h.instances {
		if h.now >= a.frozenUntil {
			h.list(a)
		}
	}
}

// settle ends all faults and checks that every instance would send requests again to
// every server that is neither leaving nor paused.
func (h *announcementHistory) settle() {
	h.disturbed = false
	for _, s := range h.servers {
		s.pauseFor, s.listed = 0, true
	}
	h.advance(6 * wasabiridge.Second)
	h.listAll()
	h.advance(4 * wasabiridge.Second)
	h.quiet = true
	h.advance(wasabiridge.Second)
	for _, a := range h.instances {
		for _, s := range h.servers {
			if !s.leaving && !h.takesRequests(a, s) {
				h.violations = append(h.violations, fmt.Sprintf("%s would send nothing to %s any more", a.id, s.id))
			}
		}
	}
}

// takesRequests reports whether an instance would send a request to a server if it were
// the only one.
func (h *announcementHistory) takesRequests(a *announcingInstance, s *announcingServer) bool {
	var others []wasabiridge.BackendServerID
	for _, other := range h.servers {
		if other != s {
			others = append(others, other.id)
		}
	}
	_, ok := a.placer.Place(h.now, wasabiridge.PlaceQuery{Request: short(), Pool: a.pool, Excluded: others})
	return ok
}

// playAnnouncements plays the history that follows from a seed, and returns its first
// violation, if any.
func playAnnouncements(seed uint64, kinds announcement, bug plantedBug) string {
	h := newAnnouncementHistory(seed, kinds, 1+int(seed%4), 2+int(seed%5), bug)
	h.advance(20 * wasabiridge.Second)
	h.settle()
	if len(h.violations) == 0 {
		return ""
	}
	return fmt.Sprintf("seed %d: %d violations, first at %s", seed, len(h.violations), h.violations[0])
}
