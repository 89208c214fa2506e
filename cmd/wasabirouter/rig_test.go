package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclient"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabifault"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
	"github.com/wasabiridge/wasabiridge/internal/wasabiservice"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

const (
	loopback    = "127.0.0.1:0"
	operatorKey = "operator-key"
	// waitTimeout bounds every wait of the tests. The time that a wait takes is not asserted.
	waitTimeout = "20s"
)

var zones = []wasabiridge.AvailabilityZone{"port-of-spain", "san-fernando", "chaguanas"}

// program is the path of the router program, built once for all specs.
var program string

var _ = BeforeSuite(func() {
	program = filepath.Join(GinkgoT().TempDir(), "wasabirouter")
	text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(text))
})

// rigOptions configure the routers of a rig and their environment.
type rigOptions struct {
	routers, engines int
	spec             wasabifake.Spec
	// loadTime is the time that an engine takes to load weights.
	loadTime wasabiridge.Millis
	// headerTimeout is the routers' time-out for reading a header. Zero means the default.
	headerTimeout wasabiridge.Millis
	// oneCore runs each router with GOMAXPROCS=1, as on the platform.
	oneCore bool
	// lifetime is the lifetime of address responses.
	lifetime wasabiridge.Millis
	// fromFile starts the routers with a configuration file. Otherwise an operator puts the
	// first configuration.
	fromFile bool
	// program is the router that all routers run at first. Empty means the one of
	// this build. Otherwise the routers also log what is of use to find faults.
	program string
}

// rig is a set of router processes. Engines, service and platform run within the test
// process, so that a test can make them fail.
type rig struct {
	options  rigOptions
	engines  []*wasabiengine.Engine
	oracle   *wasabiengine.Engine
	service  *wasabiservice.Service
	platform *wasabiplatform.StandIn
	store    *wasabiserver.Server
	routers  []*router
	config   string
}

// router is a router process.
type router struct {
	rig *rig
	id  wasabiridge.InstanceID
	// settings include the addresses of the first start, which later starts reuse.
	settings wasabisettings.Settings
	// program is the path of the program of the next start.
	program string

	mu      sync.Mutex
	session *gexec.Session
	client  *wasabiclient.Client
}

func newRig(o rigOptions) *rig {
	GinkgoHelper()
	r := &rig{options: o}
	r.oracle = startStandIn(wasabifake.Spec{ID: "oracle"}, 0)
	for i := range o.engines {
		spec := o.spec
		spec.ID = wasabiridge.BackendServerID(fmt.Sprintf("answer-%d", i+1))
		r.engines = append(r.engines, startStandIn(spec, o.loadTime))
	}
	r.service = wasabiservice.New("bookings-1")
	Expect(r.service.Start(loopback)).To(Succeed())
	DeferCleanup(r.service.Close)
	r.platform = wasabiplatform.NewStandIn(wasabiplatform.StandInOptions{Clock: wasabiclock.System()})
	r.store = wasabiserver.New(r.platform.Handler())
	Expect(r.store.Start(loopback)).To(Succeed())
	DeferCleanup(r.store.Crash)
	r.config = writeFile(GinkgoTB(), "config.jsonc", r.configText(""))
	for i := range o.routers {
		r.routers = append(r.routers, r.newRouter(i))
	}
	r.startAll()
	if !o.fromFile {
		Expect(r.put(r.routers[0], 0, "first", r.configText(""))).To(Equal(accepted))
	}
	r.eventuallyServing()
	return r
}

func startStandIn(spec wasabifake.Spec, loadTime wasabiridge.Millis) *wasabiengine.Engine {
	GinkgoHelper()
	e := wasabiengine.New(wasabiengine.Options{Spec: spec, LoadTime: loadTime, Clock: wasabiclock.System()})
	Expect(e.Start(loopback)).To(Succeed())
	DeferCleanup(e.Close)
	return e
}

