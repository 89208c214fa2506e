package wasabistream

import (
	"context"
	"slices"

	"github.com/wasabiridge/wasabiridge"
)

// Result is how a stream was found.
type Result string

// Results.
const (
	// FoundHere means that this instance remembers the stream, and FoundElsewhere that
	// another one does.
	FoundHere      Result = "here"
	FoundElsewhere Result = "elsewhere"
	// FoundByHistory means that its pool had only one version, as instances remember, and
	// FoundByRegistry that it had, as registered at the platform.
	FoundByHistory  Result = "only version"
	FoundByRegistry Result = "only registered version"
	// Unknown means that no instance knows it, Unanswered that some did not answer, and
	// Conflicting that its identifier was used for several streams.
	Unknown     Result = "unknown"
	Unanswered  Result = "unanswered"
	Conflicting Result = "conflicting"
)

// Finding is the result of a search.
type Finding struct {
	Result Result
	// Origin is where the stream began, if Known, and Sequence that of the update which said
	// so.
	Origin   wasabiridge.StreamOrigin
	Sequence int
	// From is the instance that knew it. Asked and Answered are the numbers of instances.
	From            wasabiridge.InstanceID
	Asked, Answered int
}

// Known reports whether the origin was found.
func (f Finding) Known() bool {
	return f.Result == FoundHere || f.Result == FoundElsewhere || f.ByVersion()
}

// ByVersion reports whether the origin was concluded from the versions of the pool.
func (f Finding) ByVersion() bool { return f.Result == FoundByHistory || f.Result == FoundByRegistry }

// Find searches where the stream began that an account's request began. The stream is not
// older than window, and would continue in pool if it is not known.
func (c *Controller) Find(ctx context.Context, account wasabiridge.ClientAccountID, began wasabiridge.RequestID, pool wasabiridge.PoolID, window wasabiridge.Millis) Finding {
	q := wasabiridge.StreamQuery{Key: Key(account, began), Pool: pool, Window: min(window, maxLife)}
	f := c.find(ctx, q)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Found[f.Result]++
	return f
}

func (c *Controller) find(ctx context.Context, q wasabiridge.StreamQuery) Finding {
	own := c.Answer(q)
	switch {
	case own.Known:
		return Finding{Result: FoundHere, Origin: own.Origin, Sequence: own.Sequence}
	case own.Conflicting:
		return Finding{Result: Conflicting}
	}
	s := search{histories: []wasabiridge.SoftwareHistory{own.History}}
	first := First(q.Key, c.active(), firstAsked)
	others := First(q.Key, c.members(first), maxAsked-len(first))
	if c.ask(ctx, q, first, &s) || c.ask(ctx, q, others, &s) {
		return s.finding
	}
	f := s.conclude(q)
	if !f.Known() && c.options.Registry != nil && s.maxOneVersion() {
		if v, ok := c.options.Registry.OnlyVersion(ctx, q.Pool); ok {
			f.Result, f.Origin = FoundByRegistry, wasabiridge.StreamOrigin{Pool: q.Pool, Software: v}
		}
	}
	return f
}

// active returns the other instances that callers are sent to.
func (c *Controller) active() []wasabiridge.InstanceEntry {
	if c.options.Active == nil {
		return nil
	}
	return c.options.Active()
}

// members returns the other instances that are not in a list.
func (c *Controller) members(besides []wasabiridge.InstanceEntry) []wasabiridge.InstanceEntry {
	if c.options.Members == nil {
		return nil
	}
	return slices.DeleteFunc(c.options.Members(), func(e wasabiridge.InstanceEntry) bool {
		return slices.ContainsFunc(besides, func(b wasabiridge.InstanceEntry) bool { return b.ID == e.ID })
	})
}

// search is the state of one search.
type search struct {
	finding   Finding
	histories []wasabiridge.SoftwareHistory
}

// conclude returns the finding when no instance that answered knows the stream.
func (s *search) conclude(q wasabiridge.StreamQuery) Finding {
	f := s.finding
	f.Result = Unknown
	// An instance that has just started does not know the others yet.
	if f.Answered < f.Asked || f.Asked == 0 && s.histories[0].Watched < startTime {
		f.Result = Unanswered
	}
	if v, ok := OnlyVersion(q.Window, s.histories); ok {
		f.Result, f.Origin = FoundByHistory, wasabiridge.StreamOrigin{Pool: q.Pool, Software: v}
	}
	return f
}

// maxOneVersion reports whether no two versions were seen.
func (s *search) maxOneVersion() bool {
	seen := map[wasabiridge.SoftwareVersion]bool{}
	for _, h := range s.histories {
		for _, v := range h.Versions {
			seen[v] = true
		}
	}
	return len(seen) <= 1
}

// ask asks a group of instances at the same time. It reports whether the search is over.
func (c *Controller) ask(ctx context.Context, q wasabiridge.StreamQuery, group []wasabiridge.InstanceEntry, s *search) bool {
	if len(group) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type reply struct {
		from   wasabiridge.InstanceID
		answer wasabiridge.StreamAnswer
		err    error
	}
	replies := make(chan reply, len(group))
	for _, e := range group {
		go func() {
			a, err := c.options.Finder.FindStream(ctx, e.PeerAddress, q)
			replies <- reply{from: e.ID, answer: a, err: err}
		}()
	}
	s.finding.Asked += len(group)
	for range group {
		var r reply
		select {
		case r = <-replies:
		case <-ctx.Done():
			return false
		}
		if r.err != nil {
			continue
		}
		s.finding.Answered++
		s.histories = append(s.histories, r.answer.History)
		switch {
		case r.answer.Conflicting:
			s.finding.Result, s.finding.From = Conflicting, r.from
			return true
		case r.answer.Known:
			s.finding.Result, s.finding.Origin, s.finding.Sequence, s.finding.From = FoundElsewhere, r.answer.Origin, r.answer.Sequence, r.from
			return true
		}
	}
	return false
}
