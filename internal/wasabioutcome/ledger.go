package wasabioutcome

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// Limits of a Ledger.
const (
	// MaxDays is the number of daily windows kept in memory while the store is
	// unavailable. Opening one more drops the oldest and counts it in
	// Stats.DroppedDays.
	MaxDays = 4
	// maxSeen bounds the list of known instances in a window.
	maxSeen = 1024
	// initialBackoff is the backoff after the first failed write. It doubles
	// with every further failure, up to Options.Interval.
	initialBackoff = 30 * wasabiridge.Second
	// verifyDelay is the time between the last write of a sealed window and its
	// read-back, when an earlier write of that window failed. It exceeds
	// storeTimeout, so that no write is in flight any more.
	verifyDelay = wasabiridge.Minute
)

// Job is one operation on the object store that a Ledger requests.
type Job struct {
	// Name is the name of the object.
	Name string
	// Data is the complete content to write.
	Data []byte
	// Verify requests that the object is read back instead of written.
	Verify   bool
	sequence uint64
	sealed   bool
	day      string
}

// Result is the result of a job. Data is the content of the object when the
// job was a read-back. A write with an error may still take effect.
type Result struct {
	Job  Job
	Data []byte
	Err  error
}

// Run executes the job against the store.
func (j Job) Run(ctx context.Context, store wasabiridge.ObjectStore) Result {
	result := Result{Job: j}
	if j.Verify {
		result.Data, result.Err = store.Get(ctx, j.Name)
		return result
	}
	result.Err = store.Put(ctx, j.Name, j.Data)
	return result
}

// Stats are figures of a ledger for metrics. Counters start at zero with the
// process.
type Stats struct {
	// Series is the number of series in the newest window.
	Series int
	// Folded counts requests counted under OtherAccount.
	Folded uint64
	Writes uint64
	// Failures counts failed writes, failed read-backs and windows that could
	// not be encoded.
	Failures uint64
	// DroppedDays counts windows dropped because of MaxDays.
	DroppedDays uint64
	// Lost counts outcomes that were not recorded.
	Lost uint64
	// OldestUnwrittenAge is the age of the oldest outcome that is not in the store.
	OldestUnwrittenAge wasabiridge.Millis
	// Bytes is the size of the last object written.
	Bytes int
}

// Ledger counts outcomes in daily windows and schedules their writes to the
// object store. It does no input or output itself: it is a deterministic state
// machine that returns jobs from Next and receives their results by Done. It is
// not safe for concurrent use.
type Ledger struct {
	options Options
	random  *rand.Rand
	started wasabiridge.Millis
	days    map[string]*openWindow
	seen    map[wasabiridge.InstanceID]struct{}
	stats   Stats
	ended   bool
}

// openWindow is a window that is still in memory.
type openWindow struct {
	day      string
	series   map[Key]*series
	folded   uint64
	lost     uint64
	sequence uint64
	// due is the time of the next write or read-back.
	due wasabiridge.Millis
	// unwritten is the time of the oldest outcome that no write has included
	// yet. Zero means that there is none.
	unwritten wasabiridge.Millis
	// inFlight is the time of the oldest outcome that only the write in flight
	// includes. Zero means that there is none.
	inFlight wasabiridge.Millis
	// backoff is the current backoff after failed writes, zero after a success.
	backoff wasabiridge.Millis
	// uncertain means that a write failed and may still take effect.
	uncertain bool
	// verifying means that the sealed window was written and waits for its
	// read-back.
	verifying bool
}

// NewLedger returns an empty ledger that starts at now. The random source
// gives the jitter of write times.
func NewLedger(o Options, now wasabiridge.Millis, random *rand.Rand) *Ledger {
	return &Ledger{
		options: o.withDefaults(), random: random, started: now,
		days: map[string]*openWindow{}, seen: map[wasabiridge.InstanceID]struct{}{},
	}
}

