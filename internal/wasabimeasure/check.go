package wasabimeasure

import (
	"fmt"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

const (
	// leavingGrace is how long requests may still be placed on a server that is
	// leaving. Instances are notified within leavingSpread.
	leavingGrace = 3 * wasabiridge.Second
	// maxViolations is how many violations a report describes. Further ones are
	// only counted.
	maxViolations = 20
)

// engineIncarnation identifies one incarnation of one engine.
type engineIncarnation struct {
	backend     wasabiridge.BackendServerID
	incarnation wasabiridge.Incarnation
}

type instanceBackend struct {
	instance int
	backend  wasabiridge.BackendServerID
}

// checker verifies the invariants that must hold under every fault.
type checker struct {
	violations []string
	count      int
	// submitted holds the blocks of all prompts that each incarnation of an
	// engine accepted, with the cache root under which they were computed.
	submitted map[engineIncarnation]map[wasabiridge.BlockHash]wasabiridge.CacheRoot
	// newest is the latest incarnation of an engine that was reported to an
	// instance.
	newest   map[instanceBackend]wasabiridge.Incarnation
	leaving  map[wasabiridge.BackendServerID]wasabiridge.Millis
	used     map[wasabiridge.AttemptID]bool
	reached  map[wasabiridge.RequestID]map[wasabiridge.AttemptID]bool
	runs     map[wasabiridge.RequestID]int
	answers  map[wasabiridge.RequestID]int
	refusals map[wasabiridge.RequestID]int
}

func newChecker() *checker {
	return &checker{
		submitted: make(map[engineIncarnation]map[wasabiridge.BlockHash]wasabiridge.CacheRoot),
		newest:    make(map[instanceBackend]wasabiridge.Incarnation),
		leaving:   make(map[wasabiridge.BackendServerID]wasabiridge.Millis),
		used:      make(map[wasabiridge.AttemptID]bool),
		reached:   make(map[wasabiridge.RequestID]map[wasabiridge.AttemptID]bool),
		runs:      make(map[wasabiridge.RequestID]int),
		answers:   make(map[wasabiridge.RequestID]int),
		refusals:  make(map[wasabiridge.RequestID]int),
	}
}

func (c *checker) breach(format string, args ...any) {
	c.count++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// delivered records the engine incarnations that an event reports to an
// instance.
func (c *checker) delivered(d delivery) {
	switch e := d.event.(type) {
	case wasabiridge.LoadReported:
		c.recordIncarnation(d.instance, e.Report.Backend, e.Report.Incarnation)
	case wasabiridge.CacheChanged:
		for _, x := range e.Events {
			c.recordIncarnation(d.instance, x.Backend, x.Incarnation)
		}
	case wasabiridge.AttemptEnded:
		c.recordIncarnation(d.instance, e.Backend, e.Usage.Incarnation)
	}
}

func (c *checker) recordIncarnation(instance int, b wasabiridge.BackendServerID, i wasabiridge.Incarnation) {
	k := instanceBackend{instance, b}
	c.newest[k] = max(c.newest[k], i)
}

// restarted clears the reported incarnations, as a restart of all instances
// does.
func (c *checker) restarted() { clear(c.newest) }

func (c *checker) dispatched(now wasabiridge.Millis, a *attempt) {
	d, r := a.dispatch, a.state.request
	if c.used[d.Attempt] {
		c.breach("attempt ID %d of %s was used before", d.Attempt, d.Request)
	}
	c.used[d.Attempt] = true
	if a.state.ended {
		c.breach("%s was dispatched to %s after the request had ended", d.Request, d.Backend.ID)
	}
	if since, ok := c.leaving[d.Backend.ID]; ok && now > since+leavingGrace {
		c.breach("%s was placed on %s %d ms after that server began to leave", d.Request, d.Backend.ID, now-since)
	}
	if d.ClaimedTokens > 0 {
		c.claimed(a, r.Chain)
	}
}

// claimed checks that every block that a Dispatch assumes to be cached was part
// of a prompt that this incarnation of the engine accepted, for the same account
// and weights.
func (c *checker) claimed(a *attempt, chain wasabiridge.Chain) {
	d := a.dispatch
	if known := c.newest[instanceBackend{a.instance, d.Backend.ID}]; d.Incarnation < known {
		c.breach("%s assumes cache entries of incarnation %d of %s, but incarnation %d had been reported", d.Request, d.Incarnation, d.Backend.ID, known)
	}
	if chain.BlockTokens == 0 || d.ClaimedTokens > len(chain.Blocks)*chain.BlockTokens {
		c.breach("%s assumes %d cached tokens, more than the complete blocks of its prompt hold", d.Request, d.ClaimedTokens)
		return
	}
	submitted := c.submitted[engineIncarnation{d.Backend.ID, d.Incarnation}]
	for _, b := range chain.Blocks[:d.ClaimedTokens/chain.BlockTokens] {
		root, ok := submitted[b]
		if !ok {
			c.breach("%s assumes a cached block that incarnation %d of %s never computed", d.Request, d.Incarnation, d.Backend.ID)
			return
		}
		if root != chain.Root {
			c.breach("%s assumes a cached block of another cache root, %+v, at %s", d.Request, root, d.Backend.ID)
			return
		}
	}
}

// accepted records that an engine accepted an attempt, with the blocks of its
// prompt.
func (c *checker) accepted(a *attempt) {
	r := a.state.request
	if c.reached[r.ID] == nil {
		c.reached[r.ID] = make(map[wasabiridge.AttemptID]bool)
	}
	c.reached[r.ID][a.dispatch.Attempt] = true
	k := engineIncarnation{a.server.backend.ID, a.server.Incarnation()}
	if c.submitted[k] == nil {
		c.submitted[k] = make(map[wasabiridge.BlockHash]wasabiridge.CacheRoot)
	}
	for _, b := range r.Chain.Blocks {
		if root, ok := c.submitted[k][b]; ok && root != r.Chain.Root {
			continue
		}
		c.submitted[k][b] = r.Chain.Root
	}
}

func (c *checker) started(a *attempt) {
	r := a.state.request
	c.runs[r.ID]++
	if r.Action.NonIdempotent && c.runs[r.ID] > 1 {
		c.breach("%s must run at most once, but ran %d times", r.ID, c.runs[r.ID])
	}
}

// resumed checks that a resumed answer continues at the first token that the
// caller has not received.
func (c *checker) resumed(state *requestState, out wasabifake.Output) {
	if out.Job.ResumeFrom != state.delivered {
		c.breach("%s resumes at token %d, but its caller received %d tokens", state.request.ID, out.Job.ResumeFrom, state.delivered)
	}
}

func (c *checker) answered(state *requestState, out wasabifake.Output) {
	c.answers[state.request.ID]++
	if out.Job.Request != state.request.ID {
		c.breach("%s received the answer to %s", state.request.ID, out.Job.Request)
	}
	if state.ended {
		c.breach("%s was answered after it had ended", state.request.ID)
	}
}

func (c *checker) refused(state *requestState, r wasabiridge.Refuse) {
	c.refusals[r.Request]++
	if state.ended {
		c.breach("%s was refused after it had ended", r.Request)
	}
	if r.Disposition == wasabiridge.NotRun && len(c.reached[r.Request]) > 0 {
		c.breach("%s was refused as not run, but an engine accepted it", r.Request)
	}
}

func (c *checker) finished(state *requestState) {
	if !state.ended {
		c.breach("%s was neither answered nor refused", state.request.ID)
	}
	if c.answers[state.request.ID] > 1 {
		c.breach("%s was answered %d times", state.request.ID, c.answers[state.request.ID])
	}
}
