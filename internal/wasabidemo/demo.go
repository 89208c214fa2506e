// Package wasabidemo runs a complete system in one process on loopback ports: two
// routers, stand-in engines, a plain service and a stand-in of the platform. It
// sends prompts that share nested prefixes, crashes an engine during an answer,
// sends a booking twice, and prints the results.
//
// # Usage
//
//	if err := wasabidemo.Run(ctx, wasabidemo.Options{Out: os.Stdout}); err != nil {
//		return err
//	}
package wasabidemo

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
)

// timeLimit bounds the scenario. The time that Stay adds is not included.
const timeLimit = 14 * wasabiridge.Second

// Options configure the demo.
type Options struct {
	// Out receives the output.
	Out io.Writer
	// Stay keeps the system running after the scenario until the context is
	// done, and prints example commands.
	Stay bool
}

// Run starts the system, runs the scenario and drains the routers. The error is
// not nil if a request fails, or if its result is not the expected one.
func Run(ctx context.Context, o Options) error {
	clock := wasabiclock.System()
	var env *environment
	var err error
	if env, err = newEnvironment(clock); err != nil {
		return err
	}
	defer env.close()
	work, cancel := context.WithTimeout(ctx, timeLimit.Duration())
	defer cancel()
	if err = runScenario(work, o.Out, env); err != nil {
		return err
	}
	if o.Stay {
		env.printUsage(o.Out)
		<-ctx.Done()
	}
	return env.drain()
}

// runScenario sends the requests and prints the results.
func runScenario(ctx context.Context, out io.Writer, env *environment) error {
	c := newCaller(env.clock, liftwellKey)
	var err error
	if err = c.waitForAddresses(ctx, env.routers[0].URL(), len(env.routers)); err != nil {
		return err
	}
	fmt.Fprintf(out, "Two routers are ready. Addresses for callers:\n")
	for _, a := range c.addresses {
		fmt.Fprintf(out, "  %s  zone %s  weight %d\n", a.URL, a.Zone, a.Weight)
	}
	prompts := nestedPrompts()
	fmt.Fprintf(out, "\nFirst answer, as it streams:\n ")
	var first answer
	if first, err = c.complete(ctx, prompts[0], answerTokens, func(text string) { fmt.Fprint(out, text) }); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n\nSending %d more prompts that share manuals and service histories ...\n", len(prompts)-1)
	var answers []answer
	if answers, err = c.completeAll(ctx, prompts[1:]); err != nil {
		return err
	}
	newFigures(append(answers, first)).print(out)
	if err = crash(ctx, out, env, c, prompts[0]); err != nil {
		return err
	}
	return book(ctx, out, env)
}

// crash sends a prompt twice. The second time the serving engine crashes during
// the answer, and another engine resumes it. Both answers must be the same.
func crash(ctx context.Context, out io.Writer, env *environment, c *caller, prompt string) error {
	var uninterrupted, resumed strings.Builder
	if _, err := c.complete(ctx, prompt, longAnswerTokens, func(text string) { uninterrupted.WriteString(text) }); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nAn engine crashes during an answer:\n ")
	words, crashed := 0, false
	if _, err := c.complete(ctx, prompt, longAnswerTokens, func(text string) {
		resumed.WriteString(text)
		fmt.Fprint(out, text)
		if words++; words != crashAtToken {
			return
		}
		var id wasabiridge.BackendServerID
		if id, crashed = env.crashServingEngine(); crashed {
			fmt.Fprintf(out, " [%s crashes]", id)
		}
	}); err != nil {
		return err
	}
	same := uninterrupted.String() == resumed.String()
	fmt.Fprintf(out, "\n  the same answer as without the crash: %t\n", same)
	if !same || !crashed {
		return wasabiridge.ErrInvalid.New("demo: engine crashed: %t; same answer after resuming: %t", crashed, same)
	}
	return nil
}

// book sends the same booking to both routers under one idempotency key. The
// service must execute it once.
func book(ctx context.Context, out io.Writer, env *environment) error {
	const key = "visit-12-frederick-street"
	c := newCaller(env.clock, liftwellKey)
	fmt.Fprintf(out, "\nBooking %q:\n", key)
	for _, router := range env.routers {
		r, err := c.bookUntilDone(ctx, router.URL(), key)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "  %s answers %d %s(repeat: %t)\n", router.URL(), r.status, r.body, r.replayed)
	}
	count := env.service.Executions(key)
	fmt.Fprintf(out, "  the service executed it %d time(s)\n", count)
	if count != 1 {
		return wasabiridge.ErrInvalid.New("demo: the booking ran %d times instead of once", count)
	}
	return nil
}
