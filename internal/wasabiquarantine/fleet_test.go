package wasabiquarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiquarantine"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// Times of the fleet.
const (
	// propagation is the time after which every reachable instance knows of a server end.
	propagation = 3 * wasabiridge.Second
	// messageDelay is how long a message takes, batchDelay how long changes are collected
	// before.
	messageDelay, batchDelay = 3 * wasabiridge.Millis(1), 5 * wasabiridge.Millis(1)
	repeatInterval           = 500 * wasabiridge.Millis(1)
	// sendAttempts is how often a message is sent to an instance that does not answer,
	// sendRetryDelay the delay between two attempts.
	sendAttempts, sendRetryDelay = 6, 400 * wasabiridge.Millis(1)
	// deferredRetry is the time after which a deferred request is sent again.
	deferredRetry = 400 * wasabiridge.Millis(1)
	// fatalDuration is how long a fatal request runs until it ends its server, maxDuration
	// the longest run of any other request, restartTime how long a server is down.
	fatalDuration, maxDuration, restartTime = 100 * wasabiridge.Millis(1), 300, 2500 * wasabiridge.Millis(1)
)

// design disables mechanisms, to show what each of them is needed for.
type design struct{ noIsolation, noUpdates, noRepeats bool }

// fleet simulates a pool of backend servers and the instances in front of it in virtual
// time.
type fleet struct {
	design    design
	agenda    wasabitest.EventQueue
	now       wasabiridge.Millis
	random    *rand.Rand
	instances []*instance
	servers   []*server
	attempts  wasabiridge.AttemptID
	// lossRate is the probability that a message is lost.
	lossRate float64
	// active is the number of instances that callers are routed to.
	active int
	// arrivals are the times at which reachable instances sent the fatal request to
	// servers, ends the times at which it ended them. arrivalsOf and endsOf are those of the
	// requests with a part.
	arrivals, ends            []wasabiridge.Millis
	arrivalsOf, endsOf        map[wasabiridge.BlockHash][]wasabiridge.Millis
	refused, deferred, served map[wasabiridge.Fingerprint]int
	// membersCurrent says that the following fields, which updateMembers fills, list the
	// instances that are running.
	membersCurrent bool
	members        []wasabiridge.Member
	activeEntries  []wasabiridge.InstanceEntry
	memberIDs      []wasabiridge.InstanceID
	activeIDs      []wasabiridge.InstanceID
	byID           map[wasabiridge.InstanceID]*instance
	// messages counts the messages between instances, sentRecords the records in them.
	messages, sentRecords int
}

type instance struct {
	fleet         *fleet
	id            wasabiridge.InstanceID
	incarnation   wasabiridge.Incarnation
	table         *wasabiquarantine.Table
	spread        *wasabiquarantine.RecipientSelector
	sendScheduled bool
	// offline says that the instance neither sends nor receives updates: it is partitioned
	// from the others until backAt, or paused, or killed. If paused or killed, it does not
	// take requests either.
	offline, paused, killed bool
	backAt                  wasabiridge.Millis
}

type server struct {
	id      wasabiridge.BackendServerID
	down    bool
	running map[wasabiridge.AttemptID]func()
}

func newFleet(seed uint64, instances, active, servers int, d design) *fleet {
	f := &fleet{
		arrivalsOf: map[wasabiridge.BlockHash][]wasabiridge.Millis{}, endsOf: map[wasabiridge.BlockHash][]wasabiridge.Millis{},
		design: d, now: 1e6, random: rand.New(rand.NewPCG(seed, 0)), active: active,
		refused: map[wasabiridge.Fingerprint]int{}, deferred: map[wasabiridge.Fingerprint]int{}, served: map[wasabiridge.Fingerprint]int{},
	}
	for i := range servers {
		f.servers = append(f.servers, &server{id: wasabiridge.BackendServerID(fmt.Sprint("s", i)), running: map[wasabiridge.AttemptID]func(){}})
	}
	for i := range instances {
		f.start(i)
	}
	return f
}

// start starts an instance, or replaces it with a new process.
func (f *fleet) start(i int) {
	if i == len(f.instances) {
		f.instances = append(f.instances, nil)
	}
	n := &instance{fleet: f, id: wasabiridge.InstanceID(fmt.Sprint("i", i)), incarnation: wasabiridge.Incarnation(f.now)}
	n.table = wasabiquarantine.New(wasabiquarantine.Options{Self: n.id, Seed: f.random.Uint64(), Changed: n.scheduleSend})
	n.spread = wasabiquarantine.NewRecipientSelector(f.random.Uint64())
	f.instances[i] = n
	f.membersCurrent = false
	f.agenda.Schedule(f.now, n.tick)
}