// Add counts an outcome in the window of the day of o.At, or in the newest
// window when the window of that day is sealed already.
func (l *Ledger) Add(o wasabiridge.Outcome) {
	o.At = max(o.At, l.started)
	d := l.windowAt(o.At)
	if d.unwritten == 0 {
		d.unwritten = o.At
	}
	key := Key{Account: o.Account, Rule: o.Rule, Model: o.Model}
	s, found := d.series[key]
	if !found && len(d.series) >= l.options.MaxSeries {
		key = Key{Account: OtherAccount}
		d.folded++
		l.stats.Folded++
		s, found = d.series[key]
	}
	if !found {
		s = newSeries()
		d.series[key] = s
	}
	if err := s.add(o); err != nil {
		// series.add clamps values to the range of the histogram, so this is
		// reached only if the histogram itself is set up wrongly.
		d.lost++
		l.stats.Lost++
	}
}

// CountLost counts n outcomes that were dropped before they reached the ledger.
func (l *Ledger) CountLost(n uint64) {
	if n == 0 {
		return
	}
	l.stats.Lost += n
	if d := l.newest(); d != nil {
		d.lost += n
	}
}

// AddSeenInstances adds instances to the set of known instances, which is written into
// every window. The set is bounded by maxSeen.
func (l *Ledger) AddSeenInstances(ids []wasabiridge.InstanceID) {
	for _, id := range ids {
		if len(l.seen) < maxSeen {
			l.seen[id] = struct{}{}
		}
	}
}

// windowAt returns the window for a point in time, and opens it if needed. A
// day older than the newest window is not opened again after it was sealed and
// removed from memory: the new, nearly empty window would overwrite the object
// of the complete day. The newest window is returned instead.
func (l *Ledger) windowAt(at wasabiridge.Millis) *openWindow {
	day := dayOf(at)
	if d, found := l.days[day]; found && !d.verifying {
		return d
	}
	if newest := l.newest(); newest != nil && newest.day > day {
		return newest
	}
	return l.addWindow(day, at)
}

// addWindow opens the window of a day and drops the oldest windows beyond
// MaxDays.
func (l *Ledger) addWindow(day string, at wasabiridge.Millis) *openWindow {
	d := &openWindow{day: day, series: map[Key]*series{}, due: at + l.jitter(l.options.Interval)}
	l.days[day] = d
	for len(l.days) > MaxDays {
		delete(l.days, l.sortedDays()[0])
		l.stats.DroppedDays++
	}
	return d
}

// jitter returns a random duration from 1 ms to d, so that instances that were
// started together do not write at the same time.
func (l *Ledger) jitter(d wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(l.random.Int64N(int64(d))) + 1
}

// sortedDays returns the days of the open windows, oldest first.
func (l *Ledger) sortedDays() []string { return slices.Sorted(maps.Keys(l.days)) }

func (l *Ledger) newest() *openWindow {
	days := l.sortedDays()
	if len(days) == 0 {
		return nil
	}
	return l.days[days[len(days)-1]]
}

// Seal makes all windows due at now and marks them as sealed when Next encodes
// them. It is called on graceful shutdown, after the last Add.
func (l *Ledger) Seal(now wasabiridge.Millis) {
	l.ended = true
	for _, d := range l.days {
		d.due = now
	}
}

// Next returns a job that is due at now, oldest day first, and false when there
// is none. The caller must pass the result to Done before it calls Next again.
func (l *Ledger) Next(now wasabiridge.Millis) (Job, bool) {
	if !l.ended {
		l.windowAt(now)
	}
	for _, day := range l.sortedDays() {
		d := l.days[day]
		if d.due > now {
			continue
		}
		job := Job{Name: ObjectName(d.day, l.options.Instance, l.options.Incarnation), day: d.day, sequence: d.sequence, Verify: d.verifying}
		if d.verifying {
			return job, true
		}
		var err error
		job.sealed = l.ended || d.day < dayOf(now)
		job.sequence++
		if job.Data, err = l.encode(now, d, job); err != nil {
			l.scheduleRetry(now, d)
			continue
		}
		d.sequence = job.sequence
		d.inFlight, d.unwritten = d.unwritten, 0
		return job, true
	}
	return Job{}, false
}

