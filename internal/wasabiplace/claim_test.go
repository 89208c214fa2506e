package wasabiplace_test

import (
	"flag"
	"fmt"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplace"
	"github.com/wasabiridge/wasabiridge/internal/wasabiprefix"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
)

// engineVersion identifies one incarnation of one engine with one version of
// the weights.
type engineVersion struct {
	backend     wasabiridge.BackendServerID
	incarnation wasabiridge.Incarnation
	weights     wasabiridge.WeightsVersion
}

type engineModel struct {
	incarnation wasabiridge.Incarnation
	weights     wasabiridge.WeightsVersion
	sequence    uint64
}

type openAttempt struct {
	request       wasabiridge.Request
	placement     wasabiridge.Placement
	engineVersion engineVersion
}

// claimModel drives a placer with events in any order, early, late, lost or
// repeated, and tracks which blocks each engineVersion may hold.
type claimModel struct {
	now              wasabiridge.Millis
	placer           *wasabiplace.Placer
	pool             wasabiridge.Pool
	engines          map[wasabiridge.BackendServerID]*engineModel
	possiblyHeld     map[engineVersion]map[wasabiridge.BlockHash]bool
	announcedWeights map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion
	leavingServers   map[wasabiridge.BackendServerID]bool
	openAttempts     map[wasabiridge.AttemptID]*openAttempt
	next             wasabiridge.AttemptID
	pastEvents       []wasabiridge.Event
}

func newClaimModel(seed uint64, servers, smallPool int) *claimModel {
	m := &claimModel{
		now:              1000,
		placer:           wasabiplace.New(wasabiplace.Options{Seed: seed, SmallPool: smallPool}),
		pool:             benchPool(servers),
		engines:          make(map[wasabiridge.BackendServerID]*engineModel),
		possiblyHeld:     make(map[engineVersion]map[wasabiridge.BlockHash]bool),
		announcedWeights: make(map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion),
		leavingServers:   make(map[wasabiridge.BackendServerID]bool),
		openAttempts:     make(map[wasabiridge.AttemptID]*openAttempt),
	}
	for _, b := range m.pool.Backends {
		m.engines[b.ID] = &engineModel{incarnation: 1, weights: 1}
		m.report(b.ID, false)
	}
	return m
}

func (m *claimModel) report(id wasabiridge.BackendServerID, leaving bool) {
	e := m.engines[id]
	event := wasabiridge.LoadReported{Report: wasabiridge.LoadReport{
		Backend: id, Incarnation: e.incarnation, Weights: e.weights, MeasuredAt: m.now, Leaving: leaving,
	}}
	m.pastEvents = append(m.pastEvents, event)
	m.announcedWeights[id] = e.weights
	m.placer.Observe(m.now, event)
}

func (m *claimModel) recordHeld(l engineVersion, blocks ...wasabiridge.BlockHash) {
	if m.possiblyHeld[l] == nil {
		m.possiblyHeld[l] = make(map[wasabiridge.BlockHash]bool)
	}
	for _, b := range blocks {
		m.possiblyHeld[l][b] = true
	}
}

func drawRequest(t *rapid.T, weights wasabiridge.WeightsVersion) wasabiridge.Request {
	root := wasabiridge.CacheRoot{
		Account: rapid.SampledFrom([]wasabiridge.ClientAccountID{"a", "b"}).Draw(t, "account"),
		Model:   "m", Weights: weights,
	}
	text := rapid.SampledFrom([]string{"mmmmhhhh", "mmmmiiii", "mmmmhhhhkkkk", "nnnn", "nnnnoooo"}).Draw(t, "prompt")
	return wasabiridge.Request{
		Account: root.Account,
		Chain:   wasabiprefix.NewChain(root, []byte(text), 1),
		Action:  wasabiridge.Action{Pool: "answer", Weights: weights},
	}
}

func (m *claimModel) place(t *rapid.T) {
	r := drawRequest(t, wasabiridge.WeightsVersion(rapid.IntRange(0, 2).Draw(t, "weights")))
	excluded := []wasabiridge.BackendServerID{m.drawServer(t)}
	p, ok := m.placer.Place(m.now, wasabiridge.PlaceQuery{Request: r, Pool: m.pool, Excluded: excluded})
	if !ok {
		return
	}
	id := p.Backend.ID
	if id == excluded[0] || m.leavingServers[id] {
		t.Fatalf("placed on %s, which is excluded or leaving", id)
	}
	if m.announcedWeights[id] < r.Action.Weights {
		t.Fatalf("placed on %s with weights %d, needs %d", id, m.announcedWeights[id], r.Action.Weights)
	}
	claimed := p.ClaimedTokens / max(1, r.Chain.BlockTokens)
	if w := r.Chain.Root.Weights; claimed > 0 && w != 0 && m.announcedWeights[id] != w {
		t.Fatalf("claimed blocks of weights %d to %s with %d", r.Chain.Root.Weights, id, m.announcedWeights[id])
	}
	for _, b := range r.Chain.Blocks[:claimed] {
		if !m.possiblyHeld[engineVersion{id, p.Incarnation, m.announcedWeights[id]}][b] {
			t.Fatalf("claimed a block that %s incarnation %d never held", id, p.Incarnation)
		}
	}
	m.next++
	m.openAttempts[m.next] = &openAttempt{request: r, placement: p}
	m.openAttempts[m.next].engineVersion = engineVersion{id, p.Incarnation, m.announcedWeights[id]}
	m.placer.Sent(m.now, r, m.next, p)
}

