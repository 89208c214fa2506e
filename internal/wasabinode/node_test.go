package wasabinode_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabinode"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/internal/wasabitest"
	"github.com/wasabiridge/wasabiridge/platform"
	"github.com/wasabiridge/wasabiridge/platform/standin"
)

func TestNode(t *testing.T) { wasabitest.Run(t, "node") }

// rig is a platform with nodes on loopback ports.
type rig struct {
	store   *standin.Store
	address string
	nodes   []*running
	started int
	// callerAddress is the caller address of the next node. Empty means a free one.
	callerAddress string
	// links are the links of the next node to the replicas. Nil means that they work.
	links *standin.Links
	// keyLife is how long keys are accepted after the store last confirmed them.
	keyLife wasabiridge.Millis
	// sharing is the setting that shares pools. Empty means that it is not set.
	sharing string
	// memory is that of the settings, in MB.
	memory float64
}

// running is one node, with the addresses on which it listens.
type running struct {
	node                     *wasabinode.Node
	caller, ready, directory string
	metrics                  string
	done                     chan error
	log                      *buffer
}

// buffer collects log lines. It is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// lastLines returns the last log line with each of some messages.
func (n *running) lastLines(messages ...string) string {
	last := map[string]string{}
	for line := range strings.SplitSeq(n.log.String(), "\n") {
		for _, m := range messages {
			if strings.Contains(line, m) {
				last[m] = line
			}
		}
	}
	return strings.Join(slices.Sorted(maps.Values(last)), "\n")
}

func newRig() *rig {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	DeferCleanup(server.Close)
	return &rig{store: store, address: strings.TrimPrefix(server.URL, "http://"), keyLife: 1500}
}

func address() string {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer socket.Close()
	return socket.Addr().String()
}

// startTries bounds the attempts to start a node. Another process of the machine may
// listen on an address between its choice and its use.
const startTries = 5

// addressTaken reports whether an address could not be listened on because
// another socket has it.
func addressTaken(err error) bool {
	failed := errorx.Cast(err)
	return failed != nil && errors.Is(failed.Cause(), syscall.EADDRINUSE)
}

var _ = It("distinguishes an address in use from other start errors", func() {
	g := newRig()
	n := g.start()
	g.callerAddress = n.caller
	_, err := g.tryStart()
	Expect(err).To(Satisfy(addressTaken))
	g.callerAddress = "192.0.2.1:1"
	_, err = g.tryStart()
	Expect(err).To(HaveOccurred())
	Expect(err).NotTo(Satisfy(addressTaken))
})

func (g *rig) start() *running {
	var r *running
	var err error
	for range startTries {
		if r, err = g.tryStart(); err == nil || !addressTaken(err) {
			break
		}
	}
	Expect(err).NotTo(HaveOccurred())
	go func() { r.done <- r.node.Run() }()
	DeferCleanup(func() {
		r.node.Drain()
		Eventually(r.done, "8s").Should(Receive())
	})
	g.nodes = append(g.nodes, r)
	return r
}

func (g *rig) tryStart() (*running, error) {
	g.started++
	r := &running{caller: address(), ready: address(), directory: address(), metrics: address(), done: make(chan error, 1), log: &buffer{}}
	if g.callerAddress != "" {
		r.caller = g.callerAddress
	}
	peer := address()
	seeds := ""
	if len(g.nodes) > 0 {
		first := g.nodes[0].node.Entry()
		seeds = fmt.Sprintf(`{"instance": %q, "address": %q}`, first.ID, first.PeerAddress)
	}
	s, err := wasabisettings.Parse([]byte(fmt.Sprintf(`{"instance": "n%d", "zone": "z", "caller": {"listen": %q},
		"peer": {"listen": %q, "open": true, "seeds": [%s]},
		"hosted": {"store": %q, "ready": %q, "directory": %q, "metrics": %q, "sharing": %q, "bounds": {"grace_s": 3, "key_life_ms": %d}}}`,
		g.started, r.caller, peer, seeds, g.address, r.ready, r.directory, r.metrics, g.sharing, g.keyLife)))
	Expect(err).NotTo(HaveOccurred())
	s.Memory = g.memory
	clock := wasabiclock.Boot()
	o := platform.Options{Store: g.address, Clock: clock, Instance: s.Instance}
	if g.links != nil {
		o.Dial = g.links.Dial
	}
	parts := platform.Connect(o)
	parts.ObserveWith(func(e wasabiridge.Event) { r.node.Observe(e) })
	r.node, err = wasabinode.New(wasabinode.Options{Settings: s, Clock: clock, Log: r.log, Platform: wasabinode.Platform{
		Protocol: parts.Callers, Runner: parts.Replicas, Source: parts.Store, Table: parts.Store, Engines: parts.Orders, Caches: parts.Caches, Numberings: parts.Replicas,
		Directory: platform.Directory, Ready: platform.Ready,
	}})
	if err != nil {
		return nil, err
	}
	parts.Replicas.Limit, parts.Replicas.Servers = r.node.ConnectionLimit, r.node.SoftwareServers
	return r, nil
}

