package wasabirelay_test

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
)

// detour passes requests on to other rigs, in order. Their indexes are the peer addresses.
type detour struct {
	mu   sync.Mutex
	lost bool
	// isolated is set if the other instances have lost their paths, too.
	isolated bool
	others   []*rig
	// breaks makes the answers of other instances be lost after they have served.
	breaks   bool
	asked    []string
	got      []wasabiridge.ForwardedRequest
	declined []wasabiridge.InstanceID
}

func (d *detour) Detached(wasabiridge.PoolID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

func (d *detour) setLost(lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost = lost
}

func (d *detour) Answered(wasabiridge.PoolID, bool) {}

func (d *detour) Isolated(wasabiridge.PoolID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost && d.isolated
}

func (d *detour) Instances(wasabiridge.PoolID) []wasabiridge.InstanceEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []wasabiridge.InstanceEntry
	for i := range d.others {
		id := wasabiridge.InstanceID(strconv.Itoa(i))
		if d.lost && !slices.Contains(d.declined, id) {
			out = append(out, wasabiridge.InstanceEntry{ID: id, PeerAddress: strconv.Itoa(i)})
		}
	}
	return out
}

func (d *detour) Declined(_ wasabiridge.PoolID, by wasabiridge.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.declined = append(d.declined, by)
}

func (d *detour) Forward(ctx context.Context, address string, r wasabiridge.ForwardedRequest, sink wasabiridge.ForwardSink) wasabiridge.ForwardResult {
	d.asked, d.got = append(d.asked, address), append(d.got, r)
	i, err := strconv.Atoi(address)
	Expect(err).NotTo(HaveOccurred())
	result := d.others[i].relay.ServeForwarded(ctx, r, sink)
	if d.breaks {
		return wasabiridge.ForwardResult{Result: wasabiridge.AttemptBroken}
	}
	return result
}

