package wasabirollout_test

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabirollout"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

// trial draws the answers of a trial and asks for a verdict after each of the new version.
type trial struct {
	random   *rand.Rand
	evidence wasabirollout.Evidence
	counts   map[wasabiridge.BackendServerID]wasabiridge.SoftwareAnswers
}

func newTrial(seed uint64) *trial {
	return &trial{random: rand.New(rand.NewPCG(seed, 0)), counts: map[wasabiridge.BackendServerID]wasabiridge.SoftwareAnswers{}}
}

// answer counts an answer of a server, which fails and is slow with the given chances.
func (t *trial) answer(server wasabiridge.BackendServerID, failed, slow float64) {
	c := t.counts[server]
	c.Pool, c.Rule, c.Backend = "p", "r", server
	c.Total++
	if t.random.Float64() < failed {
		c.Failed++
	}
	if t.random.Float64() < slow {
		c.Slow++
	}
	t.counts[server] = c
	t.evidence.Add("i", []wasabiridge.SoftwareAnswers{c})
}

// run returns after how many answers of the new version, and how many bad ones of them, it is
// found to be bad. It reports false if it is not within n answers. There are 32 answers of the
// old versions for each of the new one, as in a trial.
func (t *trial) run(n, servers int, failed, slow func(i, server int) float64) (answers, bad int, found bool) {
	for i := range n {
		for range 32 {
			t.answer("", 0.01, 0.25)
		}
		s := t.random.IntN(servers)
		t.answer(wasabiridge.BackendServerID(fmt.Sprint("new", s)), failed(i, s), slow(i, s))
		if t.evidence.Verdict().Bad {
			for _, c := range t.counts {
				if c.Backend != "" {
					bad += int(max(c.Failed, c.Slow))
				}
			}
			return i + 1, bad, true
		}
	}
	return n, 0, false
}

func always(chance float64) func(int, int) float64 { return func(int, int) float64 { return chance } }

