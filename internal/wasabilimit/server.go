package wasabilimit

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// initialLimit is the initial limit of a server without declared slots.
	initialLimit = 8
	// slowStartShare is the share of its slots that is a server's initial
	// limit. A server that has restarted has a cold cache and is slow at first;
	// with all its slots, the whole queue would be sent at once.
	slowStartShare = 0.25
	// maxLimit bounds the limit of a server without declared slots.
	maxLimit = 1024
	// minLimit keeps some requests flowing, from which a recovery is detected.
	minLimit = 2
	// refusalDecrease is the factor by which the limit falls when the server
	// refuses a request.
	refusalDecrease = 0.7
	// queueDecrease is the factor by which it falls when too many requests wait
	// inside.
	queueDecrease = 0.95
	// increaseShare is the share by which the limit rises with a report, at
	// least by 1.
	increaseShare = 0.1
	// fullShare is the share of the limit that must be in use for the limit to
	// rise.
	fullShare = 0.75
)

// change is the start or the end of an attempt.
type change struct {
	at wasabiridge.Millis
	by int
}

// server is the estimated room at one backend server. The limit applies to the
// requests of all instances; every instance derives it from the same reports.
type server struct {
	options *Options
	pool    *pool
	slots   int
	limit   float64
	// reportedLoad counts the requests of all instances as of the last report.
	// Without reports it is 0.
	reportedLoad int
	waiting      int
	reported     bool
	taken        wasabiridge.Millis
	incarnation  wasabiridge.Incarnation
	// own counts this instance's attempts. changes are the changes of that
	// number since the last report was taken, and sinceReport is their sum.
	own         int
	sinceReport int
	changes     []change
	lost        bool
	leaving     bool
	// counted is this server's contribution to the totals of the pool.
	counted totals
}

func newServer(b wasabiridge.BackendServer, p *pool, o *Options) *server {
	s := &server{options: o, pool: p, slots: b.Slots}
	s.limit = s.initial()
	return s
}

func (s *server) initial() float64 {
	if s.slots == 0 {
		return initialLimit
	}
	return min(float64(s.slots), max(minLimit, slowStartShare*float64(s.slots)))
}

func (s *server) limitBound() float64 {
	if s.slots == 0 {
		return maxLimit
	}
	return float64(s.slots + s.options.TargetWaiting)
}

func (s *server) serves() bool { return !s.lost && !s.leaving }

// share returns the share of the limit that this instance may use regardless of
// the other instances.
func (s *server) share() float64 { return max(1, s.limit/float64(s.options.Instances)) }

// room estimates how many more requests fit. Other instances see the same
// report and also send, so each request that this instance sent since counts
// several times.
func (s *server) room() float64 {
	if !s.serves() {
		return 0
	}
	if !s.reported {
		return max(0, s.share()-float64(s.own))
	}
	others := max(1, float64(s.options.Instances)/2)
	return max(-s.limit, s.limit-float64(s.reportedLoad)-others*float64(s.sinceReport))
}

func (s *server) totals() totals {
	if !s.serves() {
		return totals{own: s.own}
	}
	return totals{limit: s.limit, room: s.room(), own: s.own, count: 1, waiting: s.waiting}
}

func (s *server) hasRoom() bool {
	return !s.serves() || float64(s.own) < s.share() || s.room() >= 1-s.options.Overcommit
}

func (s *server) sent(now wasabiridge.Millis) {
	s.count(now, 1)
	s.pool.changed(s)
}

// count records a change of the number of attempts. The changes themselves are
// kept only if there are reports to correct.
func (s *server) count(now wasabiridge.Millis, by int) {
	s.own += by
	if s.reported {
		s.sinceReport += by
		s.changes = append(s.changes, change{now, by})
	}
}

func (s *server) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	s.count(now, -1)
	switch {
	case e.Overloaded:
		s.limit = max(minLimit, refusalDecrease*min(s.limit, float64(max(s.reportedLoad, s.own))))
	case !s.reported && e.Result == wasabiridge.AttemptCompleted && float64(s.own+1) >= fullShare*s.share():
		s.limit = min(s.limitBound(), s.limit+1/s.share())
	}
	s.pool.changed(s)
}

// report applies a load report. Reports of an earlier incarnation, or of one
// that was lost, are ignored, and so are reports out of order.
func (s *server) report(r wasabiridge.LoadReport) {
	if r.Incarnation < s.incarnation || (s.lost && r.Incarnation == s.incarnation) || r.MeasuredAt < s.taken {
		return
	}
	if r.Incarnation > s.incarnation {
		s.limit = s.initial()
	}
	s.incarnation, s.lost, s.reported, s.taken = r.Incarnation, false, true, r.MeasuredAt
	s.leaving = s.leaving || r.Leaving
	s.reportedLoad, s.waiting = r.Running+r.Waiting, r.Waiting
	s.dropReportedChanges()
	s.learn(r)
	s.pool.changed(s)
}

// dropReportedChanges drops the changes that the last report includes.
func (s *server) dropReportedChanges() {
	kept := s.changes[:0]
	s.sinceReport = 0
	for _, c := range s.changes {
		if c.at > s.taken {
			kept = append(kept, c)
			s.sinceReport += c.by
		}
	}
	s.changes = kept
}

// learn adjusts the limit so that a few requests wait inside a busy server:
// enough that it is never idle, few enough that the order is decided here. The
// limit rises at least to the number of requests that the server runs without a
// queue, so that a restarted instance does not begin at the initial limit.
func (s *server) learn(r wasabiridge.LoadReport) {
	target := s.options.TargetWaiting
	switch {
	case r.Waiting > target:
		s.limit = max(minLimit, float64(r.Running+target), queueDecrease*min(s.limit, float64(s.reportedLoad)))
	case 2*r.Waiting <= target && float64(s.reportedLoad) >= fullShare*s.limit:
		s.limit = min(s.limitBound(), max(s.limit+max(1, increaseShare*s.limit), float64(r.Running)))
	}
}

func (s *server) markLost() {
	s.lost = true
	s.reportedLoad, s.waiting, s.sinceReport, s.changes = 0, 0, 0, nil
	s.pool.changed(s)
}

func (s *server) markLeaving() {
	s.leaving = true
	s.pool.changed(s)
}
