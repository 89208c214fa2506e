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
	// contact is how long after it happened every instance in touch knows of an end.
	contact = 3 * wasabiridge.Second
	// hop is how long a message takes, gather how long news is gathered before.
	hop, gather = 3 * wasabiridge.Millis(1), 5 * wasabiridge.Millis(1)
	repeat      = 500 * wasabiridge.Millis(1)
	// tellTries is how often an instance is told that does not answer, tellAgain the time
	// in between.
	tellTries, tellAgain = 6, 400 * wasabiridge.Millis(1)
	// comeBack is when a deferred request comes back.
	comeBack = 400 * wasabiridge.Millis(1)
	// fatalRun is how long a request runs that ends its server, properRun the longest run
	// of others, rebirth how long a server is gone.
	fatalRun, properRun, rebirth = 100 * wasabiridge.Millis(1), 300, 2500 * wasabiridge.Millis(1)
)

// design leaves parts out, to see what they are for.
type design struct{ noIsolation, noNews, noRepeats bool }

// fleet is a pool of servers with the instances before it, in virtual time.
type fleet struct {
	design    design
	agenda    wasabitest.Agenda
	now       wasabiridge.Millis
	random    *rand.Rand
	instances []*instance
	servers   []*server
	attempts  wasabiridge.AttemptID
	// lost is the share of messages that are lost.
	lost float64
	// active is to how many of the instances callers are sent.
	active int
	// arrivals are when the fatal request reached servers, sent by instances in touch, ends
	// when they ended.
	arrivals, ends            []wasabiridge.Millis
	refused, deferred, served map[wasabiridge.Fingerprint]int
	// members are the living instances, by what meet noted.
	met           bool
	members       []wasabiridge.Member
	activeEntries []wasabiridge.InstanceEntry
	names         []wasabiridge.InstanceID
	byID          map[wasabiridge.InstanceID]*instance
	// messages counts those between instances, told the marks in them.
	messages, told int
}

type instance struct {
	fleet       *fleet
	id          wasabiridge.InstanceID
	incarnation wasabiridge.Incarnation
	table       *wasabiquarantine.Table
	spread      *wasabiquarantine.Spread
	telling     bool
	// away says that it neither tells nor hears: it is cut off from the others until
	// back, or frozen, or killed. The last two take no requests either.
	away, frozen, killed bool
	back                 wasabiridge.Millis
}

type server struct {
	id      wasabiridge.BackendServerID
	down    bool
	running map[wasabiridge.AttemptID]func()
}

