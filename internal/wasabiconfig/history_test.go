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

// trouble is one of the failures that histories mix.
type trouble string

const (
	storeDown     trouble = "store down"
	answersLost   trouble = "answers lost after effect"
	holderPaused  trouble = "instance paused"
	operatorsRace trouble = "operators race"
	routersHerd   trouble = "routers restart in a herd"
)

var troubles = []trouble{storeDown, answersLost, holderPaused, operatorsRace, routersHerd}

const (
	historySeeds = 4
	// episodes is how often each trouble comes in one history.
	episodes = 2
	episode  = 20 * time.Second
	// editsPerEpisode spreads edits of an operator over an episode.
	editsPerEpisode = 10
	instances       = 5
)

// history is a run of whole keepers in a bubble of virtual time.
type history struct {
	*mesh
	rng   *rand.Rand
	lives [instances]*life

	mu      sync.Mutex
	texts   int
	floor   wasabiridge.ConfigVersion
	reverts []string
	// puts holds the answer to each text that an operator put.
	puts map[string]putAnswer
}

type putAnswer struct {
	version wasabiridge.ConfigVersion
	err     error
}

// life is one life of an instance.
type life struct {
	keeper *wasabiconfig.Keeper
	end    context.CancelFunc
	gate   *gate
}

// gate stops a process for a while: none of its calls goes out and none of
// their answers comes in. A waiting process sleeps, because a bubble of
// virtual time stands still while one waits for a lock.
type gate struct{ until atomic.Int64 }

func (g *gate) stop(span time.Duration) { g.until.Store(time.Now().Add(span).UnixNano()) }
func (g *gate) pass()                   { time.Sleep(time.Until(time.Unix(0, g.until.Load()))) }

// paused is a table as a process that may be paused sees it.
type paused struct {
	wasabiridge.Table
	*gate
}

func (p paused) Get(ctx context.Context, key string) (wasabiridge.Row, error) {
	p.pass()
	defer p.pass()
	return p.Table.Get(ctx, key)
}

func (p paused) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	p.pass()
	defer p.pass()
	return p.Table.Commit(ctx, tx)
}

func (h *history) boot(i int, incarnation wasabiridge.Incarnation) {
	name := fmt.Sprintf("pos-%d", i)
	l := &life{gate: &gate{}}
	var ctx context.Context
	ctx, l.end = context.WithCancel(context.Background())
	l.keeper = wasabiconfig.NewKeeper(wasabiconfig.Options{
		Self: wasabiridge.InstanceID(name), Incarnation: incarnation, Clock: h.clock, Seed: uint64(i) + uint64(incarnation),
		Table: paused{Table: h.via, gate: l.gate}, Peers: h, Membership: view{mesh: h.mesh, self: name},
		Adopted: func(cfg wasabiridge.Config) { h.adopted(name, cfg.Version) },
	})
	h.mesh.mu.Lock()
	h.keepers[name] = l.keeper
	h.mesh.mu.Unlock()
	h.lives[i] = l
	go l.keeper.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			l.gate.pass()
			view{mesh: h.mesh, self: name}.Announce(1)
		}
	}()
}

// adopted raises the floor to the version that every instance has. Nothing
// below the floor may come into force again, not even after a restart.
func (h *history) adopted(name string, v wasabiridge.ConfigVersion) {
	h.mesh.mu.Lock()
	lowest := v
	for other, k := range h.keepers {
		if other != name {
			lowest = min(lowest, k.Version())
		}
	}
	h.mesh.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	if v < h.floor {
		h.reverts = append(h.reverts, fmt.Sprintf("%s took version %d after %d was in force everywhere", name, v, h.floor))
	}
	h.floor = max(h.floor, lowest)
}

// put edits from what an operator sees at an instance, after thinking.
func (h *history) put(k *wasabiconfig.Keeper, thinking time.Duration) {
	base := k.Version()
	time.Sleep(thinking)
	h.mu.Lock()
	h.texts++
	rule := fmt.Sprintf("edit-%d", h.texts)
	h.mu.Unlock()
	version, err := k.Put(context.Background(), base, []byte(text(rule)), rule)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.puts[rule] = putAnswer{version: version, err: err}
}

// cause begins a trouble and ends it before the episode does.
func (h *history) cause(t trouble) {
	switch t {
	case storeDown:
		h.table.Faults().SetPlan(wasabifault.Plan{Seed: h.rng.Uint64(), Unavailable: 0.9, DelayMin: 500, DelayMax: 4000})
	case answersLost:
		h.table.Faults().SetPlan(wasabifault.Plan{Seed: h.rng.Uint64(), LostAnswer: 0.25, LateEffect: 0.1, Lateness: 9000, DelayMax: 60})
	case holderPaused:
		l := h.lives[h.rng.IntN(instances)]
		time.AfterFunc(time.Duration(h.rng.Int64N(int64(3*time.Second))), func() { l.gate.stop(episode / 2) })
	case operatorsRace:
		for i := range instances {
			go h.put(h.lives[i].keeper, time.Duration(h.rng.Int64N(int64(100*time.Millisecond))))
		}
	case routersHerd:
		survivor := h.rng.IntN(instances)
		for i, l := range h.lives {
			if i != survivor {
				l.end()
				h.boot(i, wasabiridge.Incarnation(h.rng.Uint64()))
			}
		}
	}
}

