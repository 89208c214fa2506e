package wasabimeasure

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

// apply executes an effect of a Decider, as the relay does in a router.
func (sim *simulation) apply(instance int, e wasabiridge.Effect) {
	switch e := e.(type) {
	case wasabiridge.Dispatch:
		sim.dispatch(instance, e)
	case wasabiridge.Cancel:
		sim.cancel(e.Attempt)
	case wasabiridge.Refuse:
		sim.refuse(e)
	}
}

func (sim *simulation) dispatch(instance int, d wasabiridge.Dispatch) {
	state, s := sim.byRequest[d.Request], sim.byID[d.Backend.ID]
	a := &attempt{dispatch: d, instance: instance, state: state, server: s}
	sim.checker.dispatched(sim.now, a)
	sim.attempts[d.Attempt] = a
	sim.countDispatch(a)
	if s.Down() {
		sim.notify(instance, wasabiridge.BackendLost{Backend: d.Backend.ID})
		sim.finish(a, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun})
		return
	}
	sim.notify(instance, wasabiridge.AttemptSent{Request: d.Request, Attempt: d.Attempt})
	accepted := s.Submit(sim.now, wasabifake.Job{
		Attempt: d.Attempt, Request: d.Request, Priority: state.request.Action.Priority,
		Chain: state.request.Chain, OutputTokens: state.stream.OutputTokens, ResumeFrom: d.ResumeFrom,
	})
	if !accepted {
		sim.finish(a, wasabiridge.AttemptEnded{
			Result: wasabiridge.AttemptNotRun, Overloaded: true, RetryAfter: overloadRetry,
		})
		return
	}
	sim.checker.accepted(a)
}

// finish ends an attempt and notifies the instance that made it.
func (sim *simulation) finish(a *attempt, e wasabiridge.AttemptEnded) {
	e.Request, e.Attempt, e.Backend = a.dispatch.Request, a.dispatch.Attempt, a.dispatch.Backend.ID
	if a.state.winner == a.dispatch.Attempt {
		e.Delivered = a.state.delivered
		e.Usage.Weights = a.server.Spec().Weights
	}
	delete(sim.attempts, a.dispatch.Attempt)
	sim.notify(a.instance, e)
}

func (sim *simulation) cancel(id wasabiridge.AttemptID) {
	a, ok := sim.attempts[id]
	if !ok {
		return
	}
	a.server.Cancel(sim.now, id)
	sim.countLoser(a)
	if a.state.winner == id {
		a.state.winner = 0
	}
	sim.finish(a, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCancelled})
}

func (sim *simulation) refuse(r wasabiridge.Refuse) {
	state := sim.byRequest[r.Request]
	sim.checker.refused(state, r)
	if state.ended {
		return
	}
	sim.markEnded(state)
	sim.countRefusal(state, r)
}

func (sim *simulation) markEnded(state *requestState) {
	state.ended = true
	sim.open--
}

// processOutputs advances an engine to the current time and handles the starts,
// first tokens and completions that it reports.
func (sim *simulation) processOutputs(s *server) {
	for _, out := range s.Advance(sim.now) {
		a, ok := sim.attempts[out.Job.Attempt]
		if !ok {
			continue
		}
		switch out.Kind {
		case wasabifake.Started:
			sim.checker.started(a)
			sim.countStart(a, out)
		case wasabifake.FirstToken:
			sim.firstToken(a, out)
		case wasabifake.Completed:
			sim.complete(a, out)
		}
	}
}

// firstToken makes the first attempt that produces a token the winner, whose
// answer the caller receives.
func (sim *simulation) firstToken(a *attempt, out wasabifake.Output) {
	state := a.state
	if state.winner == 0 {
		state.winner = a.dispatch.Attempt
		sim.checker.resumed(state, out)
	}
	if state.winner == a.dispatch.Attempt && state.firstToken == 0 {
		state.firstToken = out.At
	}
	sim.notify(a.instance, wasabiridge.AttemptFirstToken{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt})
}

func (sim *simulation) complete(a *attempt, out wasabifake.Output) {
	if state := a.state; state.winner == a.dispatch.Attempt {
		state.delivered = out.Job.OutputTokens
		sim.checker.answered(state, out)
		if !state.ended {
			sim.markEnded(state)
			sim.countAnswer(state)
		}
	}
	sim.finish(a, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCompleted, Usage: out.Usage})
}

// crash stops an engine and breaks the attempts that run on it. Instances
// without such an attempt are notified when they next dispatch to the engine,
// or by the health check.
func (sim *simulation) crash(s *server) {
	for _, lost := range s.Crash(sim.now) {
		a, ok := sim.attempts[lost.Job.Attempt]
		if !ok {
			continue
		}
		if a.state.winner == lost.Job.Attempt {
			a.state.delivered = lost.Produced
		}
		sim.finish(a, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken})
		if a.state.winner == lost.Job.Attempt {
			a.state.winner = 0
		}
	}
	sim.schedule(sim.now+healthCheck, func() {
		if s.Down() {
			sim.notifyAll(wasabiridge.BackendLost{Backend: s.backend.ID})
		}
	})
}
