// Package wasabidemo runs the whole path in one process on loopback ports: two
// routers, stand-in engines, a plain service and a stand-in of the platform.
// It sends prompts that share nested prefixes, and a booking, and prints what
// came of them.
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

// timeLimit bounds a demo that does not stay.
const timeLimit = 14 * wasabiridge.Second

// Options say what the demo does.
type Options struct {
	// Out takes what the demo prints.
	Out io.Writer
	// Stay keeps everything running until the context is done.
	Stay bool
}

// Run runs the demo. It returns after it, or with Stay when the context is
// done.
func Run(ctx context.Context, o Options) error {
	clock := wasabiclock.System()
	var s *stage
	var err error
	if s, err = newStage(clock); err != nil {
		return err
	}
	defer s.close()
	work, cancel := context.WithTimeout(ctx, timeLimit.Duration())
	defer cancel()
	if err = play(work, o.Out, s); err != nil {
		return err
	}
	if o.Stay {
		s.explain(o.Out)
		<-ctx.Done()
	}
	return s.drain()
}

// play sends the requests and prints what came of them.
func play(ctx context.Context, out io.Writer, s *stage) error {
	c := newCaller(s.clock, liftwellKey)
	var err error
	if err = c.locateAll(ctx, s.routers[0].URL(), len(s.routers)); err != nil {
		return err
	}
	fmt.Fprintf(out, "Two routers serve; callers may use:\n")
	for _, a := range c.addresses {
		fmt.Fprintf(out, "  %s  zone %s  weight %d\n", a.URL, a.Zone, a.Weight)
	}
	prompts := nestedPrompts()
	fmt.Fprintf(out, "\nFirst answer, as it streams:\n ")
	var first answer
	if first, err = c.ask(ctx, prompts[0], answerTokens, func(text string) { fmt.Fprint(out, text) }); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n\nSending %d more prompts that share manuals and service histories ...\n", len(prompts)-1)
	var answers []answer
	if answers, err = c.askAll(ctx, prompts[1:]); err != nil {
		return err
	}
	newFigures(append(answers, first)).print(out)
	if err = crash(ctx, out, s, c, prompts[0]); err != nil {
		return err
	}
	return book(ctx, out, s)
}

// crash asks a question twice. The second time the engine that answers dies
// half way, and both answers must be the same.
func crash(ctx context.Context, out io.Writer, s *stage, c *caller, prompt string) error {
	var whole, resumed strings.Builder
	if _, err := c.ask(ctx, prompt, longTokens, func(text string) { whole.WriteString(text) }); err != nil {
		return err
	}
	fmt.Fprintf(out, "\nAn engine dies in the middle of an answer:\n ")
	words, died := 0, false
	if _, err := c.ask(ctx, prompt, longTokens, func(text string) {
		resumed.WriteString(text)
		fmt.Fprint(out, text)
		if words++; words != diesAt {
			return
		}
		var id wasabiridge.BackendServerID
		if id, died = s.crashBusy(); died {
			fmt.Fprintf(out, " [%s dies]", id)
		}
	}); err != nil {
		return err
	}
	same := whole.String() == resumed.String()
	fmt.Fprintf(out, "\n  the same answer as without the crash: %t\n", same)
	if !same || !died {
		return wasabiridge.ErrInvalid.New("demo: crashed %t, same answer %t", died, same)
	}
	return nil
}

// book sends one booking twice, to both routers, under one key.
func book(ctx context.Context, out io.Writer, s *stage) error {
	const key = "visit-12-frederick-street"
	c := newCaller(s.clock, liftwellKey)
	fmt.Fprintf(out, "\nBooking %q:\n", key)
	for _, router := range s.routers {
		r, err := c.bookUntilKnown(ctx, router.URL(), key)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "  %s answers %d %s(repeat: %t)\n", router.URL(), r.status, r.body, r.repeated)
	}
	count := s.service.Executions(key)
	fmt.Fprintf(out, "  the service executed it %d time(s)\n", count)
	if count != 1 {
		return wasabiridge.ErrInvalid.New("demo: the booking ran %d times", count)
	}
	return nil
}