func (m *claimModel) drawServer(t *rapid.T) wasabiridge.BackendServerID {
	return rapid.SampledFrom(m.pool.Backends).Draw(t, "server").ID
}

func (m *claimModel) drawOpenAttempt(t *rapid.T) (wasabiridge.AttemptID, *openAttempt) {
	if m.next == 0 {
		t.Skip("no attempt was sent")
	}
	id := wasabiridge.AttemptID(rapid.IntRange(1, int(m.next)).Draw(t, "attempt"))
	if m.openAttempts[id] == nil {
		t.Skip("attempt has ended")
	}
	return id, m.openAttempts[id]
}

func (m *claimModel) first(t *rapid.T) {
	id, f := m.drawOpenAttempt(t)
	m.recordHeld(f.engineVersion, f.request.Chain.Blocks...)
	m.placer.Observe(m.now, wasabiridge.AttemptFirstToken{Attempt: id})
}

func (m *claimModel) end(t *rapid.T) {
	id, f := m.drawOpenAttempt(t)
	delete(m.openAttempts, id)
	e := wasabiridge.AttemptEnded{
		Attempt: id,
		Backend: f.placement.Backend.ID,
		Result:  wasabiridge.AttemptResult(rapid.IntRange(0, 3).Draw(t, "result")),
	}
	if e.Result == wasabiridge.AttemptCompleted {
		e.Usage = wasabiridge.Usage{PromptTokens: f.request.Chain.Tokens, Incarnation: f.placement.Incarnation}
		e.Usage.CachedTokens = rapid.IntRange(0, e.Usage.PromptTokens).Draw(t, "cached")
	}
	m.placer.Observe(m.now, e)
}

func (m *claimModel) cacheEvent(t *rapid.T) {
	id := m.drawServer(t)
	e := m.engines[id]
	e.sequence += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	c := wasabiridge.CacheEvent{
		Backend: id, Incarnation: e.incarnation, Sequence: e.sequence,
		Kind:  wasabiridge.CacheEventKind(rapid.IntRange(0, 2).Draw(t, "kind")),
		Block: rapid.SampledFrom(drawRequest(t, e.weights*wasabiridge.WeightsVersion(rapid.IntRange(0, 1).Draw(t, "known"))).Chain.Blocks).Draw(t, "block"),
	}
	event := wasabiridge.CacheChanged{Events: []wasabiridge.CacheEvent{c}}
	m.pastEvents = append(m.pastEvents, event)
	if c.Kind == wasabiridge.BlockStored {
		m.recordHeld(engineVersion{id, e.incarnation, e.weights}, c.Block)
	}
	m.placer.Observe(m.now, event)
}

func (m *claimModel) restart(t *rapid.T) {
	id := m.drawServer(t)
	e := m.engines[id]
	e.incarnation++
	e.sequence = 0
	m.leavingServers[id] = false
	m.report(id, false)
}

func (m *claimModel) loadWeights(t *rapid.T) {
	id := m.drawServer(t)
	m.engines[id].weights++
	m.report(id, m.leavingServers[id])
}

func (m *claimModel) announceLeaving(t *rapid.T) {
	id := m.drawServer(t)
	m.leavingServers[id] = true
	m.placer.Observe(m.now, wasabiridge.BackendLeaving{Backend: id})
}

func (m *claimModel) observeAgain(t *rapid.T) {
	if len(m.pastEvents) == 0 {
		t.Skip("no events yet")
	}
	e := rapid.SampledFrom(m.pastEvents).Draw(t, "news")
	if r, ok := e.(wasabiridge.LoadReported); ok && r.Report.Incarnation == m.engines[r.Report.Backend].incarnation {
		t.Skip("reports of one incarnation arrive in order")
	}
	m.placer.Observe(m.now, e)
}

// Guards against placements that claim cached blocks which the engine does not
// hold: those cached by an earlier incarnation, for another client account,
// with older weights, or by a request that never reached the engine. Such
// claims result from events that arrive late, twice, out of order or not at
// all. The answer is then delayed at best and computed from the wrong cache at
// worst.
func TestClaimsOnlyBlocksHeldByTheIncarnation(t *testing.T) {
	Expect := NewWithT(t).Expect
	Expect(flag.Set("rapid.seed", strconv.Itoa(wasabitest.Seed))).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	Expect(flag.Set("rapid.checks", "1000")).To(Succeed())
	for _, smallPool := range []int{1, 24} {
		t.Run(fmt.Sprintf("smallPool=%d", smallPool), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newClaimModel(rapid.Uint64().Draw(t, "seed"), 4, smallPool)
				t.Repeat(map[string]func(*rapid.T){
					"place":       m.place,
					"first":       m.first,
					"end":         m.end,
					"cacheEvent":  m.cacheEvent,
					"restart":     m.restart,
					"loadWeights": m.loadWeights,
					"bar":         m.announceLeaving,
					"repeat":      m.observeAgain,
					"pass": func(t *rapid.T) {
						m.now += wasabiridge.Millis(rapid.IntRange(1, 5000).Draw(t, "pass"))
						m.placer.Observe(m.now, wasabiridge.Ticked{})
					},
				})
			})
		})
	}
}
