package wasabifault

import (
	"context"
	"time"

	"github.com/wasabiridge/wasabiridge"
)

// SleepFunc waits and reports false when the context ended first.
type SleepFunc func(ctx context.Context, span wasabiridge.Millis) bool

// Sleep waits in real time. It reports false when the context ended first.
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

// Read carries out the fate of a read. Every failure of a read is
// ErrUnavailable, because a read has no effect.
func (i *Injector) Read(ctx context.Context, key string) error {
	fate := i.Draw(Read, key)
	if !i.sleep(ctx, fate.Before+fate.After) {
		return wasabiridge.ErrUnavailable.New("read of %q timed out", key)
	}
	if fate.Kind != Delivered && fate.Kind != Race {
		return wasabiridge.ErrUnavailable.New("read of %q failed: %s", key, fate.Kind)
	}
	return nil
}

// Write carries out the fate of a write around its effect. The effect is
// called unless the write never arrives; for the kinds LateEffect and Race it
// has to do what the fate says. Its error is returned unless the answer is
// lost.
func (i *Injector) Write(ctx context.Context, key string, effect func(f Fate) error) error {
	fate := i.Draw(Write, key)
	if fate.Kind == Unavailable {
		return wasabiridge.ErrUnavailable.New("write of %q turned away", key)
	}
	if !i.sleep(ctx, fate.Before) {
		return unknownOutcome(key)
	}
	var err error
	if fate.Kind != LostRequest {
		err = effect(fate)
	}
	if !i.sleep(ctx, fate.After) || fate.hidesOutcome() {
		return unknownOutcome(key)
	}
	return err
}

func (f Fate) hidesOutcome() bool {
	return f.Kind == LostRequest || f.Kind == LostAnswer || f.Kind == LateEffect
}

func unknownOutcome(key string) error {
	return wasabiridge.ErrOutcomeUnknown.New("no answer to the write of %q", key)
}
