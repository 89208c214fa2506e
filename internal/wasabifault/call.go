package wasabifault

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// SleepFunc waits for span. It reports false if the context ended first.
type SleepFunc func(ctx context.Context, span wasabiridge.Millis) bool

// Sleep waits for span in real time. It reports false if the context ended first.
func Sleep(ctx context.Context, span wasabiridge.Millis) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Read draws the outcome of a read and applies its delays and failure. Every
// failure is ErrUnavailable, because a read has no effect.
func (i *Injector) Read(ctx context.Context, key string) error {
	outcome := i.NextOutcome(Read, key)
	if !i.sleep(ctx, outcome.Before+outcome.After) {
		return wasabiridge.ErrUnavailable.New("read of %q timed out", key)
	}
	if outcome.Kind != Delivered && outcome.Kind != Race {
		return wasabiridge.ErrUnavailable.New("read of %q failed: %s", key, outcome.Kind)
	}
	return nil
}

// Write draws the outcome of a write and applies its delays and failure before and
// after effect. The effect is called unless the write never arrives; for the kinds
// LateEffect and Race it must implement the delayed write or the concurrent one.
// Its error is returned unless the answer is lost: then the error is
// ErrOutcomeUnknown, as for every call whose context ends during a delay. The
// error of a rejected write is ErrUnavailable.
func (i *Injector) Write(ctx context.Context, key string, effect func(f Outcome) error) error {
	outcome := i.NextOutcome(Write, key)
	if outcome.Kind == Unavailable {
		return wasabiridge.ErrUnavailable.New("write of %q rejected before any effect", key)
	}
	if !i.sleep(ctx, outcome.Before) {
		return unknownOutcome(key)
	}
	var err error
	if outcome.Kind != LostRequest {
		err = effect(outcome)
	}
	if !i.sleep(ctx, outcome.After) || outcome.losesAnswer() {
		return unknownOutcome(key)
	}
	return err
}

func (f Outcome) losesAnswer() bool {
	return f.Kind == LostRequest || f.Kind == LostAnswer || f.Kind == LateEffect
}

func unknownOutcome(key string) error {
	return wasabiridge.ErrOutcomeUnknown.New("no answer to the write of %q", key)
}
