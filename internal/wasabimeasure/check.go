package wasabimeasure

import (
	"fmt"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

const (
	// leavingGrace is how long work may still be placed on a server that is
	// leaving.
	leavingGrace = 3 * wasabiridge.Second
	// maxViolations bounds how many breaches a report spells out.
	maxViolations = 20
)

// incarnated names one life of one engine.
type incarnated struct {
	backend     wasabiridge.BackendServerID
	incarnation wasabiridge.Incarnation
}

type heard struct {
	instance int
	backend  wasabiridge.BackendServerID
}

// checker watches the promises that hold whatever fails.
type checker struct {
	violations []string
	count      int
	// given holds the blocks that each life of an engine was ever given, with
	// the root under which they were computed.
	given map[incarnated]map[wasabiridge.BlockHash]wasabiridge.CacheRoot
	// newest is the latest life of an engine that an instance was told of.
	newest   map[heard]wasabiridge.Incarnation
	leaving  map[wasabiridge.BackendServerID]wasabiridge.Millis
	used     map[wasabiridge.AttemptID]bool
	reached  map[wasabiridge.RequestID]map[wasabiridge.AttemptID]bool
	runs     map[wasabiridge.RequestID]int
	answers  map[wasabiridge.RequestID]int
	refusals map[wasabiridge.RequestID]int
}

func newChecker() *checker {
	return &checker{
		given:    make(map[incarnated]map[wasabiridge.BlockHash]wasabiridge.CacheRoot),
		newest:   make(map[heard]wasabiridge.Incarnation),
		leaving:  make(map[wasabiridge.BackendServerID]wasabiridge.Millis),
		used:     make(map[wasabiridge.AttemptID]bool),
		reached:  make(map[wasabiridge.RequestID]map[wasabiridge.AttemptID]bool),
		runs:     make(map[wasabiridge.RequestID]int),
		answers:  make(map[wasabiridge.RequestID]int),
		refusals: make(map[wasabiridge.RequestID]int),
	}
}

func (c *checker) breach(format string, args ...any) {
	c.count++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// told notes which lives of engines an instance knows of.
func (c *checker) told(d delivery) {
	switch e := d.event.(type) {
	case wasabiridge.LoadReported:
		c.learn(d.instance, e.Report.Backend, e.Report.Incarnation)
	case wasabiridge.CacheChanged:
		for _, x := range e.Events {
			c.learn(d.instance, x.Backend, x.Incarnation)
		}
	case wasabiridge.AttemptEnded:
		c.learn(d.instance, e.Backend, e.Usage.Incarnation)
	}
}

func (c *checker) learn(instance int, b wasabiridge.BackendServerID, i wasabiridge.Incarnation) {
	k := heard{instance, b}
	c.newest[k] = max(c.newest[k], i)
}

// restarted forgets what instances were told.
func (c *checker) restarted() { clear(c.newest) }

func (c *checker) dispatched(now wasabiridge.Millis, a *attempt) {
	d, r := a.dispatch, a.life.request
	if c.used[d.Attempt] {
		c.breach("attempt %d of %s has an identifier that was used before", d.Attempt, d.Request)
	}
	c.used[d.Attempt] = true
	if a.life.ended {
		c.breach("%s was sent to %s after its end", d.Request, d.Backend.ID)
	}
	if since, ok := c.leaving[d.Backend.ID]; ok && now > since+leavingGrace {
		c.breach("%s was placed on %s, %d ms after that began to leave", d.Request, d.Backend.ID, now-since)
	}
	if d.ClaimedTokens > 0 {
		c.claimed(a, r.Chain)
	}
}

// claimed checks that every claimed block was given to that life of the
// engine, for the same account and weights.
func (c *checker) claimed(a *attempt, chain wasabiridge.Chain) {
	d := a.dispatch
	if known := c.newest[heard{a.instance, d.Backend.ID}]; d.Incarnation < known {
		c.breach("%s claims entries of life %d of %s, though life %d was known", d.Request, d.Incarnation, d.Backend.ID, known)
	}
	if chain.BlockTokens == 0 || d.ClaimedTokens > len(chain.Blocks)*chain.BlockTokens {
		c.breach("%s claims %d tokens, more than its prompt has in blocks", d.Request, d.ClaimedTokens)
		return
	}
	given := c.given[incarnated{d.Backend.ID, d.Incarnation}]
	for _, b := range chain.Blocks[:d.ClaimedTokens/chain.BlockTokens] {
		root, ok := given[b]
		if !ok {
			c.breach("%s claims a block that life %d of %s never was given", d.Request, d.Incarnation, d.Backend.ID)
			return
		}
		if root != chain.Root {
			c.breach("%s claims a block of %+v at %s", d.Request, root, d.Backend.ID)
			return
		}
	}
}

// accepted notes that an engine took an attempt.
func (c *checker) accepted(a *attempt) {
	r := a.life.request
	if c.reached[r.ID] == nil {
		c.reached[r.ID] = make(map[wasabiridge.AttemptID]bool)
	}
	c.reached[r.ID][a.dispatch.Attempt] = true
	k := incarnated{a.server.backend.ID, a.server.Incarnation()}
	if c.given[k] == nil {
		c.given[k] = make(map[wasabiridge.BlockHash]wasabiridge.CacheRoot)
	}
	for _, b := range r.Chain.Blocks {
		if root, ok := c.given[k][b]; ok && root != r.Chain.Root {
			continue
		}
		c.given[k][b] = r.Chain.Root
	}
}

func (c *checker) started(a *attempt) {
	r := a.life.request
	c.runs[r.ID]++
	if r.Action.NonIdempotent && c.runs[r.ID] > 1 {
		c.breach("%s must run at most once, but ran %d times", r.ID, c.runs[r.ID])
	}
}

// resumed checks that an answer goes on exactly where the last one broke.
func (c *checker) resumed(l *life, out wasabifake.Output) {
	if out.Job.ResumeFrom != l.delivered {
		c.breach("%s goes on at token %d, but its caller has %d", l.request.ID, out.Job.ResumeFrom, l.delivered)
	}
}

func (c *checker) answered(l *life, out wasabifake.Output) {
	c.answers[l.request.ID]++
	if out.Job.Request != l.request.ID {
		c.breach("%s got the answer of %s", l.request.ID, out.Job.Request)
	}
	if l.ended {
		c.breach("%s was answered after its end", l.request.ID)
	}
}

func (c *checker) refused(l *life, r wasabiridge.Refuse) {
	c.refusals[r.Request]++
	if l.ended {
		c.breach("%s was refused after its end", r.Request)
	}
	if r.Disposition == wasabiridge.NotRun && len(c.reached[r.Request]) > 0 {
		c.breach("%s was refused as not run, but reached an engine", r.Request)
	}
}

func (c *checker) finished(l *life) {
	if !l.ended {
		c.breach("%s was lost", l.request.ID)
	}
	if c.answers[l.request.ID] > 1 {
		c.breach("%s was answered %d times", l.request.ID, c.answers[l.request.ID])
	}
}
