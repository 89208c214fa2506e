package main

import (
	"fmt"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/platform/soak"
)

// otherRouter is the environment variable with the path of a router program of another
// build.
const otherRouter = "WASABIRIDGE_OTHER_ROUTER"

var _ = Describe("router processes of two builds", func() {
	// An operator upgrades four instances one after the other, takes half of the
	// upgrade back, upgrades the other half instead, and ends where the upgrade
	// began. Each instance is killed and starts with what the others left in the
	// table. After every step the operator changes the configuration through
	// another instance.
	It("upgrade in turn under load and refuse nothing of each other", func() {
		other := os.Getenv(otherRouter)
		if other == "" {
			Skip(otherRouter + " names no router program of another build")
		}
		steps := [][]string{
			{program, program, program, program},
			{other, program, other, program},
			{program, other, program, other},
			{other, other, other, other},
		}
		r := newRig(rigOptions{routers: 4, engines: 2, spec: slowEngine, program: other})
		l := r.startLoad(8, 4)
		var refused []string
		search := func(step int, p *router) {
			lines, found := soak.SearchLog(string(p.process().Err.Contents()))
			fmt.Printf("%s before step %d: %d lines searched, %d report a refusal\n", p.id, step, lines, len(found))
			Expect(lines).To(BeNumerically(">", 0), string(p.id))
			refused = append(refused, found...)
		}
		for i, step := range steps {
			l.progress(20, 20)
			for n, p := range r.routers {
				if p.program == step[n] {
					continue
				}
				p.kill()
				search(i, p)
				p.program = step[n]
				p.restart()
				l.progress(10, 10)
			}
			base := wasabiridge.ConfigVersion(i + 1)
			Expect(r.put(r.routers[i], base, "operator", r.configText(fmt.Sprint(i)))).To(Equal(accepted))
			for _, p := range r.routers {
				Eventually(func() wasabiridge.ConfigVersion { v, _ := p.version(); return v }, waitTimeout).Should(Equal(base+1), string(p.id))
			}
			r.eventuallyServing()
		}
		l.verify()
		for _, p := range r.routers {
			p.kill()
			search(len(steps), p)
		}
		Expect(refused).To(BeEmpty())
	})
})