func (f *fleet) run(d wasabiridge.Millis) {
	until := f.now + d
	f.agenda.Run(until, func(at wasabiridge.Millis) { f.now = at })
	f.now = until
}

// kill ends an instance for good.
func (n *instance) kill() {
	n.offline, n.killed = true, true
	n.fleet.membersCurrent = false
}

func (n *instance) scheduleSend() {
	if n.sendScheduled || n.fleet.design.noUpdates {
		return
	}
	n.sendScheduled = true
	n.fleet.agenda.Schedule(n.fleet.now+batchDelay, func() {
		n.sendScheduled = false
		updates := n.table.TakeUpdates(n.fleet.now)
		n.send(n.fleet.instances[:n.fleet.active], updates.Narrow)
		n.send(n.fleet.instances, updates.Wide)
		for _, c := range updates.Corrections {
			n.send([]*instance{n.fleet.byID[c.To]}, c.Records)
		}
	})
}

func (n *instance) send(to []*instance, records []wasabiridge.CrashUpdate) {
	if n.offline || len(records) == 0 {
		return
	}
	for _, other := range to {
		if other != nil && other != n {
			n.sendOne(other, records, sendAttempts)
		}
	}
}

// sendOne sends an update to another instance, and retries when the message is lost or not
// answered.
func (n *instance) sendOne(other *instance, records []wasabiridge.CrashUpdate, attempts int) {
	f := n.fleet
	if n.offline || attempts == 0 {
		return
	}
	f.messages++
	f.sentRecords += len(records)
	lost := f.random.Float64() < f.lossRate
	f.agenda.Schedule(f.now+messageDelay, func() {
		if lost || other.offline {
			f.agenda.Schedule(f.now+sendRetryDelay, func() { n.sendOne(other, records, attempts-1) })
			return
		}
		other.table.Observe(f.now, wasabiridge.CrashesReceived{From: n.id, Crashes: records})
	})
}

func (n *instance) tick() {
	if n.killed {
		return
	}
	f := n.fleet
	f.agenda.Schedule(f.now+repeatInterval, n.tick)
	if n.offline {
		return
	}
	n.table.Observe(f.now, wasabiridge.Ticked{})
	n.table.TakeLogEvents()
	if f.design.noUpdates {
		return
	}
	f.updateMembers()
	n.table.SetMembers(f.memberIDs, f.activeIDs)
	if f.design.noRepeats {
		return
	}
	repeated := n.table.RepeatedUpdates(f.now)
	one, all := n.spread.Targets(f.members, f.activeEntries)
	n.send(f.instancesOf(one), repeated.Narrow)
	n.send(f.instancesOf(append(one, all...)), repeated.Wide)
}

func (f *fleet) instancesOf(entries []wasabiridge.InstanceEntry) []*instance {
	var out []*instance
	for _, e := range entries {
		out = append(out, f.byID[e.ID])
	}
	return out
}

// updateMembers lists the running instances, if they have changed.
func (f *fleet) updateMembers() {
	if f.membersCurrent {
		return
	}
	f.membersCurrent, f.members, f.activeEntries, f.memberIDs, f.activeIDs, f.byID = true, nil, nil, nil, nil, map[wasabiridge.InstanceID]*instance{}
	for i, n := range f.instances {
		if n.killed {
			continue
		}
		e := wasabiridge.InstanceEntry{ID: n.id}
		f.byID[n.id] = n
		f.memberIDs = append(f.memberIDs, n.id)
		f.members = append(f.members, wasabiridge.Member{InstanceEntry: e, Incarnation: n.incarnation})
		if i < f.active {
			f.activeEntries = append(f.activeEntries, e)
			f.activeIDs = append(f.activeIDs, n.id)
		}
	}
}

// anyInstance draws the instance that a caller reaches.
func (f *fleet) anyInstance() *instance { return f.instances[f.random.IntN(len(f.instances))] }

