package wasabibackend

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const (
	defaultLoadEvery = wasabiridge.Second / 2
	defaultQuestions = 32
)

// IntakeOptions set up an Intake.
type IntakeOptions struct {
	Clock wasabiridge.Clock
	// Ring takes the news.
	Ring *Ring
	// Seed makes the waits repeatable. Instances need different seeds.
	Seed uint64
	// LoadEvery is the mean time between questions for load. Zero means half
	// a second.
	LoadEvery wasabiridge.Millis
	// Questions bounds the questions for load in a second over all servers.
	// When that is too few for LoadEvery, each server is asked less often, so
	// that the cost of an instance does not grow with the pools. Zero means
	// 32.
	Questions int
	// EventStreams bounds how many cache event streams are open. Zero means
	// no bound.
	EventStreams int
	// EventBudget bounds the bytes of cache events in a second over all
	// streams. A stream that goes beyond its part is closed for a while and
	// then goes on with the newest events; the gap shows in their numbers.
	// Zero means no bound.
	EventBudget int
	// Sleep waits for a length of time and returns early when the context is
	// done. Nil means a timer of the system.
	Sleep func(ctx context.Context, d wasabiridge.Millis)
}

// Intake reads the load reports and cache event streams of backend servers and
// puts LoadReported, CacheChanged, BackendLost and BackendLeaving events into
// a ring. Each server has one goroutine for load and one for cache events. It
// is safe for concurrent use.
type Intake struct {
	opts      IntakeOptions
	transport *http.Transport

	mu       sync.Mutex
	watching map[wasabiridge.BackendServerID]*watch
	running  sync.WaitGroup
	// watched counts the servers that are asked for load, and streams those
	// whose cache events are followed.
	watched atomic.Int64
	streams atomic.Int64
}

// watch is one backend server that is watched.
type watch struct {
	backend wasabiridge.BackendServer
	events  bool
	cancel  context.CancelFunc
}

// NewIntake returns an intake that watches nothing yet.
func NewIntake(o IntakeOptions) *Intake {
	if o.LoadEvery == 0 {
		o.LoadEvery = defaultLoadEvery
	}
	if o.Questions == 0 {
		o.Questions = defaultQuestions
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	return &Intake{
		opts:      o,
		transport: newTransport(Options{}.withDefaults()),
		watching:  make(map[wasabiridge.BackendServerID]*watch),
	}
}

func sleep(ctx context.Context, d wasabiridge.Millis) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Watch replaces the set of watched servers. Only engines are watched. The
// first EventStreams of them have their cache events followed, so the list is
// given in order of use.
func (i *Intake) Watch(backends []wasabiridge.BackendServer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	wanted := make(map[wasabiridge.BackendServerID]bool, len(backends))
	var engines []wasabiridge.BackendServer
	for _, b := range backends {
		if b.Kind == wasabiridge.BackendEngine && !wanted[b.ID] {
			wanted[b.ID] = true
			engines = append(engines, b)
		}
	}
	streams := len(engines)
	if i.opts.EventStreams > 0 {
		streams = min(streams, i.opts.EventStreams)
	}
	i.watched.Store(int64(len(engines)))
	i.streams.Store(int64(streams))
	for n, b := range engines {
		i.start(b, n < streams)
	}
	for id, w := range i.watching {
		if !wanted[id] {
			w.cancel()
			delete(i.watching, id)
		}
	}
}

// loadSpan returns the mean time between two questions to one server.
func (i *Intake) loadSpan() wasabiridge.Millis {
	shared := wasabiridge.Millis(i.watched.Load()) * wasabiridge.Second / wasabiridge.Millis(i.opts.Questions)
	return max(i.opts.LoadEvery, shared)
}

// overspent returns how long a stream must rest that took so many bytes, or
// zero when it may go on. Each stream has an equal part of the budget and may
// take a second's worth at once.
func (i *Intake) overspent(bytes int) wasabiridge.Millis {
	budget := int64(i.opts.EventBudget)
	needed := int64(bytes) * i.streams.Load()
	if budget == 0 || needed < budget {
		return 0
	}
	return wasabiridge.Millis(needed * int64(wasabiridge.Second) / budget)
}

// start watches a server unless it is watched in the same way already.
func (i *Intake) start(b wasabiridge.BackendServer, events bool) {
	if w, ok := i.watching[b.ID]; ok {
		if w.backend.URL == b.URL && w.events == events {
			return
		}
		w.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	i.watching[b.ID] = &watch{backend: b, events: events, cancel: cancel}
	i.running.Add(1)
	go func() {
		defer i.running.Done()
		newLoadReader(i, b).run(ctx)
	}()
	if !events {
		return
	}
	i.running.Add(1)
	go func() {
		defer i.running.Done()
		newEventReader(i, b).run(ctx)
	}()
}

// Close stops watching and waits for the goroutines.
func (i *Intake) Close() {
	i.Watch(nil)
	i.running.Wait()
	i.transport.CloseIdleConnections()
}

// get asks a backend server. The caller closes the body. It reports ErrNotFound
// when the server answers but does not publish what was asked for.
func (i *Intake) get(ctx context.Context, b wasabiridge.BackendServer, path, lastEvent string) (*http.Response, error) {
	var req *http.Request
	var err error
	if req, err = http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(b.URL, "/")+path, nil); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "backend: address of %s", b.ID)
	}
	if lastEvent != "" {
		req.Header.Set("Last-Event-ID", lastEvent)
	}
	var resp *http.Response
	if resp, err = i.transport.RoundTrip(req); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "backend: %s of %s", path, b.ID)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		resp.Body.Close()
		return nil, wasabiridge.ErrNotFound.New("backend: %s has no %s", b.ID, path)
	default:
		resp.Body.Close()
		return nil, wasabiridge.ErrUnavailable.New("backend: %s of %s answers %d", path, b.ID, resp.StatusCode)
	}
	return resp, nil
}
