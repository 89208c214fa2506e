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

// life is one incarnation of one engine under one version of the weights.
type life struct {
	backend     wasabiridge.BackendServerID
	incarnation wasabiridge.Incarnation
	weights     wasabiridge.WeightsVersion
}

type engineModel struct {
	incarnation wasabiridge.Incarnation
	weights     wasabiridge.WeightsVersion
	sequence    uint64
}

type flight struct {
	request   wasabiridge.Request
	placement wasabiridge.Placement
	life      life
}

// promiseModel drives a placer with any order of news, early, late, lost or
// repeated, and keeps a ledger of which blocks each life may hold.
type promiseModel struct {
	now     wasabiridge.Millis
	placer  *wasabiplace.Placer
	pool    wasabiridge.Pool
	engines map[wasabiridge.BackendServerID]*engineModel
	ledger  map[life]map[wasabiridge.BlockHash]bool
	told    map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion
	barred  map[wasabiridge.BackendServerID]bool
	flights map[wasabiridge.AttemptID]*flight
	next    wasabiridge.AttemptID
	old     []wasabiridge.Event
}

func newPromiseModel(seed uint64, servers, smallPool int) *promiseModel {
	m := &promiseModel{
		now:     1000,
		placer:  wasabiplace.New(wasabiplace.Options{Seed: seed, SmallPool: smallPool}),
		pool:    benchPool(servers),
		engines: make(map[wasabiridge.BackendServerID]*engineModel),
		ledger:  make(map[life]map[wasabiridge.BlockHash]bool),
		told:    make(map[wasabiridge.BackendServerID]wasabiridge.WeightsVersion),
		barred:  make(map[wasabiridge.BackendServerID]bool),
		flights: make(map[wasabiridge.AttemptID]*flight),
	}
	for _, b := range m.pool.Backends {
		m.engines[b.ID] = &engineModel{incarnation: 1, weights: 1}
		m.report(b.ID, false)
	}
	return m
}

func (m *promiseModel) report(id wasabiridge.BackendServerID, leaving bool) {
	e := m.engines[id]
	event := wasabiridge.LoadReported{Report: wasabiridge.LoadReport{
		Backend: id, Incarnation: e.incarnation, Weights: e.weights, Taken: m.now, Leaving: leaving,
	}}
	m.old = append(m.old, event)
	m.told[id] = e.weights
	m.placer.Observe(m.now, event)
}

func (m *promiseModel) hold(l life, blocks ...wasabiridge.BlockHash) {
	if m.ledger[l] == nil {
		m.ledger[l] = make(map[wasabiridge.BlockHash]bool)
	}
	for _, b := range blocks {
		m.ledger[l][b] = true
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
		Chain:   wasabiprefix.Of(root, []byte(text), 1),
		Action:  wasabiridge.Action{Pool: "answer", Weights: weights},
	}
}

func (m *promiseModel) place(t *rapid.T) {
	r := drawRequest(t, wasabiridge.WeightsVersion(rapid.IntRange(0, 2).Draw(t, "weights")))
	excluded := []wasabiridge.BackendServerID{m.drawServer(t)}
	p, ok := m.placer.Place(m.now, wasabiridge.PlaceQuery{Request: r, Pool: m.pool, Excluded: excluded})
	if !ok {
		return
	}
	id := p.Backend.ID
	if id == excluded[0] || m.barred[id] {
		t.Fatalf("placed on %s, which must get no work", id)
	}
	if m.told[id] < r.Action.Weights {
		t.Fatalf("placed on %s with weights %d, needs %d", id, m.told[id], r.Action.Weights)
	}
	claimed := p.ClaimedTokens / max(1, r.Chain.BlockTokens)
	if w := r.Chain.Root.Weights; claimed > 0 && w != 0 && m.told[id] != w {
		t.Fatalf("claimed blocks of weights %d to %s with %d", r.Chain.Root.Weights, id, m.told[id])
	}
	for _, b := range r.Chain.Blocks[:claimed] {
		if !m.ledger[life{id, p.Incarnation, m.told[id]}][b] {
			t.Fatalf("claimed a block that %s incarnation %d never had", id, p.Incarnation)
		}
	}
	m.next++
	m.flights[m.next] = &flight{request: r, placement: p}
	m.flights[m.next].life = life{id, p.Incarnation, m.told[id]}
	m.placer.Sent(m.now, r, m.next, p)
}

