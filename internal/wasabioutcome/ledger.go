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
	// MaxDays is how many days are kept while the store does not answer. One
	// more drops the oldest and counts it.
	MaxDays = 4
	// maxSeen bounds the names of instances in a window.
	maxSeen = 1024
	// firstRetry is the wait after a failed write; it doubles up to the
	// interval.
	firstRetry = 30 * wasabiridge.Second
	// verifyDelay is how long a sealed window with a lost answer waits for its
	// read-back. It exceeds storeTimeout, so that no write is under way.
	verifyDelay = wasabiridge.Minute
)

// Job is something that a Ledger wants done at the store.
type Job struct {
	Name string
	// Data is written as a whole.
	Data []byte
	// Verify asks to read the object back instead.
	Verify   bool
	sequence uint64
	sealed   bool
	day      string
}

// Result tells how a job ended. Data is what a read-back found.
type Result struct {
	Job  Job
	Data []byte
	Err  error
}

// Run carries a job out.
func (j Job) Run(ctx context.Context, store wasabiridge.ObjectStore) Result {
	result := Result{Job: j}
	if j.Verify {
		result.Data, result.Err = store.Get(ctx, j.Name)
		return result
	}
	result.Err = store.Put(ctx, j.Name, j.Data)
	return result
}

// Stats are figures of a ledger for metrics.
type Stats struct {
	Series      int
	Folded      uint64
	Writes      uint64
	Failures    uint64
	DroppedDays uint64
	Lost        uint64
	// Unwritten is the age of the oldest outcome that is not in the store.
	Unwritten wasabiridge.Millis
	// Bytes is the size of the last object written.
	Bytes int
}

// Ledger counts outcomes and decides what to write and when. It is a
// deterministic state machine and not safe for concurrent use.
type Ledger struct {
	options Options
	random  *rand.Rand
	started wasabiridge.Millis
	days    map[string]*openDay
	seen    map[wasabiridge.InstanceID]struct{}
	stats   Stats
	ended   bool
}

// openDay is a window that is still in memory.
type openDay struct {
	day      string
	series   map[Key]*series
	folded   uint64
	lost     uint64
	sequence uint64
	// due is when the window is written or verified next.
	due wasabiridge.Millis
	// unwritten is when the oldest outcome was counted that is not in the
	// store. Zero means that there is none.
	unwritten wasabiridge.Millis
	inFlight  wasabiridge.Millis
	retry     wasabiridge.Millis
	// doubted says that the end of an earlier write is unknown.
	doubted bool
	// verifying says that the sealed window was written and is to be read.
	verifying bool
}

// NewLedger returns an empty ledger. The random source spreads writes.
func NewLedger(o Options, now wasabiridge.Millis, random *rand.Rand) *Ledger {
	return &Ledger{
		options: o.withDefaults(), random: random, started: now,
		days: map[string]*openDay{}, seen: map[wasabiridge.InstanceID]struct{}{},
	}
}

// Add counts an outcome on the day on which it happened, or on the newest day
// when that one was written for good.
func (l *Ledger) Add(o wasabiridge.Outcome) {
	o.At = max(o.At, l.started)
	d := l.openDay(o.At)
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
		// Values are bounded before they are recorded, so only a histogram of
		// a broken geometry could get here.
		d.lost++
		l.stats.Lost++
	}
}

// Lost counts outcomes that never reached the ledger.
func (l *Ledger) Lost(n uint64) {
	if n == 0 {
		return
	}
	l.stats.Lost += n
	if d := l.newest(); d != nil {
		d.lost += n
	}
}

// Saw notes which instances are known.
func (l *Ledger) Saw(ids []wasabiridge.InstanceID) {
	for _, id := range ids {
		if len(l.seen) < maxSeen {
			l.seen[id] = struct{}{}
		}
	}
}

// openDay returns the window of a point in time. A day that was sealed and
// forgotten is not opened again: its object would be written anew without what
// it held, so that a late outcome would erase a day.
func (l *Ledger) openDay(at wasabiridge.Millis) *openDay {
	day := dayOf(at)
	if d, found := l.days[day]; found && !d.verifying {
		return d
	}
	if newest := l.newest(); newest != nil && newest.day > day {
		return newest
	}
	return l.open(day, at)
}