var _ = Describe("A request to an instance without a path to the servers", func() {
	ok := answers(http.StatusOK, "ok")
	cases := map[string]struct {
		then wasabiridge.Action
		// prepare changes the rigs: that of the instance, and those of two others.
		prepare func(g, first, second *rig)
		status  int
		kind    wasabiridge.RefusalKind
		body    string
		// asked are the other instances that were asked, and ran counts the attempts at
		// servers from any of them.
		asked string
		ran   int
	}{
		"is served by another one": {then: once, status: 200, body: "ok", asked: "0", ran: 1},
		"is streamed by another one": {
			then: stream, prepare: func(_, first, _ *rig) {
				first.runner.script = []scriptedAttempt{streams(wasabiridge.AttemptCompleted, "1", "2")}
			}, status: 200, body: "id:1 \n\nid:2 \n\n", asked: "0", ran: 1,
		},
		"is served by the next one if the first has no path either": {
			then: once, prepare: func(_, first, second *rig) {
				first.detour.others = []*rig{second}
				first.detour.setLost(true)
			}, status: 200, body: "ok", asked: "01", ran: 1,
		},
		"is served by the next one if the first has an older configuration": {
			then: once, prepare: func(g, _, second *rig) {
				for _, r := range []*rig{g, second} {
					r.setView(func(v *wasabirelay.View) {
						newer := *v.Config
						newer.Version = 2
						v.Config = &newer
					})
				}
			}, status: 200, body: "ok", asked: "01", ran: 1,
		},
		"is refused as the other one refuses it": {
			then: once, prepare: func(_, first, _ *rig) { first.check.verdict = wasabiridge.QuarantineBlocked },
			kind: wasabiridge.RefusalNotRun, asked: "0",
		},
		"may have run if the answer of the other one is lost, and reaches no further one": {
			then: safe, prepare: func(g, _, _ *rig) { g.detour.breaks = true }, kind: wasabiridge.RefusalBroken, asked: "0", ran: 1,
		},
		"gets the error response of a server": {
			then: once, prepare: func(_, first, _ *rig) { first.runner.script = []scriptedAttempt{answers(500, "no")} }, status: 500, body: "no", asked: "0", ran: 1,
		},
		"is tried here if no other one takes it": {
			then: once, prepare: func(g, first, second *rig) {
				first.detour.setLost(true)
				second.detour.setLost(true)
				g.runner.script = []scriptedAttempt{ok}
			}, status: 200, body: "ok", asked: "01", ran: 1,
		},
		"is not passed on while there is a path": {
			then: once, prepare: func(g, _, _ *rig) {
				g.detour.setLost(false)
				g.runner.script = []scriptedAttempt{ok}
			}, status: 200, body: "ok", ran: 1,
		},
		"is passed on if the path is lost while it is tried": {
			then: once, prepare: func(g, _, _ *rig) {
				g.detour.setLost(false)
				g.runner.script = []scriptedAttempt{func(context.Context, wasabiridge.Attempt, wasabiridge.AttemptSink) wasabiridge.AttemptResult {
					g.detour.setLost(true)
					return wasabiridge.AttemptNotRun
				}}
			}, status: 200, body: "ok", asked: "0", ran: 2,
		},
		// Guards against callers that wait for seconds although nobody can serve them.
		"is refused at once if no instance has a path": {
			then: once, prepare: func(g, _, _ *rig) {
				g.detour.isolated = true
				g.detour.others = nil
			}, kind: wasabiridge.RefusalNotRun,
		},
		"is refused at once if all paths are lost while it is tried": {
			then: wasabiridge.Action{Retry: true, Attempts: 2}, prepare: func(g, _, _ *rig) {
				g.detour.setLost(false)
				g.detour.isolated, g.detour.others = true, nil
				g.runner.script = []scriptedAttempt{func(_ context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
					s.Sent()
					g.detour.setLost(true)
					return wasabiridge.AttemptBroken
				}}
			}, kind: wasabiridge.RefusalBroken, ran: 1,
		},
		"is not passed on if it may have run and is not idempotent": {
			then: once, prepare: func(g, _, _ *rig) {
				g.detour.setLost(false)
				g.runner.script = []scriptedAttempt{func(_ context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
					s.Sent()
					g.detour.setLost(true)
					return wasabiridge.AttemptBroken
				}}
			}, kind: wasabiridge.RefusalBroken, ran: 1,
		},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		It(name, func() {
			g, first, second := newRig(c.then, unsent), newRig(c.then, ok), newRig(c.then, ok)
			g.detour.others = []*rig{first, second}
			g.detour.setLost(true)
			if c.prepare != nil {
				c.prepare(g, first, second)
			}
			got := g.send("/r/x", "k")
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.kind).To(Equal(string(c.kind)))
			if c.status > 0 {
				Expect(got.status).To(Equal(c.status))
			}
			Expect(got.body).To(Equal(c.body))
			Expect(strings.Join(g.detour.asked, "")).To(Equal(c.asked))
			Expect(g.attempts() + first.attempts() + second.attempts()).To(Equal(c.ran))
			Expect(first.detour.asked).To(BeEmpty(), "a request is passed on once")
		})
	}

	// Guards against more servers running a request than its rule allows, because the
	// second instance counts from zero.
	It("leaves the attempts that were made before to the other instance", func() {
		three := wasabiridge.Action{Retry: true, Attempts: 3}
		g, first := newRig(three, unsent), newRig(three, sentAnd(wasabiridge.AttemptBroken))
		g.detour.others = []*rig{first}
		g.runner.script = []scriptedAttempt{func(_ context.Context, _ wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
			s.Sent()
			g.detour.setLost(true)
			return wasabiridge.AttemptBroken
		}}
		Expect(g.send("/r/x", "k").kind).To(Equal(string(wasabiridge.RefusalBroken)))
		Expect(g.detour.got[0].Attempts).To(Equal(2))
		Expect(first.attempts()).To(Equal(2))
	})

	// Guards against a key that was revoked at the second instance but not yet here.
	It("is refused if the other instance does not know the key", func() {
		g, first := newRig(once, unsent), newRig(once, ok)
		g.detour.others = []*rig{first}
		g.detour.setLost(true)
		first.setView(func(v *wasabirelay.View) {
			newer := *v.Config
			newer.Version, newer.Accounts = 2, []wasabiridge.ClientAccount{{ID: "acc"}}
			v.Config = &newer
		})
		Expect(g.send("/r/x", "k").kind).To(Equal(string(wasabiridge.RefusalNoKey)))
		Expect(first.attempts()).To(BeZero())
	})
})
