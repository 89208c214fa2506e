package wasabimeasure

import (
	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
)

// apply carries out an effect, as a relay would.
func (w *world) apply(instance int, e wasabiridge.Effect) {
	switch e := e.(type) {
	case wasabiridge.Dispatch:
		w.dispatch(instance, e)
	case wasabiridge.Cancel:
		w.cancel(e.Attempt)
	case wasabiridge.Refuse:
		w.refuse(e)
	}
}

func (w *world) dispatch(instance int, d wasabiridge.Dispatch) {
	l, s := w.byRequest[d.Request], w.byID[d.Backend.ID]
	a := &attempt{dispatch: d, instance: instance, life: l, server: s}
	w.checker.dispatched(w.now, a)
	w.attempts[d.Attempt] = a
	w.countDispatch(a)
	if s.Down() {
		w.tell(instance, wasabiridge.BackendLost{Backend: d.Backend.ID})
		w.finish(a, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptNotRun})
		return
	}
	w.tell(instance, wasabiridge.AttemptSent{Request: d.Request, Attempt: d.Attempt})
	accepted := s.Submit(w.now, wasabifake.Job{
		Attempt: d.Attempt, Request: d.Request, Priority: l.request.Action.Priority,
		Chain: l.request.Chain, OutputTokens: l.stream.OutputTokens, ResumeFrom: d.ResumeFrom,
	})
	if !accepted {
		w.finish(a, wasabiridge.AttemptEnded{
			Result: wasabiridge.AttemptNotRun, Overloaded: true, RetryAfter: overloadRetry,
		})
		return
	}
	w.checker.accepted(a)
}

// finish ends an attempt and tells the instance that made it.
func (w *world) finish(a *attempt, e wasabiridge.AttemptEnded) {
	e.Request, e.Attempt, e.Backend = a.dispatch.Request, a.dispatch.Attempt, a.dispatch.Backend.ID
	if a.life.winner == a.dispatch.Attempt {
		e.Delivered = a.life.delivered
		e.Usage.Weights = a.server.Spec().Weights
	}
	delete(w.attempts, a.dispatch.Attempt)
	w.tell(a.instance, e)
}

func (w *world) cancel(id wasabiridge.AttemptID) {
	a, ok := w.attempts[id]
	if !ok {
		return
	}
	a.server.Cancel(w.now, id)
	w.countLoser(a)
	if a.life.winner == id {
		a.life.winner = 0
	}
	w.finish(a, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCancelled})
}

func (w *world) refuse(r wasabiridge.Refuse) {
	l := w.byRequest[r.Request]
	w.checker.refused(l, r)
	if l.ended {
		return
	}
	w.endOf(l)
	w.countRefusal(l, r)
}

func (w *world) endOf(l *life) {
	l.ended = true
	w.open--
}

// outputs takes what an engine did to the callers.
func (w *world) outputs(s *server) {
	for _, out := range s.Advance(w.now) {
		a, ok := w.attempts[out.Job.Attempt]
		if !ok {
			continue
		}
		switch out.Kind {
		case wasabifake.Started:
			w.checker.started(a)
			w.countStart(a, out)
		case wasabifake.FirstToken:
			w.firstToken(a, out)
		case wasabifake.Completed:
			w.complete(a, out)
		}
	}
}

// firstToken ties the caller to the first attempt that answers.
func (w *world) firstToken(a *attempt, out wasabifake.Output) {
	l := a.life
	if l.winner == 0 {
		l.winner = a.dispatch.Attempt
		w.checker.resumed(l, out)
	}
	if l.winner == a.dispatch.Attempt && l.firstToken == 0 {
		l.firstToken = out.At
	}
	w.tell(a.instance, wasabiridge.AttemptFirstToken{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt})
}

func (w *world) complete(a *attempt, out wasabifake.Output) {
	if l := a.life; l.winner == a.dispatch.Attempt {
		l.delivered = out.Job.OutputTokens
		w.checker.answered(l, out)
		if !l.ended {
			w.endOf(l)
			w.countAnswer(l)
		}
	}
	w.finish(a, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptCompleted, Usage: out.Usage})
}

// crash kills an engine and breaks the attempts inside. The others learn of
// it when they next connect, or at the next health check.
func (w *world) crash(s *server) {
	for _, lost := range s.Crash(w.now) {
		a, ok := w.attempts[lost.Job.Attempt]
		if !ok {
			continue
		}
		if a.life.winner == lost.Job.Attempt {
			a.life.delivered = lost.Produced
		}
		w.finish(a, wasabiridge.AttemptEnded{Result: wasabiridge.AttemptBroken})
		if a.life.winner == lost.Job.Attempt {
			a.life.winner = 0
		}
	}
	w.at(w.now+healthCheck, func() {
		if s.Down() {
			w.tellAll(wasabiridge.BackendLost{Backend: s.backend.ID})
		}
	})
}
