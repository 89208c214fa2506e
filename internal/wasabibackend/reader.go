package wasabibackend

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/tmaxmax/go-sse"

	"github.com/wasabiridge/wasabiridge"
)

const (
	// loadTimeout limits one load request, including reading the response.
	loadTimeout   = 2 * wasabiridge.Second
	maxLoadBytes  = 16 << 10
	maxBatchBytes = 512 << 10
	maxEventID    = 64
	eventsPath    = "/cache/events"
	// newestPath requests a stream that starts at the newest event instead of
	// replaying the earlier events that the engine has kept.
	newestPath = eventsPath + "?from=newest"
	// eventFrameBytes is the approximate size of an event without its payload.
	eventFrameBytes = 32
	// lostThreshold is the number of consecutive failed load requests after
	// which a server is reported as lost.
	lostThreshold = 2
	// lostRepeatInterval is how often BackendLost is repeated while the server
	// does not answer, because the ring may have dropped the first event.
	lostRepeatInterval = 10 * wasabiridge.Second
)

// loadPoller polls the load of one server. It reports BackendLost when the
// server stops answering and BackendLeaving when the server starts to leave.
type loadPoller struct {
	intake       *Monitor
	backend      wasabiridge.BackendServer
	backoff      *backoff
	failures     int
	lostReported wasabiridge.Millis
	leaving      bool
}

func newLoadPoller(i *Monitor, b wasabiridge.BackendServer) *loadPoller {
	return &loadPoller{intake: i, backend: b, backoff: newBackoff(i.opts.Seed, string(b.ID)+"/load")}
}

func (r *loadPoller) run(ctx context.Context) {
	// If the interval is longer than LoadInterval because there are many servers,
	// the first requests are spread over the difference. Otherwise every restart
	// would begin with a burst that exceeds the limit on load requests.
	if extra := r.intake.loadInterval() - r.intake.opts.LoadInterval; extra > 0 {
		r.intake.opts.Sleep(ctx, r.backoff.draw(extra))
	}
	for ctx.Err() == nil {
		report, err := r.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		// jitter returns between half of its argument and all of it, on average
		// three quarters; 4/3 makes the mean equal to the interval.
		wait := r.backoff.jitter(r.intake.loadInterval() * 4 / 3)
		switch {
		case err == nil:
			r.succeed(report)
		case errorx.IsOfType(err, wasabiridge.ErrNotFound):
			// An engine that does not publish load reports is not lost.
			r.failures = 0
			wait = r.backoff.next()
		default:
			r.fail()
			wait = r.backoff.next()
		}
		r.intake.opts.Sleep(ctx, wait)
	}
}

func (r *loadPoller) poll(ctx context.Context) (wasabiridge.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	var resp *http.Response
	var err error
	if resp, err = r.intake.get(ctx, r.backend, "/load", ""); err != nil {
		return wasabiridge.LoadReport{}, err
	}
	defer resp.Body.Close()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes)); err != nil {
		return wasabiridge.LoadReport{}, wasabiridge.ErrUnavailable.Wrap(err, "backend: reading the load report of %s", r.backend.ID)
	}
	report, ok := decodeLoad(r.intake.opts.Clock.Now(), r.backend.ID, data)
	if !ok {
		return report, wasabiridge.ErrInvalid.New("backend: load report of %s is malformed", r.backend.ID)
	}
	return report, nil
}

func (r *loadPoller) succeed(report wasabiridge.LoadReport) {
	r.failures = 0
	r.backoff.reset()
	r.intake.opts.Ring.Put(wasabiridge.LoadReported{Report: report})
	if report.Leaving && !r.leaving {
		r.intake.opts.Ring.Put(wasabiridge.BackendLeaving{Backend: r.backend.ID})
	}
	r.leaving = report.Leaving
}

func (r *loadPoller) fail() {
	r.failures++
	now := r.intake.opts.Clock.Now()
	if r.failures < lostThreshold || (r.failures > lostThreshold && now-r.lostReported < lostRepeatInterval) {
		return
	}
	r.lostReported = now
	r.intake.opts.Ring.Put(wasabiridge.BackendLost{Backend: r.backend.ID})
}

// eventReader reads the cache event stream of one engine and reconnects when
// it ends.
type eventReader struct {
	intake  *Monitor
	backend wasabiridge.BackendServer
	backoff *backoff
	// lastID is the id of the last event received. It is sent on reconnect, so
	// that the stream resumes after that event.
	lastID string
	// throttle is how long the reader waits before it reconnects to stay within
	// its byte budget, or zero.
	throttle wasabiridge.Millis
}

func newEventReader(i *Monitor, b wasabiridge.BackendServer) *eventReader {
	return &eventReader{intake: i, backend: b, backoff: newBackoff(i.opts.Seed, string(b.ID)+"/events")}
}

func (r *eventReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.readStream(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := r.throttle
		if wait == 0 {
			wait = r.backoff.next()
		}
		r.intake.opts.Sleep(ctx, wait)
	}
}

// readStream opens one connection and reads it until it ends, until an invalid
// message arrives, or until the byte budget is used up.
func (r *eventReader) readStream(ctx context.Context) {
	path := eventsPath
	if r.throttle > 0 {
		// Events published while the reader was throttled are skipped: they
		// would be out of date by the time they were read.
		path, r.lastID, r.throttle = newestPath, "", 0
	}
	resp, err := r.intake.get(ctx, r.backend, path, r.lastID)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	received := 0
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxBatchBytes}) {
		if err != nil || ctx.Err() != nil {
			return
		}
		events, ok := decodeBatch(r.backend.ID, event.Data)
		if !ok {
			return
		}
		r.lastID = validEventID(event.LastEventID)
		r.backoff.reset()
		if len(events) > 0 {
			r.intake.opts.Ring.Put(wasabiridge.CacheChanged{Events: events})
		}
		received += len(event.Data) + eventFrameBytes
		if r.throttle = r.intake.throttleDelay(received); r.throttle > 0 {
			return
		}
	}
}

// validEventID returns the id if it can be sent in a Last-Event-ID header, and
// otherwise the empty string. An id with bytes that a header must not contain
// would make every later request fail.
func validEventID(id string) string {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(id) > maxEventID || strings.ContainsFunc(id, invalid) {
		return ""
	}
	return id
}