func (m *promiseModel) drawServer(t *rapid.T) wasabiridge.BackendServerID {
	return rapid.SampledFrom(m.pool.Backends).Draw(t, "server").ID
}

func (m *promiseModel) drawFlight(t *rapid.T) (wasabiridge.AttemptID, *flight) {
	if m.next == 0 {
		t.Skip("nothing was sent")
	}
	id := wasabiridge.AttemptID(rapid.IntRange(1, int(m.next)).Draw(t, "attempt"))
	if m.flights[id] == nil {
		t.Skip("attempt is over")
	}
	return id, m.flights[id]
}

func (m *promiseModel) first(t *rapid.T) {
	id, f := m.drawFlight(t)
	m.hold(f.life, f.request.Chain.Blocks...)
	m.placer.Observe(m.now, wasabiridge.AttemptFirstToken{Attempt: id})
}

func (m *promiseModel) end(t *rapid.T) {
	id, f := m.drawFlight(t)
	delete(m.flights, id)
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

func (m *promiseModel) cacheEvent(t *rapid.T) {
	id := m.drawServer(t)
	e := m.engines[id]
	e.sequence += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	c := wasabiridge.CacheEvent{
		Backend: id, Incarnation: e.incarnation, Sequence: e.sequence,
		Kind:  wasabiridge.CacheEventKind(rapid.IntRange(0, 2).Draw(t, "kind")),
		Block: rapid.SampledFrom(drawRequest(t, e.weights*wasabiridge.WeightsVersion(rapid.IntRange(0, 1).Draw(t, "known"))).Chain.Blocks).Draw(t, "block"),
	}
	event := wasabiridge.CacheChanged{Events: []wasabiridge.CacheEvent{c}}
	m.old = append(m.old, event)
	if c.Kind == wasabiridge.BlockStored {
		m.hold(life{id, e.incarnation, e.weights}, c.Block)
	}
	m.placer.Observe(m.now, event)
}

func (m *promiseModel) restart(t *rapid.T) {
	id := m.drawServer(t)
	e := m.engines[id]
	e.incarnation++
	e.sequence = 0
	m.barred[id] = false
	m.report(id, false)
}

func (m *promiseModel) loadWeights(t *rapid.T) {
	id := m.drawServer(t)
	m.engines[id].weights++
	m.report(id, m.barred[id])
}

func (m *promiseModel) bar(t *rapid.T) {
	id := m.drawServer(t)
	m.barred[id] = true
	m.placer.Observe(m.now, wasabiridge.BackendLeaving{Backend: id})
}

func (m *promiseModel) repeat(t *rapid.T) {
	if len(m.old) == 0 {
		t.Skip("no news yet")
	}
	e := rapid.SampledFrom(m.old).Draw(t, "news")
	if r, ok := e.(wasabiridge.LoadReported); ok && r.Report.Incarnation == m.engines[r.Report.Backend].incarnation {
		t.Skip("reports of one incarnation come in order")
	}
	m.placer.Observe(m.now, e)
}

// Story: a technician's question goes to an engine because its manual is said
// to be cached there, but the manual was cached by an earlier incarnation, for
// another client account, by older weights, or by a request that never reached
// the engine. The answer starts late at best and rests on the wrong cache at
// worst. The cause is news that comes late, twice, out of order or not at all.
func TestClaimsOnlyWhatTheLifeHolds(t *testing.T) {
	Expect := NewWithT(t).Expect
	Expect(flag.Set("rapid.seed", strconv.Itoa(wasabitest.Seed))).To(Succeed())
	Expect(flag.Set("rapid.nofailfile", "true")).To(Succeed())
	Expect(flag.Set("rapid.checks", "1000")).To(Succeed())
	for _, smallPool := range []int{1, 24} {
		t.Run(fmt.Sprintf("smallPool=%d", smallPool), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newPromiseModel(rapid.Uint64().Draw(t, "seed"), 4, smallPool)
				t.Repeat(map[string]func(*rapid.T){
					"place":       m.place,
					"first":       m.first,
					"end":         m.end,
					"cacheEvent":  m.cacheEvent,
					"restart":     m.restart,
					"loadWeights": m.loadWeights,
					"bar":         m.bar,
					"repeat":      m.repeat,
					"pass": func(t *rapid.T) {
						m.now += wasabiridge.Millis(rapid.IntRange(1, 5000).Draw(t, "pass"))
						m.placer.Observe(m.now, wasabiridge.Ticked{})
					},
				})
			})
		})
	}
}