func (l *Ledger) open(day string, at wasabiridge.Millis) *openDay {
	d := &openDay{day: day, series: map[Key]*series{}, due: at + l.spread(l.options.Interval)}
	l.days[day] = d
	for len(l.days) > MaxDays {
		delete(l.days, l.names()[0])
		l.stats.DroppedDays++
	}
	return d
}

// spread returns a random part of a span, so that instances that started
// together do not write together.
func (l *Ledger) spread(d wasabiridge.Millis) wasabiridge.Millis {
	return wasabiridge.Millis(l.random.Int64N(int64(d))) + 1
}

func (l *Ledger) names() []string { return slices.Sorted(maps.Keys(l.days)) }

func (l *Ledger) newest() *openDay {
	names := l.names()
	if len(names) == 0 {
		return nil
	}
	return l.days[names[len(names)-1]]
}

// Seal makes all windows due at once, for a graceful end.
func (l *Ledger) Seal(now wasabiridge.Millis) {
	l.ended = true
	for _, d := range l.days {
		d.due = now
	}
}

// Next returns the job that is due. It reports false when none is. Done must
// be called before Next is called again.
func (l *Ledger) Next(now wasabiridge.Millis) (Job, bool) {
	if !l.ended {
		l.openDay(now)
	}
	for _, name := range l.names() {
		d := l.days[name]
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
			l.failed(now, d)
			continue
		}
		d.sequence = job.sequence
		d.inFlight, d.unwritten = d.unwritten, 0
		return job, true
	}
	return Job{}, false
}

// encode makes the object of a window.
func (l *Ledger) encode(now wasabiridge.Millis, d *openDay, job Job) ([]byte, error) {
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

// interval is the time between writes: as configured, or longer when the last
// object would exceed the mean rate of bytes.
func (l *Ledger) interval() wasabiridge.Millis {
	stretched := wasabiridge.Millis(l.stats.Bytes) * wasabiridge.Second / wasabiridge.Millis(l.options.BytesPerSecond)
	return max(l.options.Interval, stretched)
}

// Done takes the end of a job.
//
// A write whose answer is lost may still take effect later and put an older
// state over a newer one. The next write of the window repairs that, except
// after the last one. A sealed window with such a write is read back once no
// write can be under way any more, and written again if it is not the last.
func (l *Ledger) Done(now wasabiridge.Millis, r Result) {
	d, found := l.days[r.Job.day]
	if !found {
		return
	}
	if r.Job.Verify {
		l.verified(now, d, r)
		return
	}
	if r.Err != nil {
		d.doubted = true
		l.failed(now, d)
		return
	}
	l.stats.Writes++
	l.stats.Bytes = len(r.Job.Data)
	d.retry, d.inFlight = 0, 0
	switch {
	case !r.Job.sealed:
		d.due = now + l.interval()*9/10 + l.spread(max(l.interval()/5, 1))
	case d.doubted && !l.ended:
		d.verifying, d.due = true, now+verifyDelay
	default:
		delete(l.days, d.day)
	}
}

func (l *Ledger) verified(now wasabiridge.Millis, d *openDay, r Result) {
	if r.Err != nil {
		l.failed(now, d)
		return
	}
	w, err := DecodeWindow(r.Data)
	if err == nil && w.Sequence == d.sequence {
		delete(l.days, d.day)
		return
	}
	d.verifying, d.doubted, d.due = false, false, now
}

func (l *Ledger) failed(now wasabiridge.Millis, d *openDay) {
	l.stats.Failures++
	if d.inFlight != 0 {
		d.unwritten, d.inFlight = d.inFlight, 0
	}
	d.retry = min(max(d.retry*2, firstRetry), l.options.Interval)
	d.due = now + d.retry/2 + l.spread(max(d.retry/2, 1))
}

// Stats returns figures for metrics.
func (l *Ledger) Stats(now wasabiridge.Millis) Stats {
	s := l.stats
	if d := l.newest(); d != nil {
		s.Series = len(d.series)
	}
	for _, d := range l.days {
		for _, at := range []wasabiridge.Millis{d.unwritten, d.inFlight} {
			if at != 0 {
				s.Unwritten = max(s.Unwritten, now-at)
			}
		}
	}
	return s
}

// dayBounds returns the first and last millisecond that belong to a day.
func dayBounds(day string) (from, to wasabiridge.Millis) {
	at, err := time.Parse(dayLayout, day)
	if err != nil {
		return 0, 0
	}
	from = wasabiridge.MillisAt(at)
	return from, from + wasabiridge.Day
}