func (g *rig) configure(version int, keys ...string) {
	g.store.PutConfig(standin.Config{
		Version: version,
		Routes: []standin.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: "streaming", Resumable: true, Service: "lm", Timeout: 3000, Target: 300, Attempts: 2},
			{Name: "book", Host: "h", Prefix: "/book/", Kind: "unsafe", Service: "app", Timeout: 2000, Attempts: 1},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: "unsafe", Service: "app", Timeout: 2000, Attempts: 1, Anonymous: true},
		},
		Services: []standin.Service{
			{Name: "lm", Connections: 50, Engine: &standin.Engine{Slots: 8, CacheTokens: 1e5, TokenBytes: 10, Link: 1e5, Models: []standin.Model{{Name: "m"}}}},
			{Name: "app", Connections: 50},
		},
		Tenants: []standin.Tenant{{Name: "t", Keys: keys}},
	})
}

func (g *rig) replica(o standin.ReplicaOptions) *standin.Replica {
	o.Zone, o.Store = "z", g.store
	r := standin.NewReplica(o)
	DeferCleanup(r.Close)
	return r
}

func send(caller, path, id, key string) (int, string, error) {
	return sendPrompt(caller, path, id, key, "")
}

// sendPrompt sends a request with the segments of its prompt, each as ID:TOKENS and
// separated by commas.
func sendPrompt(caller, path, id, key, prompt string) (int, string, error) {
	code, _, body, err := sendBody(caller, path, id, key, prompt, "q")
	return code, body, err
}

// sendBody sends a request with a body. It also returns the response's header.
func sendBody(caller, path, id, key, prompt, text string) (int, http.Header, string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+caller+path, strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Wasabiridge-Attempt-Id", id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Wasabiridge-Deadline-Ms", "3000")
	r.Header.Set("Wasabiridge-Model", "m")
	if prompt != "" {
		r.Header.Set("Wasabiridge-Prefix-Hash", prompt)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

// keptCharacters is what operators keep of a line of the log.
const keptCharacters = 200

// shortNames is by how much the names of instances, requests and servers in these specs are
// shorter than those of a deployment, in a line with one of each.
const shortNames = 50

// beginning returns a function that returns what is kept of the first line of a node's log that
// contains all parts.
func beginning(n *running, parts ...string) func() string {
	return func() string {
		for line := range strings.Lines(n.log.String()) {
			if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
				return line[:min(keptCharacters, len(line))]
			}
		}
		return ""
	}
}

func status(caller, path, key string) func() int {
	return func() int {
		s, _, _ := send(caller, path, fmt.Sprint(time.Now().UnixNano()), key)
		return s
	}
}

