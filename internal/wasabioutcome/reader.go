package wasabioutcome

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabiridge/wasabiridge"
)

// Limits of a Reader.
const (
	// DefaultReadsPerSecond is a tenth of the rate that the platform's services
	// accept.
	DefaultReadsPerSecond = 200
	parallelReads         = 8
	listPageSize          = 500
	// gapTolerance is the longest time between two windows of an instance that
	// does not count as a gap.
	gapTolerance = 2 * wasabiridge.Second
	// maxListed bounds each list of objects and gaps in a report.
	maxListed = 100
)

// Reader makes quarterly reports from the windows in the object store. It implements
// wasabiridge.OutcomeReader and is safe for concurrent use.
type Reader struct {
	Store wasabiridge.ObjectStore
	Clock wasabiridge.Clock
	// Targets returns the targets of the configuration in force. Nil means that
	// there are no targets.
	Targets func() []wasabiridge.Target
	// ReadsPerSecond bounds the load on the store. Zero means
	// DefaultReadsPerSecond.
	ReadsPerSecond int
}

// ReadOutcomes reads and merges all windows of a quarter. An empty quarter
// means the current one. Objects that cannot be read or decoded are listed in
// the coverage of the report. It reports ErrInvalid for a malformed quarter and
// ErrUnavailable when the objects cannot be listed.
func (r Reader) ReadOutcomes(ctx context.Context, q wasabiridge.OutcomeQuery) (wasabiridge.OutcomeReport, error) {
	now := r.Clock.Now()
	if q.Quarter == "" {
		q.Quarter = QuarterAt(now)
	}
	var (
		m   *merger
		err error
	)
	if m, err = newMerger(q, now); err != nil {
		return wasabiridge.OutcomeReport{}, err
	}
	if err = r.readAll(ctx, m); err != nil {
		return wasabiridge.OutcomeReport{}, err
	}
	var targets []wasabiridge.Target
	if r.Targets != nil {
		targets = r.Targets()
	}
	return m.report(targets), nil
}

// readAll lists and reads all objects of the quarter.
func (r Reader) readAll(ctx context.Context, m *merger) error {
	perSecond := r.ReadsPerSecond
	if perSecond <= 0 {
		perSecond = DefaultReadsPerSecond
	}
	limiter := rate.NewLimiter(rate.Limit(perSecond), parallelReads)
	after := ""
	for {
		var (
			names []string
			err   error
		)
		if err = limiter.Wait(ctx); err != nil {
			return wasabiridge.ErrUnavailable.Wrap(err, "outcome: list objects")
		}
		if names, err = r.Store.List(ctx, QuarterPrefix(m.query.Quarter), after, listPageSize); err != nil {
			return wasabiridge.ErrUnavailable.Wrap(err, "outcome: list objects")
		}
		if len(names) == 0 {
			return nil
		}
		r.readPage(ctx, limiter, m, names)
		after = names[len(names)-1]
	}
}

// fetched is the decoded window of one object, or the error of reading it.
type fetched struct {
	window Window
	err    error
}

func (r Reader) readPage(ctx context.Context, limiter *rate.Limiter, m *merger, names []string) {
	results := make([]fetched, len(names))
	// The semaphore bounds the reads in flight. The next read waits while it is
	// full.
	semaphore := make(chan struct{}, parallelReads)
	var group sync.WaitGroup
	for i := range names {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			results[i] = r.fetch(ctx, limiter, names[i])
		})
	}
	group.Wait()
	for i, f := range results {
		if f.err == nil {
			f.err = m.add(f.window)
		}
		if f.err != nil {
			m.unreadable = append(m.unreadable, names[i])
		}
	}
}

func (r Reader) fetch(ctx context.Context, limiter *rate.Limiter, name string) fetched {
	if err := limiter.Wait(ctx); err != nil {
		return fetched{err: err}
	}
	data, err := r.Store.Get(ctx, name)
	if err != nil {
		return fetched{err: err}
	}
	w, err := DecodeWindow(data)
	return fetched{window: w, err: err}
}

// ParseQuarter returns the begin and the exclusive end of a quarter such as
// "2026Q4", in UTC. It reports ErrInvalid for malformed text.
func ParseQuarter(text string) (from, to wasabiridge.Millis, err error) {
	if len(text) != len("2026Q4") || text[4] != 'Q' || text[5] < '1' || text[5] > '4' {
		return 0, 0, wasabiridge.ErrInvalid.New("outcome: %q is no quarter; write it as 2026Q4", text)
	}
	var year int
	if year, err = strconv.Atoi(text[:4]); err != nil || year < 1970 {
		return 0, 0, wasabiridge.ErrInvalid.New("outcome: %q is no quarter; write it as 2026Q4", text)
	}
	start := time.Date(year, time.Month(int(text[5]-'1')*3+1), 1, 0, 0, 0, 0, time.UTC)
	return wasabiridge.MillisAt(start), wasabiridge.MillisAt(start.AddDate(0, 3, 0)), nil
}

