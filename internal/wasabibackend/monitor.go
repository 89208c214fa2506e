package wasabibackend

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabihead"
)

const (
	defaultLoadInterval = wasabiridge.Second / 2
	defaultLoadRequests = 32
)

// MonitorOptions configure a Monitor. Clock and Ring are required.
type MonitorOptions struct {
	Clock wasabiridge.Clock
	// Ring receives the events.
	Ring *Ring
	// Seed determines the random delays. Instances need different seeds, or
	// they would poll in step.
	Seed uint64
	// LoadInterval is the mean interval between two load requests to a server.
	// Zero means half a second.
	LoadInterval wasabiridge.Millis
	// LoadRequestsPerSecond limits the load requests per second to all servers together.
	// When LoadInterval would exceed it, each server is polled less often, so that
	// the cost of an instance does not grow with the pools. Zero means 32.
	LoadRequestsPerSecond int
	// MaxEventStreams limits the number of open cache event streams. Zero means
	// no limit.
	MaxEventStreams int
	// EventBytesPerSecond limits the bytes of cache events per second, summed over all
	// streams. A stream that exceeds its share is closed for a while and then
	// reopened at the newest event; the skipped events show as a gap in the
	// sequence numbers. Zero means no limit.
	EventBytesPerSecond int
	// Sleep waits for d, or until the context is done. Nil means a system
	// timer.
	Sleep func(ctx context.Context, d wasabiridge.Millis)
}

// Monitor polls the load reports of backend servers, reads their cache event
// streams, and puts LoadReported, CacheChanged, BackendLost and BackendLeaving
// events into a Ring. It runs one goroutine per server for load reports and one
// per open cache event stream. It is safe for concurrent use.
type Monitor struct {
	opts      MonitorOptions
	transport *http.Transport

	mu       sync.Mutex
	watching map[wasabiridge.BackendServerID]*watch
	running  sync.WaitGroup
	// watched is the number of servers whose load is polled; streams is the
	// number of servers whose cache events are read.
	watched atomic.Int64
	streams atomic.Int64
}

// watch is one watched backend server. If events is set, its cache events are
// read as well as its load reports.
type watch struct {
	backend wasabiridge.BackendServer
	events  bool
	cancel  context.CancelFunc
}

// NewMonitor returns a Monitor that watches no servers yet.
func NewMonitor(o MonitorOptions) *Monitor {
	if o.LoadInterval == 0 {
		o.LoadInterval = defaultLoadInterval
	}
	if o.LoadRequestsPerSecond == 0 {
		o.LoadRequestsPerSecond = defaultLoadRequests
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	return &Monitor{
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

// Watch replaces the set of watched servers. Servers that are not engines are
// ignored. Cache events are read from the first MaxEventStreams engines only, so
// the servers used most should come first.
func (i *Monitor) Watch(backends []wasabiridge.BackendServer) {
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
	if i.opts.MaxEventStreams > 0 {
		streams = min(streams, i.opts.MaxEventStreams)
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

// loadInterval returns the mean interval between two load requests to one server.
func (i *Monitor) loadInterval() wasabiridge.Millis {
	limited := wasabiridge.Millis(i.watched.Load()) * wasabiridge.Second / wasabiridge.Millis(i.opts.LoadRequestsPerSecond)
	return max(i.opts.LoadInterval, limited)
}

// throttleDelay returns how long a stream must stay closed after it received
// the given number of bytes, or zero while it may stay open. Each stream has an
// equal share of the budget and may use one second of its share in a burst.
func (i *Monitor) throttleDelay(bytes int) wasabiridge.Millis {
	budget := int64(i.opts.EventBytesPerSecond)
	needed := int64(bytes) * i.streams.Load()
	if budget == 0 || needed < budget {
		return 0
	}
	return wasabiridge.Millis(needed * int64(wasabiridge.Second) / budget)
}

// start starts the goroutines for a server, unless they run already for the
// same URL and the same choice of events.
func (i *Monitor) start(b wasabiridge.BackendServer, events bool) {
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
		newLoadPoller(i, b).run(ctx)
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

// Close stops watching all servers and waits for the goroutines to end.
func (i *Monitor) Close() {
	i.Watch(nil)
	i.running.Wait()
	i.transport.CloseIdleConnections()
}

// get sends a GET request to a backend server. The caller closes the body. It
// returns ErrNotFound when the server does not implement the path, and
// ErrUnavailable when the server does not answer or answers with another status.
func (i *Monitor) get(ctx context.Context, b wasabiridge.BackendServer, path, lastEvent string) (*http.Response, error) {
	var req *http.Request
	var err error
	if req, err = http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(b.URL, "/")+path, nil); err != nil {
		return nil, wasabiridge.ErrInvalid.Wrap(err, "backend: invalid URL of %s", b.ID)
	}
	if lastEvent != "" {
		req.Header.Set("Last-Event-ID", lastEvent)
	}
	var resp *http.Response
	if resp, err = wasabihead.Transport(i.transport).RoundTrip(req); err != nil {
		return nil, wasabiridge.ErrUnavailable.Wrap(err, "backend: GET %s from %s failed", path, b.ID)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		resp.Body.Close()
		return nil, wasabiridge.ErrNotFound.New("backend: %s does not implement %s", b.ID, path)
	default:
		resp.Body.Close()
		return nil, wasabiridge.ErrUnavailable.New("backend: GET %s from %s: unexpected status %d", path, b.ID, resp.StatusCode)
	}
	return resp, nil
}
