package wasabicommand

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclient"
	"github.com/wasabiridge/wasabiridge/internal/wasabitimeline"
)

// Times of following.
const (
	followEvery = time.Second
	// followOverlap is read again with every poll, because events of other
	// instances with slower clocks sort before those that were shown.
	followOverlap = 10 * wasabiridge.Second
	defaultSince  = "5m"
)

// timelineFlags select events.
type timelineFlags struct {
	request, account, backend string
	since, until              string
	limit                     int
	follow                    bool
}

func (f timelineFlags) query() wasabiridge.TimelineQuery {
	return wasabiridge.TimelineQuery{
		Request: wasabiridge.RequestID(f.request), Account: wasabiridge.ClientAccountID(f.account),
		Backend: wasabiridge.BackendServerID(f.backend), Limit: f.limit,
	}
}

func (a *app) timelineCommand() *cobra.Command {
	var f timelineFlags
	c := &cobra.Command{
		Use:   "timeline",
		Short: "Show what happened, over all instances",
		Long: `Show what happened, over all instances, in one order.

Each line has the time of day in UTC, the time since the line before, the
instance, and what happened. Instances that could not be reached, and events
that an instance no longer has, are named after the lines.`,
		Example: `  wasabictl timeline --request 01JDXK4T7Q2M
  wasabictl timeline --account liftwell --since 10m
  wasabictl timeline --backend answer-3 --follow`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			if f.since == "" && f.request == "" {
				f.since = defaultSince
			}
			if f.follow {
				return a.follow(c.Context(), client, f)
			}
			report, err := client.Timeline(c.Context(), f.query(), f.since, f.until)
			if err != nil {
				return err
			}
			return a.show(report, func() error { return a.showTimeline(report) })
		},
	}
	flags := c.Flags()
	flags.StringVar(&f.request, "request", "", "only this request")
	flags.StringVar(&f.account, "account", "", "only this client account")
	flags.StringVar(&f.backend, "backend", "", "only this backend server")
	flags.StringVar(&f.since, "since", "", "from: 5m ago, or 2026-12-02T15:04:05Z (default 5m unless a request is named)")
	flags.StringVar(&f.until, "until", "", "up to, written alike")
	flags.IntVar(&f.limit, "limit", 0, "show the newest events only (default 10000)")
	flags.BoolVar(&f.follow, "follow", false, "go on with new events until interrupted; with --json one event a line")
	return c
}

func (a *app) showTimeline(r wasabiridge.TimelineReport) error {
	wasabitimeline.WriteStory(a.Out, r.Events)
	if len(r.Events) == 0 {
		a.warn("no such events at the %d instances that answered.", len(r.Reached))
	}
	a.warnMissing(r)
	return nil
}

// warnMissing says what the events cannot show.
func (a *app) warnMissing(r wasabiridge.TimelineReport) {
	for _, line := range missing(r) {
		a.warn("%s", line)
	}
}

func missing(r wasabiridge.TimelineReport) []string {
	var lines []string
	for _, u := range r.Unreached {
		lines = append(lines, fmt.Sprintf("instance %s could not be reached: %s", u.Instance, u.Cause))
	}
	for _, i := range r.Reached {
		if i.Dropped > 0 {
			lines = append(lines, fmt.Sprintf("instance %s no longer has %d older events that may belong here", i.Instance, i.Dropped))
		}
	}
	if r.Truncated > 0 {
		lines = append(lines, fmt.Sprintf("%d older events are left out; raise --limit to see them", r.Truncated))
	}
	return lines
}

// eventID names an event over all instances.
type eventID struct {
	instance wasabiridge.InstanceID
	at       wasabiridge.Millis
	logical  uint32
}

// follow polls and prints what is new until the context ends.
func (a *app) follow(ctx context.Context, client *wasabiclient.Client, f timelineFlags) error {
	shown := map[eventID]bool{}
	since, warned := f.since, ""
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	for first := true; ; first = false {
		report, err := client.Timeline(ctx, f.query(), since, f.until)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && first:
			return err
		case err != nil:
			a.warn("%s", messageOf(err))
		default:
			since = a.showNew(report, shown, since)
			warned = a.warnChanged(report, warned)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (a *app) warnChanged(r wasabiridge.TimelineReport, warned string) string {
	now := ""
	for _, u := range r.Unreached {
		now += string(u.Instance) + " "
	}
	if now != warned && now != "" {
		a.warn("not reached now: %s", strings.TrimSpace(now))
	}
	return now
}

// showNew prints events that were not shown yet, forgets those that will not
// be read again, and returns from where to read next.
func (a *app) showNew(r wasabiridge.TimelineReport, shown map[eventID]bool, since string) string {
	var (
		fresh []wasabiridge.TimelineEvent
		last  wasabiridge.Millis
	)
	for _, e := range r.Events {
		id := eventID{e.Instance, e.At, e.Logical}
		last = max(last, e.At)
		if !shown[id] {
			shown[id] = true
			fresh = append(fresh, e)
		}
	}
	a.printEvents(fresh)
	if last == 0 {
		return since
	}
	for id := range shown {
		if id.at < last-followOverlap {
			delete(shown, id)
		}
	}
	return strconv.FormatInt(int64(last-followOverlap), 10)
}

func (a *app) printEvents(events []wasabiridge.TimelineEvent) {
	if !a.json {
		wasabitimeline.WriteLines(a.Out, events)
		return
	}
	encoder := json.NewEncoder(a.Out)
	for _, e := range events {
		// A reader that closed the pipe ends the program by itself.
		_ = encoder.Encode(e)
	}
}