var _ = Describe("A node", func() {
	It("refuses requests as not run until it has a configuration, and then serves", func() {
		g := newRig()
		n := g.start()
		Expect(status(n.caller, "/book/x", "k")()).To(Equal(http.StatusServiceUnavailable))
		g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		g.configure(1, "k")
		Eventually(status(n.caller, "/book/x", "k"), "3s").Should(Equal(http.StatusOK))
		Expect(status(n.caller, "/none/x", "k")()).To(Equal(http.StatusNotFound))
		Expect(status(n.caller, "/book/x", "other")()).To(Equal(http.StatusUnauthorized))
	})

	// Guards against an instance that serves alone because every machine that its
	// settings name as a seed was replaced.
	It("that reaches none of its seeds finds the other instances in the store", func() {
		g := newRig()
		g.start()
		first := g.nodes
		g.nodes = nil
		second := g.start()
		g.nodes = append(first, second)
		g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		g.configure(1, "k")
		Eventually(func() string {
			response, err := http.Get("http://" + second.directory + "/api/resolve?zone=z")
			if err != nil {
				return ""
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			return string(body)
		}, "20s").Should(ContainSubstring(first[0].caller))
	})

	// Guards against a node that restarts while the store is down and then refuses all
	// requests, although the other instances hold the catalog and serve.
	It("receives the catalog from another instance while the store is down", func() {
		g := newRig()
		first := g.start()
		g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		g.configure(1, "k")
		Eventually(status(first.caller, "/book/x", "k"), "3s").Should(Equal(http.StatusOK))
		g.store.Fail(standin.Unavailable)
		second := g.start()
		Eventually(status(second.caller, "/open/x", ""), "3s").Should(Equal(http.StatusOK))
	})

	// Guards against a revoked key that stays valid because no instance can reach the
	// store. A key is accepted only for a bounded time after the store last confirmed
	// the configuration that holds it.
	It("refuses keys that were not confirmed recently, and still serves anonymous routes", func() {
		g := newRig()
		n := g.start()
		g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		g.configure(1, "k")
		Eventually(status(n.caller, "/book/x", "k"), "3s").Should(Equal(http.StatusOK))
		g.store.Fail(standin.LostRequest)
		g.configure(2)
		Eventually(status(n.caller, "/book/x", "k"), "4s").Should(Equal(http.StatusServiceUnavailable))
		Expect(status(n.caller, "/open/x", "")()).To(Equal(http.StatusOK))
		g.store.Fail(standin.Healthy)
		Eventually(status(n.caller, "/book/x", "k"), "3s").Should(Equal(http.StatusUnauthorized))
	})

	It("sends no new requests to a replica that is leaving", func() {
		g := newRig()
		n := g.start()
		first := g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		g.configure(1, "k")
		Eventually(status(n.caller, "/book/x", "k"), "3s").Should(Equal(http.StatusOK))
		second := g.replica(standin.ReplicaOptions{ID: "s2", Service: "app"})
		first.Drain()
		Eventually(func() int { return len(second.Runs()) + status(n.caller, "/book/x", "k")()*0 }, "3s").Should(BeNumerically(">", 0))
		before := len(first.Runs())
		for range 10 {
			Expect(status(n.caller, "/book/x", "k")()).To(Equal(http.StatusOK))
		}
		Expect(first.Runs()).To(HaveLen(before))
	})

	It("upgrades engines to new weights under one lease holder, and keeps cache salts of versions apart", func() {
		g := newRig()
		n := g.start()
		g.start()
		var engines []*standin.Replica
		for i := range 3 {
			engines = append(engines, g.replica(standin.ReplicaOptions{ID: fmt.Sprint("e", i), Service: "lm", Model: "m", LoadTime: 50 * time.Millisecond}))
		}
		g.store.SetTargetWeights("m", 1)
		g.configure(1, "k")
		Eventually(status(n.caller, "/chat/x", "k"), "3s").Should(Equal(http.StatusOK))
		g.store.SetTargetWeights("m", 2)
		holders := map[string]bool{}
		for _, e := range engines {
			Eventually(e.Orders, "12s").ShouldNot(BeEmpty())
			for _, o := range e.Orders() {
				holders[o.Holder] = true
			}
		}
		Expect(holders).To(HaveLen(1))
		Eventually(func() int {
			_ = status(n.caller, "/chat/x", "k")()
			newest := 0
			for _, e := range engines {
				for _, run := range e.Runs() {
					newest = max(newest, run.Weights)
				}
			}
			return newest
		}, "5s").Should(Equal(2))
		salts := map[string]int{}
		for _, e := range engines {
			for _, run := range e.Runs() {
				if before, ok := salts[run.Salt]; ok {
					Expect(before).To(Equal(run.Weights), "two versions of weights shared a cache salt")
				}
				salts[run.Salt] = run.Weights
			}
		}
	})

	// Guards against repeated computation after a restart of all instances at once. They
	// lose their record of which engine received which prompt, so prompts that one engine
	// has cached would be sent to others.
	It("queries the engines for their cache contents after its start", func() {
		g := newRig()
		for i := range 4 {
			g.replica(standin.ReplicaOptions{ID: fmt.Sprint("e", i), Service: "lm", Model: "m"})
		}
		g.store.SetTargetWeights("m", 1)
		g.configure(1, "k")
		before := g.start()
		Eventually(status(before.caller, "/chat/x", "k"), "3s").Should(Equal(http.StatusOK))
		code, _, err := sendPrompt(before.caller, "/chat/x", "first", "k", "ab:4000,1:10")
		Expect(code, err).To(Equal(http.StatusOK))
		after := g.start()
		Eventually(after.log.String, "3s").Should(ContainSubstring("Caches listed."))
		Eventually(status(after.caller, "/chat/x", "k"), "3s").Should(Equal(http.StatusOK))
		code, _, err = sendPrompt(after.caller, "/chat/x", "second", "k", "ab:4000,2:10")
		Expect(code, err).To(Equal(http.StatusOK))
		Eventually(after.log.String).Should(MatchRegexp(`"request_id":"second".*"why":"held"`))
	})

	// Guards against requests that are lost when a process receives SIGTERM: new address
	// answers must not list it, requests that arrive nevertheless must be served, and none
	// may be aborted.
	It("that drains is not listed, serves requests that arrive, and aborts none", func() {
		g := newRig()
		leaving, staying := g.start(), g.start()
		g.replica(standin.ReplicaOptions{ID: "s1", Service: "app", ProcessingTime: 700 * time.Millisecond})
		g.configure(1, "k")
		Eventually(status(leaving.caller, "/open/x", ""), "5s").Should(Equal(http.StatusOK))
		listed := func(at, caller string) func() bool {
			return func() bool {
				response, err := http.Get("http://" + at + "/api/resolve?zone=z")
				if err != nil {
					return false
				}
				defer response.Body.Close()
				body, _ := io.ReadAll(response.Body)
				return strings.Contains(string(body), caller)
			}
		}
		Eventually(listed(staying.directory, leaving.caller), "5s").Should(BeTrue())
		answers := make(chan string, 20)
		for i := range 10 {
			go func() {
				_, body, err := send(leaving.caller, "/open/x", fmt.Sprint("r", i), "")
				answers <- fmt.Sprint(body, err)
			}()
		}
		time.Sleep(100 * time.Millisecond)
		leaving.node.Drain()
		for i := range 10 {
			go func() {
				_, body, err := send(leaving.caller, "/open/x", fmt.Sprint("l", i), "")
				answers <- fmt.Sprint(body, err)
			}()
		}
		response, err := http.Get("http://" + leaving.ready + "/api/readyz")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(listed(staying.directory, leaving.caller), "5s").Should(BeFalse())
		for range 20 {
			Expect(<-answers).To(MatchRegexp(`^answer to [rl]\d<nil>$`))
		}
		Eventually(leaving.done, "5s").Should(Receive(BeNil()))
		leaving.done <- nil
	})

	It("logs its decisions with the request's identifier, and never a key", func() {
		g := newRig()
		n := g.start()
		g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		g.configure(1, "secret-key")
		Eventually(status(n.caller, "/book/x", "secret-key"), "3s").Should(Equal(http.StatusOK))
		_, _, err := send(n.caller, "/book/x", "told", "secret-key")
		Expect(err).NotTo(HaveOccurred())
		Eventually(n.log.String).Should(ContainSubstring(`"request_id":"told"`))
		lines := slices.DeleteFunc(strings.Split(n.log.String(), "\n"), func(l string) bool { return !strings.Contains(l, `"request_id":"told"`) })
		Expect(strings.Join(lines, "")).To(And(ContainSubstring("Request placed."), ContainSubstring("Request answered.")))
		Expect(n.log.String()).NotTo(ContainSubstring("secret-key"))
	})

	// Guards against log lines of which operators keep only the beginning, and which do not name
	// there why a request counts as not run.
	It("names in the first 200 characters of a line which response decided", func() {
		g := newRig()
		n := g.start()
		r := g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		g.configure(1, "key")
		Eventually(status(n.caller, "/book/x", "key"), "3s").Should(Equal(http.StatusOK))
		r.SendExtra(func(int) *standin.Extra {
			return &standin.Extra{Status: http.StatusServiceUnavailable, Delay: time.Millisecond, Identifier: standin.IdentifierBefore}
		})
		_, _, err := send(n.caller, "/book/x", "extra1", "key")
		Expect(err).NotTo(HaveOccurred())
		Eventually(beginning(n, "Malformed response of a backend server", `"request_id":"extra1"`), "3s").Should(And(
			ContainSubstring(`"backend":"s1"`), ContainSubstring(`"of":"extra"`), ContainSubstring(`"status":503`),
			ContainSubstring(`"identifier":"own"`), ContainSubstring(`"sealed":false`), ContainSubstring(`"not_run":true`),
		))
		r.SendExtra(nil)
		r.FailWith(func(int) standin.Fault { return standin.Refuse })
		_, _, err = send(n.caller, "/book/x", "refused1", "key")
		Expect(err).NotTo(HaveOccurred())
		Eventually(beginning(n, "Attempt failed.", `"request_id":"refused1"`)).Should(And(
			ContainSubstring(`"result":"not_run"`), ContainSubstring(`"status":503`), ContainSubstring(`"identifier":"own"`),
			MatchRegexp(`"responses_before":[0-9]+,`), ContainSubstring(`"bytes_behind":0`),
		))
	})

	// Guards against a faulty event in a stream of which the beginnings of lines name neither the
	// server nor what was wrong, nor how the stream ended.
	It("names in the first 200 characters of a line which server sent an event of no run", func() {
		g := newRig()
		n := g.start()
		e := g.engine("e1", "")
		g.store.SetTargetWeights("m", 1)
		g.configure(1, "k")
		Eventually(status(n.caller, "/chat/x", "k"), "5s").Should(Equal(http.StatusOK))
		e.SendGarbage(func(int) *standin.Garbage { return &standin.Garbage{Text: "data: x\n\n", Event: 4} })
		(&stream{}).read(n, "garbled1", 2*streamEvents)
		line := func(message string) func() string {
			read := beginning(n, message, `"request_id":"garbled1"`)
			return func() string { return strings.TrimSpace(fmt.Sprintf("%.*s", keptCharacters-shortNames, read())) }
		}
		Eventually(line("Malformed response of a backend server"), "3s").Should(And(
			ContainSubstring(`"backend":"e1"`), ContainSubstring(`"of":"event"`), ContainSubstring(`"cause":"no id"`),
			ContainSubstring(`"events":3,"last_id":3,"id":-1`),
		))
		Eventually(line("Stream had an event that belongs to no run"), "3s").Should(And(
			ContainSubstring(`"outcome":"cut"`), ContainSubstring(`"cause":"no id"`), ContainSubstring(`"sent_by":"e1"`),
			ContainSubstring(`"after":3,"events":3,`),
		))
		Eventually(func() string { return metricsOf(n) }).Should(And(
			ContainSubstring(`server_responses_malformed_total{part="event"} 1`), ContainSubstring(`cause="event/no id cut"} 1`),
		))
	})

	It("serves counters, ages and latencies on its metrics address", func() {
		g := newRig()
		n := g.start()
		g.replica(standin.ReplicaOptions{ID: "s1", Service: "app"})
		Expect(status(n.caller, "/book/x", "k")()).To(Equal(http.StatusServiceUnavailable))
		g.configure(3, "k")
		Eventually(status(n.caller, "/book/x", "k"), "3s").Should(Equal(http.StatusOK))
		body := metricsOf(n)
		for _, want := range []string{
			"wasabiridge_config_version 3\n", `wasabiridge_requests_total{outcome="answered"} 1`, `wasabiridge_requests_ms{outcome="answered",quantile="0.99"}`,
			`requests_by_cause_total{cause="refused/no configuration known yet"}`, "wasabiridge_config_age_ms ", "wasabiridge_platform_reads_total ",
		} {
			Expect(body).To(ContainSubstring(want))
		}
	})

	reloads := map[string]struct {
		hosted *wasabisettings.Hosted
		want   string
	}{
		"with bounds":  {&wasabisettings.Hosted{Bounds: wasabisettings.Bounds{RevokedKeyLifetime: 9000}}, `"key_life_ms":9000`},
		"without them": {nil, "not applied"},
	}
	for _, name := range slices.Sorted(maps.Keys(reloads)) {
		It("reloads settings "+name, func() {
			n := newRig().start()
			n.node.Reload(wasabisettings.Settings{Hosted: reloads[name].hosted})
			Expect(n.log.String()).To(ContainSubstring(reloads[name].want))
		})
	}

	It("refuses settings without the section hosted", func() {
		_, err := wasabinode.New(wasabinode.Options{Clock: wasabiclock.System()})
		Expect(err).To(MatchError(ContainSubstring("hosted")))
	})
})