// configText returns a configuration. The mark distinguishes it from others: it is part
// of the text with which the path "/mark" is refused.
func (r *rig) configText(mark string) string {
	GinkgoHelper()
	answer := wasabiridge.Pool{ID: "answer", BlockTokens: r.options.spec.BlockTokens}
	for _, e := range r.engines {
		answer.Backends = append(answer.Backends, e.Backend())
	}
	text, err := json.Marshal(wasabiridge.Config{
		Accounts: []wasabiridge.ClientAccount{{ID: "liftwell", KeyHashes: []string{wasabioperator.HashKey(key)}, Pools: []wasabiridge.PoolID{"answer", "bookings"}}},
		Pools:    []wasabiridge.Pool{answer, {ID: "bookings", Backends: []wasabiridge.BackendServer{r.service.Backend()}}},
		Rules: []wasabiridge.Rule{
			{ID: "mark", When: wasabiridge.Condition{Path: "/mark"}, Then: wasabiridge.Action{Refuse: "mark " + mark}},
			{ID: "bookings", When: wasabiridge.Condition{Path: "/bookings"}, Then: wasabiridge.Action{Pool: "bookings", NonIdempotent: true}},
			{ID: "answers", When: wasabiridge.Condition{Path: "/v1/*"}, Then: wasabiridge.Action{Pool: "answer", Retry: true, Resume: true}},
		},
	})
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// setPlan sets the fault plan of the table, the objects and the instance list.
func (r *rig) setPlan(p wasabifault.Plan) {
	r.platform.Table.Faults().SetPlan(p)
	r.platform.Objects.Faults().SetPlan(p)
	r.platform.Instances.Faults().SetPlan(p)
}

func (r *rig) newRouter(i int) *router {
	platform := r.platform.Settings(r.store.URL())
	platform.Timeout = 2 * wasabiridge.Second
	p := &router{rig: r, id: wasabiridge.InstanceID(fmt.Sprintf("router-%d", i+1))}
	p.settings = wasabisettings.Settings{
		Instance: p.id, Zone: zones[i%len(zones)], Platform: &platform,
		Caller:   wasabisettings.Listener{Listen: loopback},
		Operator: wasabisettings.OperatorListener{Listener: wasabisettings.Listener{Listen: loopback}, KeyHashes: []string{wasabioperator.HashKey(operatorKey)}},
		Drain:    wasabisettings.Drain{AnswerLifetime: r.options.lifetime},
		Limits:   wasabisettings.Limits{HeaderTimeout: r.options.headerTimeout},
	}
	if r.options.fromFile {
		p.settings.ConfigFile = r.config
	}
	p.program = program
	if r.options.program != "" {
		p.program, p.settings.LogLevel = r.options.program, "debug"
	}
	DeferCleanup(p.kill)
	return p
}

// startAll starts all routers at once and waits until they listen.
func (r *rig) startAll() {
	GinkgoHelper()
	for _, p := range r.routers {
		p.launch()
	}
	for _, p := range r.routers {
		p.awaitListening()
	}
}

// launch starts the process without waiting until it listens.
func (p *router) launch() {
	GinkgoHelper()
	text, err := json.Marshal(p.settings)
	Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(p.program, "run", "--settings", writeFile(GinkgoTB(), "settings.jsonc", string(text)))
	if p.rig.options.oneCore {
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	session, err := gexec.Start(cmd, nil, nil)
	Expect(err).NotTo(HaveOccurred())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.session = session
}

// awaitListening waits until the process has logged its addresses. Those of the first
// incarnation are reused by all later ones.
func (p *router) awaitListening() {
	GinkgoHelper()
	session := p.process()
	Eventually(session.Err, waitTimeout).Should(gbytes.Say("Serving callers"))
	if p.settings.Caller.Listen != loopback {
		return
	}
	for line := range strings.Lines(string(session.Err.Contents())) {
		var entry struct {
			Message string `json:"message"`
			URL     string `json:"url"`
		}
		Expect(json.Unmarshal([]byte(line), &entry)).To(Succeed(), line)
		listener := wasabisettings.Listener{Listen: strings.TrimPrefix(entry.URL, "http://")}
		switch entry.Message {
		case "Serving callers.":
			p.settings.Caller = listener
		case "Serving operators.":
			p.settings.Operator.Listener = listener
		}
	}
}

func (p *router) process() *gexec.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session
}

func (p *router) url() string         { return "http://" + p.settings.Caller.Listen }
func (p *router) operatorURL() string { return "http://" + p.settings.Operator.Listen }

func (p *router) signal(s os.Signal) {
	GinkgoHelper()
	session := p.process()
	Expect(session.Command.Process.Signal(s)).To(Succeed(), func() string {
		output := session.Err.Contents()
		return fmt.Sprintf("exit code %d, last output: %s", session.ExitCode(), output[max(0, len(output)-4096):])
	})
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *router) kill() {
	GinkgoHelper()
	session := p.process()
	if session == nil {
		return
	}
	session.Kill()
	Eventually(session, waitTimeout).Should(gexec.Exit())
}

// restart kills the process, starts it again and waits until it listens.
func (p *router) restart() {
	GinkgoHelper()
	p.kill()
	p.awaitFree()
	p.launch()
	p.awaitListening()
}

// awaitFree waits until the addresses of the first start are free. Without a listener,
// the system may briefly assign one of the ports to an outgoing connection of any
// process.
func (p *router) awaitFree() {
	GinkgoHelper()
	for _, address := range []string{p.settings.Caller.Listen, p.settings.Operator.Listen} {
		Eventually(func() error {
			socket, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			return socket.Close()
		}, waitTimeout).Should(Succeed(), address)
	}
}

func (r *rig) urls() []string {
	var urls []string
	for _, p := range r.routers {
		urls = append(urls, p.url())
	}
	return urls
}

// eventuallyUses waits until a router sends requests to each of the engines. A router
// needs some time to detect that a lost engine is back.
func (r *rig) eventuallyUses(p *router, engines ...*wasabiengine.Engine) {
	GinkgoHelper()
	c := r.caller(0)
	for _, e := range engines {
		served, sent := e.StartedAnswers(), 0
		Eventually(func() int {
			sent++
			c.stream(p.url(), fmt.Sprintf("Question %d", sent), 2)
			return e.StartedAnswers()
		}, waitTimeout).Should(BeNumerically(">", served))
	}
}

// eventuallyServing waits until every router serves requests.
func (r *rig) eventuallyServing() {
	GinkgoHelper()
	c := r.caller(0)
	for _, p := range r.routers {
		Eventually(func() string { return c.stream(p.url(), "Are you there?", 2).Code }, waitTimeout).Should(BeEmpty(), string(p.id))
	}
}
