package wasabilimit

import (
	"github.com/wasabiridge/wasabiridge"
)

const (
	// startLimit is the limit of a server that states no slots.
	startLimit = 8
	// slowStart is the part of its slots that a server begins with. A server
	// that comes back is cold, and its prompts take long at first; with all
	// its slots counted, the queue would rush out at once.
	slowStart = 0.25
	// highestLimit bounds what may be learned for such a server.
	highestLimit = 1024
	// lowestLimit keeps a trickle going, from which recovery is learned.
	lowestLimit = 2
	// backOff is what remains of a limit when the server refuses.
	backOff = 0.7
	// shrink is what remains when too many requests wait inside.
	shrink = 0.95
	// growth is the part by which a limit rises with a report, at least 1.
	growth = 0.1
	// grown is how full a server must be for its limit to grow.
	grown = 0.75
)

// change is the begin or the end of an attempt.
type change struct {
	at wasabiridge.Millis
	by int
}

// server is what is known of the room at one backend server. The limit
// counts requests of all instances; every instance learns it from the same
// reports.
type server struct {
	options *Options
	pool    *pool
	slots   int
	limit   float64
	// inside counts requests at the time of the last report, of all
	// instances. Without reports it is 0.
	inside   int
	waiting  int
	reported bool
	taken    wasabiridge.Millis
	life     wasabiridge.Incarnation
	// own counts this instance's attempts; changes are those of their number
	// since the last report was taken, and news sums them up.
	own     int
	news    int
	changes []change
	lost    bool
	leaving bool
	// counted is what the pool's sums hold of this server.
	counted sum
}

func newServer(b wasabiridge.BackendServer, p *pool, o *Options) *server {
	s := &server{options: o, pool: p, slots: b.Slots}
	s.limit = s.start()
	return s
}

func (s *server) start() float64 {
	if s.slots == 0 {
		return startLimit
	}
	return min(float64(s.slots), max(lowestLimit, slowStart*float64(s.slots)))
}

func (s *server) highest() float64 {
	if s.slots == 0 {
		return highestLimit
	}
	return float64(s.slots + s.options.TargetWaiting)
}

func (s *server) serves() bool { return !s.lost && !s.leaving }

// share is the part of the limit that this instance may use whatever others
// do.
func (s *server) share() float64 { return max(1, s.limit/float64(s.options.Instances)) }

// room estimates how many more requests fit. Other instances see the same
// report and send too, so what this one sent since counts for several.
func (s *server) room() float64 {
	if !s.serves() {
		return 0
	}
	if !s.reported {
		return max(0, s.share()-float64(s.own))
	}
	others := max(1, float64(s.options.Instances)/2)
	return max(-s.limit, s.limit-float64(s.inside)-others*float64(s.news))
}

func (s *server) sum() sum {
	if !s.serves() {
		return sum{own: s.own}
	}
	return sum{limit: s.limit, room: s.room(), own: s.own, count: 1, waiting: s.waiting}
}

func (s *server) hasRoom() bool {
	return !s.serves() || float64(s.own) < s.share() || s.room() >= 1-s.options.Overcommit
}

func (s *server) sent(now wasabiridge.Millis) {
	s.count(now, 1)
	s.pool.changed(s)
}

// count takes a change into account. Without reports there is nothing that it
// would correct.
func (s *server) count(now wasabiridge.Millis, by int) {
	s.own += by
	if s.reported {
		s.news += by
		s.changes = append(s.changes, change{now, by})
	}
}

func (s *server) ended(now wasabiridge.Millis, e wasabiridge.AttemptEnded) {
	s.count(now, -1)
	switch {
	case e.Overloaded:
		s.limit = max(lowestLimit, backOff*min(s.limit, float64(max(s.inside, s.own))))
	case !s.reported && e.Result == wasabiridge.AttemptCompleted && float64(s.own+1) >= grown*s.share():
		s.limit = min(s.highest(), s.limit+1/s.share())
	}
	s.pool.changed(s)
}

// report takes a load report. One of the life that was lost is old news.
func (s *server) report(r wasabiridge.LoadReport) {
	if r.Incarnation < s.life || (s.lost && r.Incarnation == s.life) || r.Taken < s.taken {
		return
	}
	if r.Incarnation > s.life {
		s.limit = s.start()
	}
	s.life, s.lost, s.reported, s.taken = r.Incarnation, false, true, r.Taken
	s.leaving = s.leaving || r.Leaving
	s.inside, s.waiting = r.Running+r.Waiting, r.Waiting
	s.countNews()
	s.learn(r)
	s.pool.changed(s)
}

// countNews keeps the changes that the report cannot know of.
func (s *server) countNews() {
	kept := s.changes[:0]
	s.news = 0
	for _, c := range s.changes {
		if c.at > s.taken {
			kept = append(kept, c)
			s.news += c.by
		}
	}
	s.changes = kept
}

// learn moves the limit so that a few requests wait inside the server when it
// is busy: enough that it never idles, few enough that order is decided here.
// What a server runs without a queue fits: an instance that restarts takes up
// from there and does not begin at the start limit.
func (s *server) learn(r wasabiridge.LoadReport) {
	target := s.options.TargetWaiting
	switch {
	case r.Waiting > target:
		s.limit = max(lowestLimit, float64(r.Running+target), shrink*min(s.limit, float64(s.inside)))
	case 2*r.Waiting <= target && float64(s.inside) >= grown*s.limit:
		s.limit = min(s.highest(), max(s.limit+max(1, growth*s.limit), float64(r.Running)))
	}
}

func (s *server) lose() {
	s.lost = true
	s.inside, s.waiting, s.news, s.changes = 0, 0, 0, nil
	s.pool.changed(s)
}

func (s *server) leave() {
	s.leaving = true
	s.pool.changed(s)
}
