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

// Times of the --follow flag.
const (
	followInterval = time.Second
	// followOverlap is how far every poll reaches back before the newest printed
	// event, because new events of instances with slower clocks sort before it.
	followOverlap = 10 * wasabiridge.Second
	defaultSince  = "5m"
)

// timelineFlags are the flags of the timeline command.
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
		Short: "Show the events of all instances",
		Long: `Show the events of all instances, merged in one order.

Each line has the time of day in UTC, the time since the previous line, the
instance, and the event. Instances that could not be reached, and events that an
instance no longer has, are listed after the events.`,
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
	flags.StringVar(&f.since, "since", "", "start: 5m for five minutes ago, or 2026-12-02T15:04:05Z (default 5m, unless --request is set)")
	flags.StringVar(&f.until, "until", "", "end, in the same form as --since")
	flags.IntVar(&f.limit, "limit", 0, "show the newest events only (default 10000)")
	flags.BoolVar(&f.follow, "follow", false, "keep printing new events until interrupted; with --json one event per line")
	return c
}

func (a *app) showTimeline(r wasabiridge.TimelineReport) error {
	wasabitimeline.WriteTimeline(a.Out, r.Events)
	if len(r.Events) == 0 {
		a.warn("no such events at the %d instances that were reached.", len(r.Reached))
	}
	a.warnMissing(r)
	return nil
}

// warnMissing warns about events that a report lacks.
func (a *app) warnMissing(r wasabiridge.TimelineReport) {
	for _, line := range missingText(r) {
		a.warn("%s", line)
	}
}

// missingText lists unreached instances and overwritten or truncated events.
func missingText(r wasabiridge.TimelineReport) []string {
	var lines []string
	for _, u := range r.Unreached {
		lines = append(lines, fmt.Sprintf("instance %s could not be reached: %s", u.Instance, u.Cause))
	}
	for _, i := range r.Reached {
		if i.Dropped > 0 {
			lines = append(lines, fmt.Sprintf("instance %s no longer has %d older events that may match", i.Instance, i.Dropped))
		}
	}
	if r.Truncated > 0 {
		lines = append(lines, fmt.Sprintf("%d older events are left out; raise --limit to see them", r.Truncated))
	}
	return lines
}

// eventID identifies an event among those of all instances.
type eventID struct {
	instance wasabiridge.InstanceID
	at       wasabiridge.Millis
	logical  uint32
}

// follow polls and prints new events until ctx is done. An error of the first
// poll ends it; later errors are printed as warnings.
func (a *app) follow(ctx context.Context, client *wasabiclient.Client, f timelineFlags) error {
	shown := map[eventID]bool{}
	since, warned := f.since, ""
	ticker := time.NewTicker(followInterval)
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
			since = a.printNew(report, shown, since)
			warned = a.warnChanged(report, warned)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// warnChanged warns about unreached instances when they differ from those of the
// previous poll, and returns them.
func (a *app) warnChanged(r wasabiridge.TimelineReport, previous string) string {
	unreached := ""
	for _, u := range r.Unreached {
		unreached += string(u.Instance) + " "
	}
	if unreached != previous && unreached != "" {
		a.warn("not reached now: %s", strings.TrimSpace(unreached))
	}
	return unreached
}

// printNew prints the events that are not in shown and adds them to it. It
// removes events older than the overlap from shown and returns the start of the
// next poll.
func (a *app) printNew(r wasabiridge.TimelineReport, shown map[eventID]bool, since string) string {
	var (
		unshown []wasabiridge.TimelineEvent
		newest  wasabiridge.Millis
	)
	for _, e := range r.Events {
		id := eventID{e.Instance, e.At, e.Logical}
		newest = max(newest, e.At)
		if !shown[id] {
			shown[id] = true
			unshown = append(unshown, e)
		}
	}
	a.printEvents(unshown)
	if newest == 0 {
		return since
	}
	for id := range shown {
		if id.at < newest-followOverlap {
			delete(shown, id)
		}
	}
	return strconv.FormatInt(int64(newest-followOverlap), 10)
}

func (a *app) printEvents(events []wasabiridge.TimelineEvent) {
	if !a.json {
		wasabitimeline.WriteLines(a.Out, events)
		return
	}
	encoder := json.NewEncoder(a.Out)
	for _, e := range events {
		// The error is ignored: when the output is a closed pipe, the operating
		// system ends the process by a signal.
		_ = encoder.Encode(e)
	}
}