// span is the time that one window of an instance covers.
type span struct {
	from, to wasabiridge.Millis
	sealed   bool
	interval wasabiridge.Millis
}

// merger merges the windows of a quarter. It is not safe for concurrent use.
type merger struct {
	query      wasabiridge.OutcomeQuery
	now        wasabiridge.Millis
	from, to   wasabiridge.Millis
	series     map[Key]*series
	days       map[string]*series
	spans      map[wasabiridge.InstanceID][]span
	seen       map[wasabiridge.InstanceID]struct{}
	dropped    map[wasabiridge.InstanceID]map[wasabiridge.Incarnation]uint64
	unreadable []string
	objects    int
	folded     uint64
	lost       uint64
}

func newMerger(q wasabiridge.OutcomeQuery, now wasabiridge.Millis) (*merger, error) {
	m := &merger{
		query: q, now: now, series: map[Key]*series{}, days: map[string]*series{},
		spans:   map[wasabiridge.InstanceID][]span{},
		seen:    map[wasabiridge.InstanceID]struct{}{},
		dropped: map[wasabiridge.InstanceID]map[wasabiridge.Incarnation]uint64{},
	}
	var err error
	m.from, m.to, err = ParseQuarter(q.Quarter)
	return m, err
}

// add merges a window. It rejects the complete window if any of its series is
// invalid.
func (m *merger) add(w Window) error {
	var (
		decoded []*series
		err     error
	)
	if decoded, err = decodeSeries(w); err != nil {
		return err
	}
	m.objects++
	m.folded += w.Folded
	m.lost += w.Lost
	m.recordDroppedDays(w)
	for _, id := range w.Seen {
		m.seen[id] = struct{}{}
	}
	m.spans[w.Instance] = append(m.spans[w.Instance], span{w.From, w.To, w.Sealed, w.Interval})
	day := seriesAt(m.days, w.Day)
	for i, d := range w.Series {
		if m.query.Account != "" && d.Account != m.query.Account {
			continue
		}
		day.merge(decoded[i])
		s, found := m.series[d.Key]
		if !found {
			s = newSeries()
			m.series[d.Key] = s
		}
		s.merge(decoded[i])
	}
	return nil
}

// recordDroppedDays keeps the highest count of each incarnation, because
// Window.DroppedDays is cumulative over all windows of an incarnation.
func (m *merger) recordDroppedDays(w Window) {
	incarnations := m.dropped[w.Instance]
	if incarnations == nil {
		incarnations = map[wasabiridge.Incarnation]uint64{}
		m.dropped[w.Instance] = incarnations
	}
	incarnations[w.Incarnation] = max(incarnations[w.Incarnation], w.DroppedDays)
}

func seriesAt(days map[string]*series, day string) *series {
	s, found := days[day]
	if !found {
		s = newSeries()
		days[day] = s
	}
	return s
}

func (m *merger) report(targets []wasabiridge.Target) wasabiridge.OutcomeReport {
	report := wasabiridge.OutcomeReport{
		Quarter: m.query.Quarter, Account: m.query.Account, Made: m.now,
		Targets: []wasabiridge.TargetResult{}, Series: []wasabiridge.OutcomeSeries{}, Days: []wasabiridge.OutcomeDay{},
	}
	total := newSeries()
	keys := make([]Key, 0, len(m.series))
	for k := range m.series {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return compareKeys(keys[i], keys[j]) < 0 })
	accounts := map[wasabiridge.ClientAccountID]*series{}
	for _, k := range keys {
		s := m.series[k]
		total.merge(s)
		if accounts[k.Account] == nil {
			accounts[k.Account] = newSeries()
		}
		accounts[k.Account].merge(s)
		report.Series = append(report.Series, wasabiridge.OutcomeSeries{Account: k.Account, Rule: k.Rule, Model: k.Model, Figures: s.figures()})
	}
	report.Total = total.figures()
	report.Days = m.dayFigures()
	report.Coverage = m.coverage()
	for _, t := range targets {
		if m.query.Account != "" && t.Account != "" && t.Account != m.query.Account {
			continue
		}
		figures := total
		if t.Account != "" {
			figures = accounts[t.Account]
		}
		report.Targets = append(report.Targets, evaluate(t, figures))
	}
	return report
}

func (m *merger) dayFigures() []wasabiridge.OutcomeDay {
	days := []wasabiridge.OutcomeDay{}
	for at := m.from; at < m.to; at += wasabiridge.Day {
		if s, found := m.days[dayOf(at)]; found {
			days = append(days, wasabiridge.OutcomeDay{Day: dayOf(at), Figures: s.figures()})
		}
	}
	return days
}