var _ = Describe("The verdict on a new software version", func() {
	It("takes at most one of 200 good versions for a bad one", func() {
		wrong := 0
		for seed := range uint64(400) {
			if _, _, found := newTrial(seed).run(150, 6, always(0.01), always(0.25)); found {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<=", 2))
	})

	for name, c := range map[string]struct{ failed, slow float64 }{
		"every answer fails":            {1, 0.25},
		"a third of them fail":          {0.33, 0.25},
		"all take three times the time": {0.01, 0.8},
		"all take ten times the time":   {0.01, 1},
	} {
		It("finds a version with at most 50 bad answers if "+name, func() {
			for seed := range uint64(100) {
				_, bad, found := newTrial(seed).run(400, 6, always(c.failed), always(c.slow))
				Expect(found).To(BeTrue(), fmt.Sprint(seed))
				Expect(bad).To(BeNumerically("<=", 50), fmt.Sprint(seed))
			}
		})
	}

	It("finds a version that turns bad only after a while", func() {
		late := func(i, _ int) float64 {
			if i < 60 {
				return 0.01
			}
			return 0.5
		}
		for seed := range uint64(100) {
			answers, _, found := newTrial(seed).run(400, 6, late, always(0.25))
			Expect(found && answers <= 60+50).To(BeTrue(), fmt.Sprint(seed))
		}
	})

	It("does not blame the version for one bad server of several", func() {
		one := func(_, server int) float64 {
			if server == 0 {
				return 1
			}
			return 0.01
		}
		wrong := 0
		for seed := range uint64(200) {
			if _, _, found := newTrial(seed).run(150, 6, one, always(0.25)); found {
				wrong++
			}
		}
		Expect(wrong).To(BeNumerically("<=", 1))
	})

	It("does not depend on the order and number of the messages", func() {
		var e wasabirollout.Evidence
		later := []wasabiridge.SoftwareAnswers{{Rule: "r", Backend: "b", Total: 40, Failed: 30}, {Rule: "r", Total: 400, Failed: 3}}
		e.Add("i", later)
		e.Add("i", []wasabiridge.SoftwareAnswers{{Rule: "r", Backend: "b", Total: 10, Failed: 1}, {Rule: "r", Total: 100, Failed: 3}})
		e.Add("i", later)
		v := e.Verdict()
		Expect(v.Bad).To(BeTrue())
		Expect([]uint64{v.Answers, v.BadAnswers, v.OldAnswers, v.OldBad}).To(Equal([]uint64{40, 30, 400, 3}))
	})
})

var _ = Describe("The phase of a software rollout", func() {
	order := wasabiridge.SoftwareRollout{Pool: "p", To: "v2", Duration: 12000, Order: 7, Phase: wasabiridge.RolloutTrial}
	base := wasabirollout.SoftwareState{Rollout: order, Since: 1000, PhaseSince: 1000, MaxShare: 0.1, Old: 4, New: 2}
	shifting := base
	shifting.Rollout = order.WithPhase(wasabiridge.RolloutShift)
	shifting.PhaseSince = 12300
	with := func(s wasabirollout.SoftwareState, change func(s *wasabirollout.SoftwareState)) wasabirollout.SoftwareState {
		change(&s)
		return s
	}
	bad := wasabirollout.Verdict{Bad: true}
	for name, c := range map[string]struct {
		now   wasabiridge.Millis
		state wasabirollout.SoftwareState
		want  wasabiridge.RolloutPhase
	}{
		"is a trial at first":              {2000, base, wasabiridge.RolloutTrial},
		"is a trial most of the time":      {12000, base, wasabiridge.RolloutTrial},
		"is the shift before the deadline": {12300, base, wasabiridge.RolloutShift},
		"stays without servers of the version": {
			20000, with(base, func(s *wasabirollout.SoftwareState) { s.New = 0 }), wasabiridge.RolloutTrial,
		},
		"is completed without servers of other versions": {
			1100, with(base, func(s *wasabirollout.SoftwareState) { s.Old = 0 }), wasabiridge.RolloutCompleted,
		},
		"is rolled back during the trial": {
			2000, with(base, func(s *wasabirollout.SoftwareState) { s.Verdict = bad }), wasabiridge.RolloutRolledBack,
		},
		"is rolled back during the shift": {
			12500, with(shifting, func(s *wasabirollout.SoftwareState) { s.Verdict = bad }), wasabiridge.RolloutRolledBack,
		},
		"waits for requests at the old versions, also beyond the deadline": {14000, shifting, wasabiridge.RolloutShift},
		"is completed when the old versions have nothing in flight": {
			13100, with(shifting, func(s *wasabirollout.SoftwareState) { s.DrainedSince = 12700 }), wasabiridge.RolloutCompleted,
		},
		"waits until all instances take part in the shift": {
			12800, with(shifting, func(s *wasabirollout.SoftwareState) { s.DrainedSince = 12300 }), wasabiridge.RolloutShift,
		},
		"waits for requests that it does not know of where it knows a part of the servers": {
			15000, with(shifting, func(s *wasabirollout.SoftwareState) { s.Parted, s.DrainedSince = true, 12300 }), wasabiridge.RolloutShift,
		},
		"stays completed with later evidence": {
			20000, with(base, func(s *wasabirollout.SoftwareState) {
				s.Verdict, s.Rollout = bad, order.WithPhase(wasabiridge.RolloutCompleted)
			}), wasabiridge.RolloutCompleted,
		},
	} {
		It(name, func() {
			phase, _ := wasabirollout.Decide(c.now, c.state)
			Expect(phase).To(Equal(c.want))
		})
	}

	It("exposes fewer requests until the deadline than a bad version may get", func() {
		for _, share := range []float64{0.02, 0.1, 0.3} {
			shift := float64(wasabirollout.ShiftAfter(100000, share)) / 100000
			Expect(wasabirollout.TrialShare*share*shift + 1 - shift).To(BeNumerically("<=", share*wasabirollout.ExposureShare+1e-4))
		}
	})
})

var _ = Describe("The stored phase of a software rollout", func() {
	ctx := context.Background()
	source := func(table wasabiridge.Table, order uint64) wasabiridge.RolloutPhase {
		GinkgoHelper()
		orders := ordersOf{{Pool: "p", To: "v2", Order: order, Phase: wasabiridge.RolloutTrial}}
		s, err := wasabirollout.NewSoftwareSource(orders, table).ReadConfig(ctx)
		Expect(err).NotTo(HaveOccurred())
		return s.Rollouts[0].Phase
	}
	store := func(table wasabiridge.Table, order uint64, p wasabiridge.RolloutPhase) error {
		return wasabirollout.StorePhase(ctx, table, fmt.Sprint(order, p), wasabiridge.SoftwareRollout{Pool: "p", To: "v2", Order: order, Phase: p})
	}

	// Guards against an instance that wakes up and undoes what the others have decided since.
	It("only advances, and belongs to one order", func() {
		table := wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: wasabiclock.System()})
		Expect(source(table, 5)).To(Equal(wasabiridge.RolloutTrial))
		Expect(store(table, 5, wasabiridge.RolloutShift)).To(Succeed())
		Expect(store(table, 5, wasabiridge.RolloutTrial)).To(Succeed())
		Expect(source(table, 5)).To(Equal(wasabiridge.RolloutShift))
		Expect(store(table, 5, wasabiridge.RolloutRolledBack)).To(Succeed())
		Expect(store(table, 5, wasabiridge.RolloutCompleted)).To(Succeed())
		Expect(source(table, 5)).To(Equal(wasabiridge.RolloutRolledBack))
		Expect(store(table, 6, wasabiridge.RolloutTrial)).To(Succeed())
		Expect(source(table, 6)).To(Equal(wasabiridge.RolloutTrial))
		Expect(store(table, 5, wasabiridge.RolloutCompleted)).To(Satisfy(func(err error) bool { return errorx.IsOfType(err, wasabiridge.ErrConflict) }))
	})
})

// ordersOf is a source whose configuration has some orders.
type ordersOf []wasabiridge.SoftwareRollout

func (o ordersOf) ReadConfig(context.Context) (wasabiridge.ConfigSnapshot, error) {
	return wasabiridge.ConfigSnapshot{Rollouts: append([]wasabiridge.SoftwareRollout(nil), o...)}, nil
}

func (ordersOf) ReadBackends(context.Context) (wasabiridge.BackendSnapshot, error) {
	return wasabiridge.BackendSnapshot{}, nil
}