// encode returns the content of the object for a window.
func (l *Ledger) encode(now wasabiridge.Millis, d *openWindow, job Job) ([]byte, error) {
	from, to := dayBounds(d.day)
	w := Window{
		Format: formatVersion, Instance: l.options.Instance, Incarnation: l.options.Incarnation,
		Day: d.day, Sequence: job.sequence, From: max(from, l.started), To: max(min(to, now), max(from, l.started)),
		Interval: l.interval(), Sealed: job.sealed, Folded: d.folded, Lost: d.lost, DroppedDays: l.stats.DroppedDays,
		Seen: slices.Sorted(maps.Keys(l.seen)), Series: make([]SeriesData, 0, len(d.series)),
	}
	keys := make([]Key, 0, len(d.series))
	for k := range d.series {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return compareKeys(keys[i], keys[j]) < 0 })
	for _, k := range keys {
		w.Series = append(w.Series, d.series[k].data(k))
	}
	return EncodeWindow(w)
}

// interval returns the time between writes of a window: Options.Interval, or
// longer if objects of the size of the last one would exceed
// Options.BytesPerSecond on average.
func (l *Ledger) interval() wasabiridge.Millis {
	stretched := wasabiridge.Millis(l.stats.Bytes) * wasabiridge.Second / wasabiridge.Millis(l.options.BytesPerSecond)
	return max(l.options.Interval, stretched)
}

// Done receives the result of a job and schedules the next write of its window.
//
// A write whose response is lost may still take effect later and overwrite a
// newer state with an older one. The next write of the window repairs that, but
// the last write of a sealed window has no successor. So a sealed window with a
// failed write is read back after verifyDelay, when no write can be in flight
// any more, and is written again if the object does not have the sequence
// number of the last write.
func (l *Ledger) Done(now wasabiridge.Millis, r Result) {
	d, found := l.days[r.Job.day]
	if !found {
		return
	}
	if r.Job.Verify {
		l.finishVerify(now, d, r)
		return
	}
	if r.Err != nil {
		d.uncertain = true
		l.scheduleRetry(now, d)
		return
	}
	l.stats.Writes++
	l.stats.Bytes = len(r.Job.Data)
	d.backoff, d.inFlight = 0, 0
	switch {
	case !r.Job.sealed:
		d.due = now + l.interval()*9/10 + l.jitter(max(l.interval()/5, 1))
	case d.uncertain && !l.ended:
		d.verifying, d.due = true, now+verifyDelay
	default:
		delete(l.days, d.day)
	}
}

// finishVerify removes the window if its object is the last one written, and
// otherwise schedules another write.
func (l *Ledger) finishVerify(now wasabiridge.Millis, d *openWindow, r Result) {
	if r.Err != nil {
		l.scheduleRetry(now, d)
		return
	}
	w, err := DecodeWindow(r.Data)
	if err == nil && w.Sequence == d.sequence {
		delete(l.days, d.day)
		return
	}
	d.verifying, d.uncertain, d.due = false, false, now
}

// scheduleRetry counts a failure and sets the next attempt after a doubled
// backoff with jitter. Outcomes of the failed write count as unwritten again.
func (l *Ledger) scheduleRetry(now wasabiridge.Millis, d *openWindow) {
	l.stats.Failures++
	if d.inFlight != 0 {
		d.unwritten, d.inFlight = d.inFlight, 0
	}
	d.backoff = min(max(d.backoff*2, initialBackoff), l.options.Interval)
	d.due = now + d.backoff/2 + l.jitter(max(d.backoff/2, 1))
}

// Stats returns the figures of the ledger at now.
func (l *Ledger) Stats(now wasabiridge.Millis) Stats {
	s := l.stats
	if d := l.newest(); d != nil {
		s.Series = len(d.series)
	}
	for _, d := range l.days {
		for _, at := range []wasabiridge.Millis{d.unwritten, d.inFlight} {
			if at != 0 {
				s.OldestUnwrittenAge = max(s.OldestUnwrittenAge, now-at)
			}
		}
	}
	return s
}

// dayBounds returns the begin of a day in UTC, and its end, which is exclusive.
func dayBounds(day string) (from, to wasabiridge.Millis) {
	at, err := time.Parse(dayLayout, day)
	if err != nil {
		return 0, 0
	}
	from = wasabiridge.MillisAt(at)
	return from, from + wasabiridge.Day
}
