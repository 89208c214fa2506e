package wasabiconfig_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// failure is one of the kinds of failures that a history combines.
type failure string

const (
	storeDown      failure = "store down"
	responsesLost  failure = "responses lost after effect"
	instancePaused failure = "instance paused"
	operatorsRace  failure = "operators race"
	routersRestart failure = "routers restart together"
)

var failures = []failure{storeDown, responsesLost, instancePaused, operatorsRace, routersRestart}

const (
	historySeeds = 4
	// episodes is how often each failure occurs in one history.
	episodes = 2
	episode  = 20 * time.Second
	// editsPerEpisode is the number of edits by an operator during an episode.
	editsPerEpisode = 10
	instances       = 5
)

// history runs complete controllers in a synctest bubble.
type history struct {
	*cluster
	rng       *rand.Rand
	processes [instances]*process

	mu      sync.Mutex
	texts   int
	floor   wasabiridge.ConfigVersion
	reverts []string
	// puts holds the result of each edit by its text.
	puts map[string]putAnswer
}

type putAnswer struct {
	version wasabiridge.ConfigVersion
	err     error
}

// process is one incarnation of an instance.
type process struct {
	controller *wasabiconfig.Controller
	end        context.CancelFunc
	gate       *gate
}

// gate pauses a process: none of its calls is sent and none of their responses is
// received during the pause. A paused process sleeps instead of waiting for a lock,
// because virtual time stops while a goroutine of the bubble waits for a lock.
type gate struct{ until atomic.Int64 }

func (g *gate) stop(span time.Duration) { g.until.Store(time.Now().Add(span).UnixNano()) }
func (g *gate) pass()                   { time.Sleep(time.Until(time.Unix(0, g.until.Load()))) }

// pausableTable is a table as used by a process that may be paused.
type pausableTable struct {
	wasabiridge.Table
	*gate
}

func (p pausableTable) Get(ctx context.Context, key string) (wasabiridge.Row, error) {
	p.pass()
	defer p.pass()
	return p.Table.Get(ctx, key)
}

func (p pausableTable) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	p.pass()
	defer p.pass()
	return p.Table.Commit(ctx, tx)
}

func (h *history) boot(i int, incarnation wasabiridge.Incarnation) {
	name := fmt.Sprintf("pos-%d", i)
	l := &process{gate: &gate{}}
	var ctx context.Context
	ctx, l.end = context.WithCancel(context.Background())
	l.controller = wasabiconfig.NewController(wasabiconfig.Options{
		Self: wasabiridge.InstanceID(name), Incarnation: incarnation, Clock: h.clock, Seed: uint64(i) + uint64(incarnation),
		Table: pausableTable{Table: h.startTable, gate: l.gate}, Peers: h, Membership: membershipView{cluster: h.cluster, self: name},
		Adopted: func(cfg wasabiridge.Config) { h.adopted(name, cfg.Version) },
	})
	h.cluster.mu.Lock()
	h.controllers[name] = l.controller
	h.cluster.mu.Unlock()
	h.processes[i] = l
	go l.controller.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			l.gate.pass()
			membershipView{cluster: h.cluster, self: name}.Announce(1)
		}
	}()
}

// adopted raises the floor to the lowest version in force at any instance. No version
// below the floor may come into force again, not even after a restart.
func (h *history) adopted(name string, v wasabiridge.ConfigVersion) {
	h.cluster.mu.Lock()
	lowest := v
	for other, k := range h.controllers {
		if other != name {
			lowest = min(lowest, k.Version())
		}
	}
	h.cluster.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if v < h.floor {
		h.reverts = append(h.reverts, fmt.Sprintf("%s adopted version %d after %d was in force everywhere", name, v, h.floor))
	}
	h.floor = max(h.floor, lowest)
}

// put edits the version in force at an instance, after some time for thinking.
func (h *history) put(k *wasabiconfig.Controller, thinkTime time.Duration) {
	base := k.Version()
	time.Sleep(thinkTime)
	h.mu.Lock()
	h.texts++
	rule := fmt.Sprintf("edit-%d", h.texts)
	h.mu.Unlock()
	version, err := k.Put(context.Background(), base, []byte(text(rule)), rule)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.puts[rule] = putAnswer{version: version, err: err}
}

// inject starts a failure that ends before the episode does.
func (h *history) inject(t failure) {
	switch t {
	case storeDown:
		h.table.Faults().SetPlan(wasabifault.Plan{Seed: h.rng.Uint64(), Unavailable: 0.9, DelayMin: 500, DelayMax: 4000})
	case responsesLost:
		h.table.Faults().SetPlan(wasabifault.Plan{Seed: h.rng.Uint64(), LostAnswer: 0.25, LateEffect: 0.1, MaxEffectDelay: 9000, DelayMax: 60})
	case instancePaused:
		l := h.processes[h.rng.IntN(instances)]
		time.AfterFunc(time.Duration(h.rng.Int64N(int64(3*time.Second))), func() { l.gate.stop(episode / 2) })
	case operatorsRace:
		for i := range instances {
			go h.put(h.processes[i].controller, time.Duration(h.rng.Int64N(int64(100*time.Millisecond))))
		}
	case routersRestart:
		survivor := h.rng.IntN(instances)
		for i, l := range h.processes {
			if i != survivor {
				l.end()
				h.boot(i, wasabiridge.Incarnation(h.rng.Uint64()))
			}
		}
	}
}