// request sends a request to an instance, with up to retries further attempts while servers
// end under it. A deferred request is sent again once if back is set.
func (f *fleet) request(n *instance, r wasabiridge.Request, fatal, back bool, retries int) {
	if n.killed || n.paused {
		return
	}
	verdict := n.table.Check(f.now, r)
	switch verdict {
	case wasabiridge.QuarantineBlocked:
		f.refused[r.Fingerprint]++
		return
	case wasabiridge.QuarantineDeferred:
		f.deferred[r.Fingerprint]++
		if back {
			f.agenda.Schedule(f.now+deferredRetry, func() { f.request(f.anyInstance(), r, fatal, false, retries) })
		}
		return
	}
	s := f.choose(r.Fingerprint, verdict == wasabiridge.QuarantineSuspect && !f.design.noIsolation)
	if s == nil {
		return
	}
	f.attempts++
	id := f.attempts
	n.table.Sent(f.now, r, id, wasabiridge.BackendServer{ID: s.id})
	end := func(e wasabiridge.AttemptEnded) {
		delete(s.running, id)
		if n.killed {
			return
		}
		e.Attempt = id
		n.table.Observe(f.now, e)
		if e.ServerCrashed && retries > 0 {
			f.request(n, r, fatal, back, retries-1)
		}
	}
	s.running[id] = func() { end(crashed) }
	if fatal {
		if !n.offline && f.now >= n.backAt+propagation {
			f.arrivals = append(f.arrivals, f.now)
			f.arrivalsOf[lastSharedPart(r)] = append(f.arrivalsOf[lastSharedPart(r)], f.now)
		}
		f.agenda.Schedule(f.now+fatalDuration, func() {
			if s.running[id] != nil {
				f.ends = append(f.ends, f.now)
				f.endsOf[lastSharedPart(r)] = append(f.endsOf[lastSharedPart(r)], f.now)
				f.crash(s)
			}
		})
		return
	}
	duration := wasabiridge.Millis(1 + f.random.IntN(int(maxDuration)))
	f.agenda.Schedule(f.now+duration/2, func() {
		if s.running[id] != nil && !n.killed {
			n.table.Observe(f.now, wasabiridge.AttemptFirstToken{Attempt: id})
		}
	})
	f.agenda.Schedule(f.now+duration, func() {
		if s.running[id] != nil {
			f.served[r.Fingerprint]++
			end(answered)
		}
	})
}

func (f *fleet) choose(fingerprint wasabiridge.Fingerprint, isolate bool) *server {
	if !isolate {
		for range 100 * len(f.servers) {
			if s := f.servers[f.random.IntN(len(f.servers))]; !s.down {
				return s
			}
		}
		return nil
	}
	var up []*server
	for _, s := range f.servers {
		if !s.down {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return slices.MaxFunc(up, func(a, b *server) int {
		if wasabiquarantine.IsolationRank(fingerprint, a.id) < wasabiquarantine.IsolationRank(fingerprint, b.id) {
			return -1
		}
		return 1
	})
}

// crash ends a server with everything that runs there. The server restarts after
// restartTime.
func (f *fleet) crash(s *server) {
	if s.down {
		return
	}
	s.down = true
	var ids []wasabiridge.AttemptID
	for id := range s.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if end := s.running[id]; end != nil {
			end()
		}
	}
	f.agenda.Schedule(f.now+restartTime, func() { s.down = false })
}

// lastSharedPart returns the part of a prompt before the last one, or 0.
func lastSharedPart(r wasabiridge.Request) wasabiridge.BlockHash {
	if len(r.Chain.Blocks) < 2 {
		return 0
	}
	return r.Chain.Blocks[len(r.Chain.Blocks)-2]
}

// furtherSends counts how often the fatal request reached a server later than propagation
// after it had ended the third one.
func (f *fleet) furtherSends() int { return sendsAfter(f.arrivals, f.ends, 3) }

// furtherSendsOf counts how often requests with a fatal part reached a server later than
// propagation after they had ended the fifth one. The part is the last shared one.
func (f *fleet) furtherSendsOf(part wasabiridge.BlockHash) int {
	return sendsAfter(f.arrivalsOf[part], f.endsOf[part], 5)
}

// sendsAfter counts the arrivals later than propagation after the n-th end.
func sendsAfter(arrivals, ends []wasabiridge.Millis, n int) int {
	if len(ends) < n {
		return 0
	}
	count := 0
	for _, at := range arrivals {
		if at > ends[n-1]+propagation {
			count++
		}
	}
	return count
}
