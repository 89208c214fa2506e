package wasabibackend

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

const defaultLoadEvery = wasabiridge.Second / 2

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
	// EventStreams bounds how many cache event streams are open. Zero means
	// no bound.
	EventStreams int
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
	streams := 0
	for _, b := range backends {
		if b.Kind != wasabiridge.BackendEngine {
			continue
		}
		events := i.opts.EventStreams == 0 || streams < i.opts.EventStreams
		streams++
		wanted[b.ID] = true
		i.start(b, events)
	}
	for id, w := range i.watching {
		if !wanted[id] {
			w.cancel()
			delete(i.watching, id)
		}
	}
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

// get asks a backend server. The caller closes the body.
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
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, wasabiridge.ErrUnavailable.New("backend: %s of %s answers %d", path, b.ID, resp.StatusCode)
	}
	return resp, nil
}
