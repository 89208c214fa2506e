// Package wasabiengine is an HTTP stand-in for a model engine, used by the demo,
// tests and experiments.
//
// It speaks the OpenAI-compatible API with the extensions that
// docs/BACKENDS.md lists, on top of the simulated engine of package wasabifake: a
// bounded prefix cache, prefill and decode costs, slots and a queue. Its answers
// are generated deterministically: the same prompt and weights version give the
// same tokens on every engine, so that a resumed answer can be compared token by
// token.
//
// # Usage
//
//	engine := wasabiengine.New(wasabiengine.Options{Clock: wasabiclock.System()})
//	if err := engine.Start("127.0.0.1:0"); err != nil {
//		return err
//	}
//	defer engine.Close()
//	fmt.Println(engine.URL())
//
// A test makes an engine fail at a chosen point:
//
//	engine.Inject(wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 7})
package wasabiengine

import (
	"net/http"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
)

const (
	defaultCacheBlocks = 256
	defaultSlots       = 256
	defaultQueue       = 1024
)

// Options configure an Engine. Clock must be set.
type Options struct {
	// Spec holds the costs and limits of the engine. Zero cache blocks, slots
	// and queue limit mean 256, 256 and 1024; zero weights mean version 1.
	Spec  wasabifake.Spec
	Model wasabiridge.ModelID
	Clock wasabiridge.Clock
	// MaxLoadAge is the maximum age of a load report. A report is served again
	// until it is that old.
	MaxLoadAge wasabiridge.Millis
	// EventDelay is the delay before cache events are sent.
	EventDelay wasabiridge.Millis
	// LoadTime is the time to load weights, during which requests are refused.
	LoadTime wasabiridge.Millis
	// IgnoresFencing makes the engine execute orders with an old fencing number.
	IgnoresFencing bool
	// CrashOn makes the engine crash when it has accepted a request whose prompt
	// contains this text. Empty disables it.
	CrashOn string
}

// Engine is a stand-in for a model engine with its own listener. It is safe for
// concurrent use.
type Engine struct {
	wasabiserver.Faults
	opts           Options
	server         *wasabiserver.Server
	runner         *modelRunner
	report         atomic.Pointer[wasabiridge.LoadReport]
	served         atomic.Int64
	cancelled      atomic.Int64
	written        atomic.Int64
	requestCrashes atomic.Int64
}

// New returns an engine that does not listen yet. The caller must call Close.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{opts: o, runner: newModelRunner(o.Clock, o.Spec)}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.handleChat)
	r.Post("/v1/completions", e.handleText)
	r.Get("/v1/models", e.handleModels)
	r.Get("/load", e.handleLoad)
	r.Get("/cache/events", e.handleEvents)
	r.Get("/weights", e.handleWeights)
	r.Post("/weights", e.handleOrder)
	e.server = wasabiserver.New(r)
	return e
}

func (o Options) withDefaults() Options {
	if o.Spec.Weights == 0 {
		o.Spec.Weights = 1
	}
	if o.Spec.CacheBlocks == 0 {
		o.Spec.CacheBlocks = defaultCacheBlocks
	}
	if o.Spec.Slots == 0 {
		o.Spec.Slots = defaultSlots
	}
	if o.Spec.QueueLimit == 0 {
		o.Spec.QueueLimit = defaultQueue
	}
	if o.Model == "" {
		o.Model = "stand-in"
	}
	return o
}

// Start starts the engine, or restarts it after Crash. The first call listens on
// the address, such as "127.0.0.1:0". After a crash the address is ignored: the
// engine listens on its previous one, with a new incarnation and an empty cache.
func (e *Engine) Start(address string) error {
	e.runner.restart()
	return e.server.Start(address)
}

// Crash stops the engine as a crash of the process does: the cache is lost and
// open connections are closed. Start restarts it.
func (e *Engine) Crash() {
	e.runner.crash()
	e.server.Crash()
}

// Close stops the engine. It cannot be started again.
func (e *Engine) Close() {
	e.Crash()
	e.runner.close()
}

// URL returns the base address of the engine.
func (e *Engine) URL() string { return e.server.URL() }

// Backend returns the entry of the engine in a configuration.
func (e *Engine) Backend() wasabiridge.BackendServer {
	return wasabiridge.BackendServer{
		ID: e.opts.Spec.ID, Kind: wasabiridge.BackendEngine, URL: e.URL(),
		Slots: e.opts.Spec.Slots, ChecksFencing: !e.opts.IgnoresFencing,
	}
}

// Incarnation returns the current incarnation. Each restart increments it.
func (e *Engine) Incarnation() wasabiridge.Incarnation {
	incarnation, _ := e.runner.versions()
	return incarnation
}

// Weights returns the version of the weights that are loaded.
func (e *Engine) Weights() wasabiridge.WeightsVersion {
	_, weights := e.runner.versions()
	return weights
}

// Load returns a current load report, without MaxLoadAge.
func (e *Engine) Load() wasabiridge.LoadReport { return e.runner.load() }

// CrashCount returns how many crashes requests with the text CrashOn have caused.
func (e *Engine) CrashCount() int { return int(e.requestCrashes.Load()) }

// StartedAnswers returns how many answers were started.
func (e *Engine) StartedAnswers() int { return int(e.served.Load()) }

// CancelledAnswers returns how many answers ended because the caller disconnected.
func (e *Engine) CancelledAnswers() int { return int(e.cancelled.Load()) }

// WrittenTokens returns how many tokens were written to streams.
func (e *Engine) WrittenTokens() int { return int(e.written.Load()) }

// SetLeaving sets the leaving flag of the load reports, which requests that no new
// work is placed here. The engine still accepts requests.
func (e *Engine) SetLeaving() {
	e.runner.mu.Lock()
	defer e.runner.mu.Unlock()
	e.runner.model.SetLeaving()
}

// DropEvents drops the next count cache events.
func (e *Engine) DropEvents(count int) {
	e.runner.mu.Lock()
	defer e.runner.mu.Unlock()
	e.runner.eventsToDrop += count
}

// loadReport returns a load report that is at most MaxLoadAge old.
func (e *Engine) loadReport() wasabiridge.LoadReport {
	if r := e.report.Load(); r != nil && e.opts.Clock.Now()-r.MeasuredAt < e.opts.MaxLoadAge {
		return *r
	}
	r := e.runner.load()
	e.report.Store(&r)
	return r
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	r := e.loadReport()
	writeJSON(w, http.StatusOK, loadBody{
		Incarnation:   uint64(r.Incarnation),
		AgeMillis:     int64(e.opts.Clock.Now() - r.MeasuredAt),
		Running:       r.Running,
		Waiting:       r.Waiting,
		WaitingTokens: r.WaitingTokens,
		Weights:       uint64(r.Weights),
		Leaving:       r.Leaving,
	})
}