func newFleet(seed uint64, instances, active, servers int, d design) *fleet {
	f := &fleet{
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

// start begins a new life of an instance.
func (f *fleet) start(i int) {
	if i == len(f.instances) {
		f.instances = append(f.instances, nil)
	}
	n := &instance{fleet: f, id: wasabiridge.InstanceID(fmt.Sprint("i", i)), incarnation: wasabiridge.Incarnation(f.now)}
	n.table = wasabiquarantine.New(wasabiquarantine.Options{Self: n.id, Seed: f.random.Uint64(), Changed: n.wake})
	n.spread = wasabiquarantine.NewSpread(f.random.Uint64())
	f.instances[i] = n
	f.met = false
	f.agenda.Add(f.now, n.tick)
}

func (f *fleet) run(d wasabiridge.Millis) {
	until := f.now + d
	f.agenda.Run(until, func(at wasabiridge.Millis) { f.now = at })
	f.now = until
}

// kill ends an instance for good.
func (n *instance) kill() {
	n.away, n.killed = true, true
	n.fleet.met = false
}

func (n *instance) wake() {
	if n.telling || n.fleet.design.noNews {
		return
	}
	n.telling = true
	n.fleet.agenda.Add(n.fleet.now+gather, func() {
		n.telling = false
		news := n.table.TakeNews(n.fleet.now)
		n.tell(n.fleet.instances[:n.fleet.active], news.Narrow)
		n.tell(n.fleet.instances, news.Wide)
		for _, c := range news.Corrections {
			n.tell([]*instance{n.fleet.byID[c.To]}, c.Marks)
		}
	})
}

func (n *instance) tell(to []*instance, news []wasabiridge.CrashNews) {
	if n.away || len(news) == 0 {
		return
	}
	for _, other := range to {
		if other != nil && other != n {
			n.tellOne(other, news, tellTries)
		}
	}
}

// tellOne tells one other instance, and again when the message is lost or not answered.
func (n *instance) tellOne(other *instance, news []wasabiridge.CrashNews, tries int) {
	f := n.fleet
	if n.away || tries == 0 {
		return
	}
	f.messages++
	f.told += len(news)
	lost := f.random.Float64() < f.lost
	f.agenda.Add(f.now+hop, func() {
		if lost || other.away {
			f.agenda.Add(f.now+tellAgain, func() { n.tellOne(other, news, tries-1) })
			return
		}
		other.table.Observe(f.now, wasabiridge.CrashesHeard{From: n.id, Crashes: news})
	})
}

func (n *instance) tick() {
	if n.killed {
		return
	}
	f := n.fleet
	f.agenda.Add(f.now+repeat, n.tick)
	if n.away {
		return
	}
	n.table.Observe(f.now, wasabiridge.Ticked{})
	n.table.TakeNotes()
	if f.design.noNews {
		return
	}
	f.meet()
	n.table.Meet(f.names)
	if f.design.noRepeats {
		return
	}
	repeated := n.table.Repeated(f.now)
	one, all := n.spread.Targets(f.members, f.activeEntries)
	n.tell(f.named(one), repeated.Narrow)
	n.tell(f.named(append(one, all...)), repeated.Wide)
}

func (f *fleet) named(entries []wasabiridge.InstanceEntry) []*instance {
	var out []*instance
	for _, e := range entries {
		out = append(out, f.byID[e.ID])
	}
	return out
}

// meet notes who is there, when that has changed.
func (f *fleet) meet() {
	if f.met {
		return
	}
	f.met, f.members, f.activeEntries, f.names, f.byID = true, nil, nil, nil, map[wasabiridge.InstanceID]*instance{}
	for i, n := range f.instances {
		if n.killed {
			continue
		}
		e := wasabiridge.InstanceEntry{ID: n.id}
		f.byID[n.id] = n
		f.names = append(f.names, n.id)
		f.members = append(f.members, wasabiridge.Member{InstanceEntry: e, Incarnation: n.incarnation})
		if i < f.active {
			f.activeEntries = append(f.activeEntries, e)
		}
	}
}

// anyInstance is where a caller comes to.
func (f *fleet) anyInstance() *instance { return f.instances[f.random.IntN(len(f.instances))] }

// ask sends a request at an instance, and again as often as told while servers end
// under it. One that is deferred comes back once if told so.
func (f *fleet) ask(n *instance, r wasabiridge.Request, fatal, back bool, retries int) {
	if n.killed || n.frozen {
		return
	}
	standing := n.table.Judge(f.now, r)
	switch standing {
	case wasabiridge.StandingBarred:
		f.refused[r.Fingerprint]++
		return
	case wasabiridge.StandingDeferred:
		f.deferred[r.Fingerprint]++
		if back {
			f.agenda.Add(f.now+comeBack, func() { f.ask(f.anyInstance(), r, fatal, false, retries) })
		}
		return
	}
	s := f.choose(r.Fingerprint, standing == wasabiridge.StandingSuspect && !f.design.noIsolation)
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
		if e.ServerEnded && retries > 0 {
			f.ask(n, r, fatal, back, retries-1)
		}
	}
	s.running[id] = func() { end(crashed) }
	if fatal {
		if !n.away && f.now >= n.back+contact {
			f.arrivals = append(f.arrivals, f.now)
		}
		f.agenda.Add(f.now+fatalRun, func() {
			if s.running[id] != nil {
				f.ends = append(f.ends, f.now)
				f.crash(s)
			}
		})
		return
	}
	f.agenda.Add(f.now+wasabiridge.Millis(1+f.random.IntN(int(properRun))), func() {
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
		if wasabiquarantine.Isolation(fingerprint, a.id) < wasabiquarantine.Isolation(fingerprint, b.id) {
			return -1
		}
		return 1
	})
}

// crash ends a server with all that runs there. It is back after a while.
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
	f.agenda.Add(f.now+rebirth, func() { s.down = false })
}

// further counts how often the fatal request reached a server later than contact after
// it had ended the third.
func (f *fleet) further() int {
	if len(f.ends) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.arrivals {
		if at > f.ends[2]+contact {
			n++
		}
	}
	return n
}
