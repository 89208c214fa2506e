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
	// soon bounds every wait of the tests. Nothing is asserted about how
	// much of it was needed.
	soon = "20s"
)

var zones = []wasabiridge.AvailabilityZone{"port-of-spain", "san-fernando", "chaguanas"}

// program is the router, built once for all specs.
var program string

var _ = BeforeSuite(func() {
	program = filepath.Join(GinkgoT().TempDir(), "wasabirouter")
	text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(text))
})

// rigOptions describe what stands around the routers.
type rigOptions struct {
	routers, engines int
	spec             wasabifake.Spec
	// loadTime is how long an engine takes to load weights.
	loadTime wasabiridge.Millis
	// headerTimeout bounds the time to read a header. Zero means the default.
	headerTimeout wasabiridge.Millis
	// oneCore runs the routers on one core, as machines of the platform do.
	oneCore bool
	// lifetime is how long an address answer may be kept.
	lifetime wasabiridge.Millis
	// fromFile gives the routers a configuration file. Otherwise the first
	// configuration is put by an operator.
	fromFile bool
	// program is the router that all routers run at first. Empty means the one of
	// this build. Otherwise the routers also log what is of use to find faults.
	program string
}

// rig is a set of router processes. Everything that they talk to lives in the
// process of the test, so that it can fail when the test wants it to.
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

// router is one router process.
type router struct {
	rig *rig
	id  wasabiridge.InstanceID
	// settings keep the addresses of the first start, as an instance does.
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

// configText is a configuration. The mark tells one from another: it becomes
// the text with which the path "/mark" is refused.
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

// setPlan sets the faults of the table, the objects and the instance list.
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

// startAll starts all routers at once.
func (r *rig) startAll() {
	GinkgoHelper()
	for _, p := range r.routers {
		p.launch()
	}
	for _, p := range r.routers {
		p.awaitListening()
	}
}

// launch starts the process and does not wait for it.
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

// awaitListening waits until the process says where it listens. The addresses
// of the first life are those of all later ones.
func (p *router) awaitListening() {
	GinkgoHelper()
	session := p.process()
	Eventually(session.Err, soon).Should(gbytes.Say("Serving callers"))
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
	Expect(p.process().Command.Process.Signal(s)).To(Succeed())
}

// kill ends the process without a word and waits for its end.
func (p *router) kill() {
	GinkgoHelper()
	session := p.process()
	if session == nil {
		return
	}
	session.Kill()
	Eventually(session, soon).Should(gexec.Exit())
}

// restart ends the process without a word and starts the next one.
func (p *router) restart() {
	GinkgoHelper()
	p.kill()
	p.awaitFree()
	p.launch()
	p.awaitListening()
}

// awaitFree waits until the addresses of the first start can be listened on.
// While nobody listens there, the system may give one of their ports to an
// outgoing connection of any process of the machine for a moment.
func (p *router) awaitFree() {
	GinkgoHelper()
	for _, address := range []string{p.settings.Caller.Listen, p.settings.Operator.Listen} {
		Eventually(func() error {
			socket, err := net.Listen("tcp", address)
			if err != nil {
				return err
			}
			return socket.Close()
		}, soon).Should(Succeed(), address)
	}
}

func (r *rig) urls() []string {
	var urls []string
	for _, p := range r.routers {
		urls = append(urls, p.url())
	}
	return urls
}

// eventuallyUses waits until a router sends requests to each of the engines. A
// router that lost an engine needs a moment to see that it is back.
func (r *rig) eventuallyUses(p *router, engines ...*wasabiengine.Engine) {
	GinkgoHelper()
	c := r.caller(0)
	for _, e := range engines {
		served, asked := e.Served(), 0
		Eventually(func() int {
			asked++
			c.stream(p.url(), fmt.Sprintf("Question %d", asked), 2)
			return e.Served()
		}, soon).Should(BeNumerically(">", served))
	}
}

func (r *rig) eventuallyServing() {
	GinkgoHelper()
	c := r.caller(0)
	for _, p := range r.routers {
		Eventually(func() string { return c.stream(p.url(), "Are you there?", 2).Code }, soon).Should(BeEmpty(), string(p.id))
	}
}
