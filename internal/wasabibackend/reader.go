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
	// loadTimeout bounds one question for load.
	loadTimeout   = 2 * wasabiridge.Second
	maxLoadBytes  = 16 << 10
	maxBatchBytes = 512 << 10
	maxEventID    = 64
	eventsPath    = "/cache/events"
	// newestPath leaves out what the engine keeps of the past.
	newestPath = eventsPath + "?from=newest"
	// eventFrameBytes is about what frames add to the payload of an event.
	eventFrameBytes = 32
	// lostAfter is how many questions in a row must fail before a server
	// counts as lost.
	lostAfter = 2
	// lostAgain is how often a loss is repeated, because the ring may have
	// dropped it.
	lostAgain = 10 * wasabiridge.Second
)

// loadReader asks one server for its load again and again.
type loadReader struct {
	intake   *Intake
	backend  wasabiridge.BackendServer
	backoff  *backoff
	failures int
	lostTold wasabiridge.Millis
	leaving  bool
}

func newLoadReader(i *Intake, b wasabiridge.BackendServer) *loadReader {
	return &loadReader{intake: i, backend: b, backoff: newBackoff(i.opts.Seed, string(b.ID)+"/load")}
}

func (r *loadReader) run(ctx context.Context) {
	// A few servers are asked at once. Many are not, or every restart would
	// begin with a burst beyond the bound on questions.
	if extra := r.intake.loadSpan() - r.intake.opts.LoadEvery; extra > 0 {
		r.intake.opts.Sleep(ctx, r.backoff.draw(extra))
	}
	for ctx.Err() == nil {
		report, err := r.ask(ctx)
		if ctx.Err() != nil {
			return
		}
		// The draw is between half and the whole, so its mean is three
		// quarters.
		wait := r.backoff.jitter(r.intake.loadSpan() * 4 / 3)
		switch {
		case err == nil:
			r.succeed(report)
		case errorx.IsOfType(err, wasabiridge.ErrNotFound):
			// An engine without load reports lives all the same.
			r.failures = 0
			wait = r.backoff.next()
		default:
			r.fail()
			wait = r.backoff.next()
		}
		r.intake.opts.Sleep(ctx, wait)
	}
}

func (r *loadReader) ask(ctx context.Context) (wasabiridge.LoadReport, error) {
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
		return wasabiridge.LoadReport{}, wasabiridge.ErrUnavailable.Wrap(err, "backend: load of %s", r.backend.ID)
	}
	report, ok := decodeLoad(r.intake.opts.Clock.Now(), r.backend.ID, data)
	if !ok {
		return report, wasabiridge.ErrInvalid.New("backend: load of %s is no report", r.backend.ID)
	}
	return report, nil
}

func (r *loadReader) succeed(report wasabiridge.LoadReport) {
	r.failures = 0
	r.backoff.reset()
	r.intake.opts.Ring.Put(wasabiridge.LoadReported{Report: report})
	if report.Leaving && !r.leaving {
		r.intake.opts.Ring.Put(wasabiridge.BackendLeaving{Backend: r.backend.ID})
	}
	r.leaving = report.Leaving
}

func (r *loadReader) fail() {
	r.failures++
	now := r.intake.opts.Clock.Now()
	if r.failures < lostAfter || (r.failures > lostAfter && now-r.lostTold < lostAgain) {
		return
	}
	r.lostTold = now
	r.intake.opts.Ring.Put(wasabiridge.BackendLost{Backend: r.backend.ID})
}

// eventReader follows the cache events of one engine.
type eventReader struct {
	intake  *Intake
	backend wasabiridge.BackendServer
	backoff *backoff
	// last names the event behind which the stream goes on after a break.
	last string
	// rest is how long the reader keeps away to stay within its budget.
	rest wasabiridge.Millis
}

func newEventReader(i *Intake, b wasabiridge.BackendServer) *eventReader {
	return &eventReader{intake: i, backend: b, backoff: newBackoff(i.opts.Seed, string(b.ID)+"/events")}
}

func (r *eventReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		wait := r.rest
		if wait == 0 {
			wait = r.backoff.next()
		}
		r.intake.opts.Sleep(ctx, wait)
	}
}

// follow reads one connection to its end.
func (r *eventReader) follow(ctx context.Context) {
	path := eventsPath
	if r.rest > 0 {
		// What was published meanwhile would come too late to be of use.
		path, r.last, r.rest = newestPath, "", 0
	}
	resp, err := r.intake.get(ctx, r.backend, path, r.last)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	taken := 0
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxBatchBytes}) {
		if err != nil || ctx.Err() != nil {
			return
		}
		events, ok := decodeBatch(r.backend.ID, event.Data)
		if !ok {
			return
		}
		r.last = usableID(event.LastEventID)
		r.backoff.reset()
		if len(events) > 0 {
			r.intake.opts.Ring.Put(wasabiridge.CacheChanged{Events: events})
		}
		taken += len(event.Data) + eventFrameBytes
		if r.rest = r.intake.overspent(taken); r.rest > 0 {
			return
		}
	}
}

// usableID returns an event id that can be sent in a header, or nothing. An
// id with other bytes would make every later request fail.
func usableID(id string) string {
	wrong := func(r rune) bool { return r <= ' ' || r > '~' }
	if len(id) > maxEventID || strings.ContainsFunc(id, wrong) {
		return ""
	}
	return id
}
