package wasabirelay_test

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabirelay"
)

const (
	// acceptTime and endTime are the times from the start of a shutdown until the relay accepts
	// no requests, and until the instance ends.
	acceptTime = 2800 * wasabiridge.Millis(1)
	endTime    = 7600 * wasabiridge.Millis(1)
)

// shutDown starts a shutdown at the given time before now.
func (g *rig) shutDown(before wasabiridge.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	start := g.clock.Now() - before
	g.shutdown = wasabirelay.Shutdown{AcceptUntil: start + acceptTime, End: start + endTime}
}

// wait advances the clock, and confirms the configuration again.
func (g *rig) wait(by wasabiridge.Millis) {
	g.clock.Advance(by)
	g.setView(func(v *wasabirelay.View) { v.ConfirmedAt = g.clock.Now() })
}

// after returns a scripted attempt before which some time passes.
func after(g **rig, by wasabiridge.Millis, attempt scriptedAttempt) scriptedAttempt {
	return func(ctx context.Context, a wasabiridge.Attempt, s wasabiridge.AttemptSink) wasabiridge.AttemptResult {
		(*g).wait(by)
		return attempt(ctx, a, s)
	}
}

var _ = Describe("A request to an instance that shuts down", func() {
	cases := map[string]struct {
		// took is how long the request before took. Zero means that there was none.
		took, since, timeout wasabiridge.Millis
		refused              bool
	}{
		"that will end":                                     {took: 3000, since: 4500, timeout: 30000},
		"that will just end":                                {took: 3000, since: 4600, timeout: 30000},
		"that will not end":                                 {took: 3000, since: 4601, timeout: 30000, refused: true},
		"that takes long, early":                            {took: 7000, since: 700, timeout: 30000, refused: true},
		"that is short, late":                               {took: 20, since: 7500, timeout: 30000},
		"of unknown length, while it accepts":               {since: 2800, timeout: 30000},
		"of unknown length, later":                          {since: 2801, timeout: 30000, refused: true},
		"of unknown length, with a deadline before":         {since: 5000, timeout: 2600},
		"that takes long, with a deadline before":           {took: 9000, since: 5000, timeout: 2600},
		"that takes long, with a deadline just behind it":   {took: 9000, since: 5000, timeout: 2601, refused: true},
		"of unknown length, with a deadline just behind it": {since: 5000, timeout: 2601, refused: true},
	}
	kinds := map[string]wasabiridge.Action{"once": once, "safe": safe, "stream": stream}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		for _, kind := range slices.Sorted(maps.Keys(kinds)) {
			c, then := cases[name], kinds[kind]

			// Guards against requests that are passed on and cut off at the end of the instance,
			// and against the refusal of those that would have ended.
			It("is served if it can end: "+name+", "+kind, func() {
				var g *rig
				first := answers(http.StatusOK, "first")
				if then.Stream {
					first = streams(wasabiridge.AttemptCompleted, "1")
				}
				script := []scriptedAttempt{first}
				if c.took > 0 {
					script = []scriptedAttempt{after(&g, c.took, first), first}
				}
				g = newRig(then, script...)
				g.timeout = 30000
				if c.took > 0 {
					Expect(g.send("/x", "k").status).To(Equal(http.StatusOK))
				}
				before := g.attempts()
				g.timeout = c.timeout
				g.shutDown(c.since)
				a := g.send("/x", "k")
				Expect(a.err).NotTo(HaveOccurred())
				if !c.refused {
					Expect(a.status).To(Equal(http.StatusOK))
					return
				}
				Expect(a.kind).To(BeEquivalentTo(wasabiridge.RefusalNotRun))
				Expect(a.back).To(Equal("40ms"))
				Expect(g.attempts()).To(Equal(before))
			})
		}
	}

	// Guards against a decision at the start of a request whose body arrives slowly.
	It("is refused if its body is complete too late", func() {
		g := newRig(once, answers(http.StatusOK, "ok"))
		g.shutDown(0)
		body, upload := io.Pipe()
		done := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			r, err := http.NewRequest(http.MethodPost, g.server.URL+"/x", body)
			Expect(err).NotTo(HaveOccurred())
			r.Host = "h"
			for name, value := range map[string]string{"Id": "id-1", "Key": "k", "Timeout-Ms": "30000"} {
				r.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			done <- answer{kind: response.Header.Get("Kind"), back: strconv.FormatBool(response.Close)}
		}()
		_, err := upload.Write([]byte("q"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(g.relay.Open).Should(Equal(1))
		g.wait(5000)
		Expect(upload.Close()).To(Succeed())
		Expect(<-done).To(Equal(answer{kind: string(wasabiridge.RefusalNotRun), back: "true"}))
		Expect(g.attempts()).To(BeZero())
	})

	// Guards against further attempts that are cut off, and against refusals that are not true.
	again := map[string]struct {
		then  wasabiridge.Action
		first scriptedAttempt
		kind  wasabiridge.RefusalKind
	}{
		"once, that was not sent":  {once, unsent, wasabiridge.RefusalNotRun},
		"once, that did not run":   {once, sentAnd(wasabiridge.AttemptNotRun), wasabiridge.RefusalNotRun},
		"safe, that broke":         {safe, sentAnd(wasabiridge.AttemptBroken), wasabiridge.RefusalBroken},
		"a stream without a piece": {stream, sentAnd(wasabiridge.AttemptBroken), wasabiridge.RefusalBroken},
	}
	for _, name := range slices.Sorted(maps.Keys(again)) {
		c := again[name]
		It("is not attempted again too late: "+name, func() {
			var g *rig
			g = newRig(c.then, after(&g, 5000, c.first), answers(http.StatusOK, "second"))
			g.timeout = 30000
			g.shutDown(0)
			Expect(g.send("/x", "k").kind).To(BeEquivalentTo(c.kind))
			Expect(g.attempts()).To(Equal(1))
		})
	}

	It("goes on as a stream of which the caller has a part", func() {
		var g *rig
		g = newRig(stream, after(&g, 5000, streams(wasabiridge.AttemptBroken, "1")), streams(wasabiridge.AttemptCompleted, "2"))
		g.timeout = 30000
		g.shutDown(0)
		Expect(g.send("/x", "k").body).To(Equal("id:1 \n\nid:2 \n\n"))
	})

	// Guards against requests that are passed on to an instance which cuts them off.
	It("is declined if another instance passes it on too late", func() {
		g, late, fine := newRig(once, hangs), newRig(once, hangs), newRig(once, answers(http.StatusOK, "ok"))
		g.detour.lost, g.detour.others, g.timeout = true, []*rig{late, fine}, 30000
		late.shutDown(5000)
		Expect(g.send("/x", "k").body).To(Equal("ok"))
		Expect(late.attempts()).To(BeZero())
	})
})
