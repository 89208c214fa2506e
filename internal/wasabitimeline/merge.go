package wasabitimeline

import (
	"context"
	"sort"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
)

// Limits of a query over many instances.
const (
	// parallelQueries is how many instances are queried at the same time.
	parallelQueries = 16
	// queryTimeout bounds the query of one instance.
	queryTimeout = 2 * wasabiridge.Second
	// DefaultLimit is how many events ReadTimeline returns at most when the
	// query has no limit.
	DefaultLimit = 10_000
)

// Collector reads and merges the time lines of this instance and of its peers.
// It implements wasabiridge.TimelineReader and is safe for concurrent use.
type Collector struct {
	// Own is the time line of this instance.
	Own *Log
	// Peers calls other instances. If it is nil, the report lists all other
	// instances as not reached.
	Peers wasabiridge.PeerClient
	// Members returns the instances in the membership view. This instance is
	// ignored if it is among them. Nil means that only Own is read.
	Members func() []wasabiridge.Member
}

// ReadTimeline queries every instance in the membership view and merges the
// events that they return. An instance that cannot be reached is listed in the
// report with the cause, and is not an error.
func (c *Collector) ReadTimeline(ctx context.Context, q wasabiridge.TimelineQuery) (wasabiridge.TimelineReport, error) {
	if q.Limit <= 0 {
		q.Limit = DefaultLimit
	}
	pages := []wasabiridge.TimelinePage{c.Own.Page(q)}
	var unreached []wasabiridge.UnreachedInstance
	if c.Members != nil {
		var peerPages []wasabiridge.TimelinePage
		peerPages, unreached = c.queryAll(ctx, q, c.otherMembers())
		pages = append(pages, peerPages...)
	}
	report := Merge(pages, q.Limit)
	report.Unreached = unreached
	return report, nil
}

// otherMembers returns the members without this instance, sorted by ID.
func (c *Collector) otherMembers() []wasabiridge.Member {
	var others []wasabiridge.Member
	for _, m := range c.Members() {
		if m.ID != c.Own.options.Instance {
			others = append(others, m)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].ID < others[j].ID })
	return others
}

// queryResult is the page of one member, or the error of querying it.
type queryResult struct {
	page wasabiridge.TimelinePage
	err  error
}

// queryAll queries members, at most parallelQueries at the same time, and
// returns the pages in the order of members.
func (c *Collector) queryAll(ctx context.Context, q wasabiridge.TimelineQuery, members []wasabiridge.Member) ([]wasabiridge.TimelinePage, []wasabiridge.UnreachedInstance) {
	results := make([]queryResult, len(members))
	// The semaphore bounds the calls in flight. The next call waits while it is
	// full.
	semaphore := make(chan struct{}, parallelQueries)
	var group sync.WaitGroup
	for i := range members {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			results[i] = c.query(ctx, q, members[i])
		})
	}
	group.Wait()
	var (
		pages     []wasabiridge.TimelinePage
		unreached []wasabiridge.UnreachedInstance
	)
	for i, r := range results {
		if r.err != nil {
			unreached = append(unreached, wasabiridge.UnreachedInstance{Instance: members[i].ID, Cause: causeOf(r.err)})
			continue
		}
		pages = append(pages, r.page)
	}
	return pages, unreached
}

func (c *Collector) query(ctx context.Context, q wasabiridge.TimelineQuery, m wasabiridge.Member) queryResult {
	if c.Peers == nil {
		return queryResult{err: wasabiridge.ErrUnavailable.New("this instance has no connection to its peers")}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	page, err := c.Peers.QueryTimeline(ctx, m.PeerAddress, q)
	return queryResult{page: page, err: err}
}

// causeOf returns the text of an error without the name of its errorx type,
// which is of no use to an operator.
func causeOf(err error) string {
	if typed := errorx.Cast(err); typed != nil && typed.Message() != "" && typed.Cause() == nil {
		return typed.Message()
	}
	return err.Error()
}

// Merge merges the pages of several instances into one report. Events are
// sorted by hybrid time, then by logical counter, then by instance ID, then in
// the order in which the instance recorded them. A positive limit keeps only
// the newest events, and Truncated counts the events left out.
func Merge(pages []wasabiridge.TimelinePage, limit int) wasabiridge.TimelineReport {
	report := wasabiridge.TimelineReport{Events: []wasabiridge.TimelineEvent{}}
	for _, p := range pages {
		report.Reached = append(report.Reached, wasabiridge.ReachedInstance{Instance: p.Instance, Dropped: p.Dropped})
		report.Events = append(report.Events, p.Events...)
	}
	sort.SliceStable(report.Events, func(i, j int) bool { return Before(report.Events[i], report.Events[j]) })
	total := len(report.Events)
	report.Events = newest(report.Events, limit)
	report.Truncated = total - len(report.Events)
	return report
}

// Before reports whether a precedes b on the merged time line.
func Before(a, b wasabiridge.TimelineEvent) bool {
	if a.At != b.At {
		return a.At < b.At
	}
	if a.Logical != b.Logical {
		return a.Logical < b.Logical
	}
	return a.Instance < b.Instance
}