// TestHistoriesNeverRevert runs complete controllers under each failure, alone, twice and
// in pairs, while an operator edits.
//
// It guards against these failures: a changed rule reverts to its old form; an edit
// that was reported as refused is in force; two operators are both told that the same
// version is theirs; an instance stays on an old version.
func TestHistoriesNeverRevert(t *testing.T) {
	for i, one := range failures {
		for _, other := range failures[i:] {
			t.Run(string(one)+" and "+string(other), func(t *testing.T) {
				for seed := range uint64(historySeeds) {
					synctest.Test(t, func(t *testing.T) {
						h := newHistory(wasabitest.Seed + seed)
						NewWithT(t).Expect(h.run(one, other)).To(BeEmpty(), "seed %d", seed)
					})
				}
			})
		}
	}
}

// misreportingTable reports every unknown outcome as a conflict.
type misreportingTable struct{ wasabiridge.Table }

func (l misreportingTable) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	err := l.Table.Commit(ctx, tx)
	if errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown) {
		return wasabiridge.ErrConflict.New("misreported outcome")
	}
	return err
}

// TestHistoryCheckerSees injects bugs that the checker must find; otherwise a history
// without violations would prove nothing.
func TestHistoryCheckerSees(t *testing.T) {
	injected := map[string]struct {
		inject func(h *history)
		want   string
	}{
		"an accepted edit that was reported as a conflict": {
			func(h *history) {
				h.startTable = misreportingTable{h.table}
				lost := wasabifault.Outcome{Kind: wasabifault.LostAnswer}
				h.table.Faults().SetNextOutcomes(wasabifault.Write, wasabifault.Outcome{}, lost, lost, lost)
			}, "was answered with version 0",
		},
		"an old version that comes into force again": {
			func(h *history) {
				time.AfterFunc(episode+500*time.Millisecond, func() { h.adopted("pos-1", 1) })
			}, "was in force everywhere",
		},
		"an edit that is never answered": {
			func(h *history) { h.texts++ }, "edits were answered",
		},
	}
	for name, p := range injected {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(wasabitest.Seed)
				p.inject(h)
				NewWithT(t).Expect(h.run(operatorsRace)).To(ContainElement(ContainSubstring(p.want)))
			})
		})
	}
}

func newHistory(seed uint64) *history {
	return &history{cluster: newCluster(), rng: rand.New(rand.NewPCG(seed, 2)), puts: map[string]putAnswer{}}
}

// run starts the failures together, several times, while an operator edits, and returns
// the violations.
func (h *history) run(together ...failure) []string {
	for i := range instances {
		h.boot(i, 1)
	}
	defer func() {
		for _, l := range h.processes {
			l.end()
		}
		time.Sleep(2 * time.Second)
	}()
	h.put(h.processes[0].controller, 0)
	for range episodes {
		for _, failure := range together {
			h.inject(failure)
		}
		for range editsPerEpisode {
			go h.put(h.processes[h.rng.IntN(instances)].controller, time.Duration(h.rng.Int64N(int64(time.Second))))
			time.Sleep(episode / editsPerEpisode)
		}
		h.table.Faults().SetPlan(wasabifault.Plan{})
		time.Sleep(time.Second)
	}
	// An edit may still be in flight for a while after the last failure; after that the
	// newest version must be in force at every instance.
	time.Sleep(time.Minute)
	return h.violations()
}

// violations compares the results of the edits with the accepted versions and those in
// force.
func (h *history) violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.reverts
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	accepted, err := h.processes[0].controller.History(context.Background(), 1000)
	if err != nil || len(accepted) == 0 {
		report("no history: %v", err)
		return found
	}
	versions := map[string]wasabiridge.ConfigVersion{}
	for i, d := range accepted {
		if d.Version != wasabiridge.ConfigVersion(len(accepted)-i) {
			report("the history has a gap before version %d", d.Version)
		}
		if twice, ok := versions[d.Author]; ok {
			report("%s was accepted as version %d and as %d", d.Author, twice, d.Version)
		}
		versions[d.Author] = d.Version
	}
	for i, l := range h.processes {
		if l.controller.Version() != accepted[0].Version {
			report("instance %d has version %d, not %d", i, l.controller.Version(), accepted[0].Version)
		}
	}
	for rule, answer := range h.puts {
		unknown := errorx.IsOfType(answer.err, wasabiridge.ErrOutcomeUnknown)
		if !unknown && versions[rule] != answer.version {
			report("%s was answered with version %d and error %v, but is version %d", rule, answer.version, answer.err, versions[rule])
		}
	}
	if len(h.puts) != h.texts {
		report("%d of %d edits were answered", len(h.puts), h.texts)
	}
	return found
}
