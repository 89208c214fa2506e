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

// accepted is the exit code for an accepted configuration.
const accepted = wasabicommand.ExitOK

// put replaces the configuration through a router with wasabictl, as an operator does.
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

// operator returns the router's operator client. It is created once, because every client
// has its own connections.
func (p *router) operator() *wasabiclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil {
		p.client = wasabiclient.New(wasabiclient.Options{Addresses: []string{p.operatorURL()}, Key: operatorKey})
	}
	return p.client
}

// version returns the version of the configuration in force at a router, and false if
// the router does not respond.
func (p *router) version() (wasabiridge.ConfigVersion, bool) {
	status, err := p.operator().Status(context.Background())
	return status.Config, err == nil
}

// eventuallyLoses waits until the timeline of a router has the loss of an engine.
func (p *router) eventuallyLoses(e *wasabiengine.Engine) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		page, err := p.operator().Timeline(context.Background(), wasabiridge.TimelineQuery{Backend: e.Backend().ID}, "", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Events).To(ContainElement(HaveField("Kind", wasabiridge.EventBackendLost)))
	}, waitTimeout).Should(Succeed())
}

// converge waits until all routers have the newest version in the history, and returns it.
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
	}, waitTimeout).Should(Succeed())
	return newest
}

// history returns the authors of the configurations in the platform's history, newest
// first.
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

// watchVersions polls the configuration version of every router. The returned function
// stops it and returns the decreases seen, including those across restarts. A router
// without a configuration is ignored.
func (r *rig) watchVersions() (stop func() []string) {
	var watchers sync.WaitGroup
	stopped := make(chan struct{})
	decreases := make(chan string, 100)
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
					decreases <- fmt.Sprintf("%s: %d after %d", p.id, version, highest)
				}
				highest = max(highest, version)
			}
		})
	}
	return func() []string {
		close(stopped)
		watchers.Wait()
		close(decreases)
		var all []string
		for f := range decreases {
			all = append(all, f)
		}
		return all
	}
}

// rollOut publishes a version of the weights and starts its rollout to all engines. It
// retries while the previous rollout is in progress.
func (r *rig) rollOut(p *router, version wasabiridge.WeightsVersion) {
	GinkgoHelper()
	const model = "stand-in"
	Expect(wasabiweights.NewStore(r.platform.Weights).Publish(context.Background(), model, "", version)).To(Succeed())
	Eventually(func() error {
		_, err := p.operator().StartRollout(context.Background(), wasabiridge.Rollout{Pool: "answer", Model: model, Weights: version})
		return err
	}, waitTimeout).Should(Succeed())
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

// weights returns the number of engines by the version of their weights.
func weights(engines []*wasabiengine.Engine) map[wasabiridge.WeightsVersion]int {
	count := map[wasabiridge.WeightsVersion]int{}
	for _, e := range engines {
		count[e.Weights()]++
	}
	return count
}
