package wasabitimeline

import (
	"context"
	"sort"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
)

// Limits of a collection over many instances.
const (
	// parallelQueries is how many instances are asked at once.
	parallelQueries = 16
	// queryTimeout bounds the wait for one instance.
	queryTimeout = 2 * wasabiridge.Second
	// DefaultLimit is how many events a collection returns when the query
	// names no limit.
	DefaultLimit = 10_000
)

// Collector reads the time lines of this instance and of its peers. It
// implements wasabiridge.TimelineReader and is safe for concurrent use.
type Collector struct {
	// Own is the time line of this instance.
	Own *Log
	// Peers calls other instances. Without it they are named as not reached.
	Peers wasabiridge.PeerClient
	// Members returns the other instances that are known.
	Members func() []wasabiridge.Member
}

// ReadTimeline asks every known instance and merges what came back. An
// instance that does not answer is named in the report; it is no error.
func (c *Collector) ReadTimeline(ctx context.Context, q wasabiridge.TimelineQuery) (wasabiridge.TimelineReport, error) {
	if q.Limit <= 0 {
		q.Limit = DefaultLimit
	}
	pages := []wasabiridge.TimelinePage{c.Own.Page(q)}
	var unreached []wasabiridge.UnreachedInstance
	if c.Members != nil {
		var others []wasabiridge.TimelinePage
		others, unreached = c.askAll(ctx, q, c.others())
		pages = append(pages, others...)
	}
	report := Merge(pages, q.Limit)
	report.Unreached = unreached
	return report, nil
}

// others returns the known members without this instance, by name.
func (c *Collector) others() []wasabiridge.Member {
	var others []wasabiridge.Member
	for _, m := range c.Members() {
		if m.ID != c.Own.options.Instance {
			others = append(others, m)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].ID < others[j].ID })
	return others
}

// peerAnswer is what became of asking one member.
type peerAnswer struct {
	page wasabiridge.TimelinePage
	err  error
}

func (c *Collector) askAll(ctx context.Context, q wasabiridge.TimelineQuery, members []wasabiridge.Member) ([]wasabiridge.TimelinePage, []wasabiridge.UnreachedInstance) {
	answers := make([]peerAnswer, len(members))
	// The ring of free places bounds the calls in flight; when it is full the
	// next call waits.
	places := make(chan struct{}, parallelQueries)
	var group sync.WaitGroup
	for i := range members {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			answers[i] = c.ask(ctx, q, members[i])
		})
	}
	group.Wait()
	var (
		pages     []wasabiridge.TimelinePage
		unreached []wasabiridge.UnreachedInstance
	)
	for i, a := range answers {
		if a.err != nil {
			unreached = append(unreached, wasabiridge.UnreachedInstance{Instance: members[i].ID, Cause: causeOf(a.err)})
			continue
		}
		pages = append(pages, a.page)
	}
	return pages, unreached
}

func (c *Collector) ask(ctx context.Context, q wasabiridge.TimelineQuery, m wasabiridge.Member) peerAnswer {
	if c.Peers == nil {
		return peerAnswer{err: wasabiridge.ErrUnavailable.New("this instance has no connection to its peers")}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	page, err := c.Peers.QueryTimeline(ctx, m.PeerAddress, q)
	return peerAnswer{page: page, err: err}
}

// causeOf leaves out the type's name, which an operator has no use for.
func causeOf(err error) string {
	if typed := errorx.Cast(err); typed != nil && typed.Message() != "" && typed.Cause() == nil {
		return typed.Message()
	}
	return err.Error()
}

// Merge puts the pages of several instances into one order: hybrid time, then
// the logical count, then the name of the instance, then the order in which
// the instance recorded. A positive limit keeps the newest events, and
// Truncated counts the others.
func Merge(pages []wasabiridge.TimelinePage, limit int) wasabiridge.TimelineReport {
	report := wasabiridge.TimelineReport{Events: []wasabiridge.TimelineEvent{}}
	for _, p := range pages {
		report.Reached = append(report.Reached, wasabiridge.ReachedInstance{Instance: p.Instance, Dropped: p.Dropped})
		report.Events = append(report.Events, p.Events...)
	}
	sort.SliceStable(report.Events, func(i, j int) bool { return Before(report.Events[i], report.Events[j]) })
	all := len(report.Events)
	report.Events = newest(report.Events, limit)
	report.Truncated = all - len(report.Events)
	return report
}

// Before reports whether a stands before b on the time line.
func Before(a, b wasabiridge.TimelineEvent) bool {
	if a.At != b.At {
		return a.At < b.At
	}
	if a.Logical != b.Logical {
		return a.Logical < b.Logical
	}
	return a.Instance < b.Instance
}