// TestHistoriesNeverRevert runs whole keepers under each failure, alone, twice
// and in pairs. An operator edits all the while.
//
// What a user would see if a guard failed: a rule that was changed is back as
// it was; an edit that was reported as refused is in force; two operators are
// both told that version 7 is theirs; an instance stays on an old version.
func TestHistoriesNeverRevert(t *testing.T) {
	for i, one := range troubles {
		for _, other := range troubles[i:] {
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

// liar is a table that calls every unknown outcome a conflict.
type liar struct{ wasabiridge.Table }

func (l liar) Commit(ctx context.Context, tx wasabiridge.Transaction) error {
	err := l.Table.Commit(ctx, tx)
	if errorx.IsOfType(err, wasabiridge.ErrOutcomeUnknown) {
		return wasabiridge.ErrConflict.New("lie")
	}
	return err
}

// TestHistoryCheckerSees plants faults that the checker has to find, or a
// history without breaches would mean nothing.
func TestHistoryCheckerSees(t *testing.T) {
	planted := map[string]struct {
		plant func(h *history)
		says  string
	}{
		"an accepted edit that was called a conflict": {
			func(h *history) {
				h.via = liar{h.table}
				lost := wasabifault.Fate{Kind: wasabifault.LostAnswer}
				h.table.Faults().Script(wasabifault.Write, wasabifault.Fate{}, lost, lost, lost)
			}, "was answered with version 0",
		},
		"an old version that comes back": {
			func(h *history) {
				time.AfterFunc(episode+500*time.Millisecond, func() { h.adopted("pos-1", 1) })
			}, "was in force everywhere",
		},
		"an edit that is never answered": {
			func(h *history) { h.texts++ }, "edits were answered",
		},
	}
	for name, p := range planted {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHistory(wasabitest.Seed)
				p.plant(h)
				NewWithT(t).Expect(h.run(operatorsRace)).To(ContainElement(ContainSubstring(p.says)))
			})
		})
	}
}

func newHistory(seed uint64) *history {
	return &history{mesh: newMesh(), rng: rand.New(rand.NewPCG(seed, 2)), puts: map[string]putAnswer{}}
}

// run causes the troubles at once, several times, while an operator edits, and
// returns the promises that were broken.
func (h *history) run(together ...trouble) []string {
	for i := range instances {
		h.boot(i, 1)
	}
	defer func() {
		for _, l := range h.lives {
			l.end()
		}
		time.Sleep(2 * time.Second)
	}()
	h.put(h.lives[0].keeper, 0)
	for range episodes {
		for _, trouble := range together {
			h.cause(trouble)
		}
		for range editsPerEpisode {
			go h.put(h.lives[h.rng.IntN(instances)].keeper, time.Duration(h.rng.Int64N(int64(time.Second))))
			time.Sleep(episode / editsPerEpisode)
		}
		h.table.Faults().SetPlan(wasabifault.Plan{})
		time.Sleep(time.Second)
	}
	// An edit may go on for a while after the last trouble; then nothing may
	// be left that is not in force everywhere.
	time.Sleep(time.Minute)
	return h.breaches()
}

// breaches compares what operators were told with what was accepted and what
// is in force.
func (h *history) breaches() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.reverts
	say := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	accepted, err := h.lives[0].keeper.History(context.Background(), 1000)
	if err != nil || len(accepted) == 0 {
		say("no history: %v", err)
		return found
	}
	versions := map[string]wasabiridge.ConfigVersion{}
	for i, d := range accepted {
		if d.Version != wasabiridge.ConfigVersion(len(accepted)-i) {
			say("the history has a gap before version %d", d.Version)
		}
		if twice, ok := versions[d.Author]; ok {
			say("%s was accepted as version %d and as %d", d.Author, twice, d.Version)
		}
		versions[d.Author] = d.Version
	}
	for i, l := range h.lives {
		if l.keeper.Version() != accepted[0].Version {
			say("instance %d has version %d, not %d", i, l.keeper.Version(), accepted[0].Version)
		}
	}
	for rule, answer := range h.puts {
		unknown := errorx.IsOfType(answer.err, wasabiridge.ErrOutcomeUnknown)
		if !unknown && versions[rule] != answer.version {
			say("%s was answered with version %d and %v, but is version %d", rule, answer.version, answer.err, versions[rule])
		}
	}
	if len(h.puts) != h.texts {
		say("%d of %d edits were answered", len(h.puts), h.texts)
	}
	return found
}
