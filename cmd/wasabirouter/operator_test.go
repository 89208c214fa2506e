package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclient"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabicommand"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
	"github.com/wasabiridge/wasabiridge/internal/wasabiweights"
)

// accepted is the exit code of an accepted configuration.
const accepted = wasabicommand.ExitOK

// put replaces the configuration through one router, as an operator does.
func (r *rig) put(p *router, base wasabiridge.ConfigVersion, author, text string) wasabicommand.Exit {
	GinkgoHelper()
	var output bytes.Buffer
	exit := wasabicommand.Run(context.Background(), []string{
		"config", "put", writeFile(GinkgoTB(), "put.jsonc", text), "--base", fmt.Sprint(base),
		"--address", p.operatorURL(), "--key", operatorKey, "--operator", author,
	}, wasabicommand.Streams{In: &bytes.Buffer{}, Out: &output, Err: &output, Env: func(string) string { return "" }})
	GinkgoWriter.Printf("config put at %s by %s: exit %d %s", p.id, author, exit, output.String())
	return exit
}

// operator returns the client of operators. It is made once, because every
// client keeps connections of its own.
func (p *router) operator() *wasabiclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		p.client = wasabiclient.New(wasabiclient.Options{Addresses: []string{p.operatorURL()}, Key: operatorKey})
	}
	return p.client
}

// version returns the configuration in force at a router. It reports false
// when the router does not answer.
func (p *router) version() (wasabiridge.ConfigVersion, bool) {
	status, err := p.operator().Status(context.Background())
	return status.Config, err == nil
}

// eventuallyLoses waits until the time line of a router tells of the loss of an
// engine.
func (p *router) eventuallyLoses(e *wasabiengine.Engine) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		page, err := p.operator().Timeline(context.Background(), wasabiridge.TimelineQuery{Backend: e.Backend().ID}, "", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Events).To(ContainElement(HaveField("Kind", wasabiridge.EventBackendLost)))
	}, soon).Should(Succeed())
}

// converge waits until all routers have the newest version of the history.
func (r *rig) converge() wasabiridge.ConfigVersion {
	GinkgoHelper()
	var newest wasabiridge.ConfigVersion
	Eventually(func(g Gomega) {
		history, err := r.routers[0].operator().History(context.Background(), 1)
		g.Expect(err).NotTo(HaveOccurred())
		newest = history.Documents[0].Version
		for _, p := range r.routers {
			version, _ := p.version()
			g.Expect(version).To(Equal(newest), string(p.id))
		}
	}, soon).Should(Succeed())
	return newest
}

// history returns the authors of all accepted configurations, newest first, as
// the platform has them.
func (r *rig) history() []string {
	GinkgoHelper()
	history, err := r.routers[0].operator().History(context.Background(), 100)
	Expect(err).NotTo(HaveOccurred())
	var authors []string
	for _, d := range history.Documents {
		name, _, _ := strings.Cut(d.Author, " (key")
		authors = append(authors, name)
	}
	return authors
}

// watchVersions reads the version of every router again and again. The
// returned function ends it and names the versions that fell, also over
// restarts. A router that knows no version yet does not count.
func (r *rig) watchVersions() (stop func() []string) {
	var watchers sync.WaitGroup
	stopped := make(chan struct{})
	fallen := make(chan string, 100)
	for _, p := range r.routers {
		watchers.Go(func() {
			var highest wasabiridge.ConfigVersion
			for {
				select {
				case <-stopped:
					return
				default:
				}
				version, ok := p.version()
				if ok && version > 0 && version < highest {
					fallen <- fmt.Sprintf("%s: %d after %d", p.id, version, highest)
				}
				highest = max(highest, version)
			}
		})
	}
	return func() []string {
		close(stopped)
		watchers.Wait()
		close(fallen)
		var all []string
		for f := range fallen {
			all = append(all, f)
		}
		return all
	}
}

// rollOut publishes a version of the weights and starts to bring it to all
// engines, as soon as the rollout before is ended.
func (r *rig) rollOut(p *router, version wasabiridge.WeightsVersion) {
	GinkgoHelper()
	const model = "stand-in"
	Expect(wasabiweights.NewStore(r.platform.Weights).Publish(context.Background(), model, "", version)).To(Succeed())
	Eventually(func() error {
		_, err := p.operator().StartRollout(context.Background(), wasabiridge.Rollout{Pool: "answer", Model: model, Weights: version})
		return err
	}, soon).Should(Succeed())
}

// driver returns the router that holds the lease of rollouts, or nil.
func (r *rig) driver() *router {
	platform := wasabiplatform.Connect(r.platform.Settings(r.store.URL()), wasabiclock.System())
	row, err := platform.Table.Get(context.Background(), "lease/rollout/answer")
	var lease struct {
		Holder wasabiridge.InstanceID `json:"holder"`
	}
	if err != nil || json.Unmarshal(row.Value, &lease) != nil {
		return nil
	}
	for _, p := range r.routers {
		if p.id == lease.Holder {
			return p
		}
	}
	return nil
}

// weights counts the engines by the version that they serve.
func weights(engines []*wasabiengine.Engine) map[wasabiridge.WeightsVersion]int {
	count := map[wasabiridge.WeightsVersion]int{}
	for _, e := range engines {
		count[e.Weights()]++
	}
	return count
}
