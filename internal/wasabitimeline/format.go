package wasabitimeline

import (
	"fmt"
	"io"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// clockLayout formats the time of day of an event, in UTC.
const clockLayout = "15:04:05.000"

// eventFormat describes how events of one kind are printed.
type eventFormat struct {
	text string
	// unit is printed after the value. If it is empty, the value is not
	// printed.
	unit string
	// causePrefix is printed before the cause.
	causePrefix string
}

var eventFormats = map[wasabiridge.TimelineKind]eventFormat{
	wasabiridge.EventArrived:          {text: "arrived"},
	wasabiridge.EventMatched:          {text: "matched", unit: "prompt tokens"},
	wasabiridge.EventClaimed:          {text: "claim"},
	wasabiridge.EventQueued:           {text: "queued", unit: "ms expected"},
	wasabiridge.EventPlaced:           {text: "placed", unit: "tokens expected in cache", causePrefix: "chosen as "},
	wasabiridge.EventSent:             {text: "attempt sent"},
	wasabiridge.EventFirstToken:       {text: "first token", unit: "ms after arrival"},
	wasabiridge.EventBroken:           {text: "attempt broken", unit: "tokens delivered"},
	wasabiridge.EventResumed:          {text: "resumed", unit: "tokens expected in cache", causePrefix: "chosen as "},
	wasabiridge.EventRetried:          {text: "retried", unit: "tokens expected in cache", causePrefix: "chosen as "},
	wasabiridge.EventHedged:           {text: "hedged", unit: "tokens expected in cache", causePrefix: "chosen as "},
	wasabiridge.EventRefused:          {text: "refused", unit: "ms until a retry"},
	wasabiridge.EventEnded:            {text: "ended", unit: "tokens out"},
	wasabiridge.EventConfigAdopted:    {text: "configuration adopted", unit: "is its version"},
	wasabiridge.EventBackendLost:      {text: "backend server lost"},
	wasabiridge.EventBackendLeaving:   {text: "backend server leaving"},
	wasabiridge.EventBackendRestarted: {text: "backend server reborn", unit: "is its incarnation"},
}

// sharedFields holds the fields that all printed events have in common, which
// are left out of their lines.
type sharedFields struct {
	request wasabiridge.RequestID
	account wasabiridge.ClientAccountID
	rule    wasabiridge.RuleID
	// attempts numbers the attempts of the request from 1, because attempt IDs
	// are too long to compare by eye.
	attempts map[wasabiridge.AttemptID]int
}

// sharedFieldsOf returns the shared fields of events, and false when the events
// do not all belong to one request.
func sharedFieldsOf(events []wasabiridge.TimelineEvent) (sharedFields, bool) {
	c := sharedFields{attempts: map[wasabiridge.AttemptID]int{}}
	for _, e := range events {
		if c.request == "" {
			c.request = e.Request
		}
		if e.Request == "" || e.Request != c.request {
			return sharedFields{}, false
		}
		if e.Attempt != 0 && c.attempts[e.Attempt] == 0 {
			c.attempts[e.Attempt] = len(c.attempts) + 1
		}
		if e.Account != "" {
			c.account = e.Account
		}
		if e.Rule != "" {
			c.rule = e.Rule
		}
	}
	return c, c.request != ""
}

// WriteTimeline prints events in the form of WriteLines. If all events belong to
// one request, it first prints a heading with the request, its client account
// and its rule, and leaves these out of the lines.
func WriteTimeline(w io.Writer, events []wasabiridge.TimelineEvent) {
	c, single := sharedFieldsOf(events)
	if single {
		parts := appendField([]string{"request " + string(c.request)}, "account ", string(c.account))
		fmt.Fprintln(w, strings.Join(appendField(parts, "rule ", string(c.rule)), ", "))
	}
	writeLines(w, events, c)
}

// WriteLines prints events as text, one per line, in aligned columns: time of
// day in UTC, time since the previous line, instance, and a description.
func WriteLines(w io.Writer, events []wasabiridge.TimelineEvent) {
	writeLines(w, events, sharedFields{})
}

func writeLines(w io.Writer, events []wasabiridge.TimelineEvent, c sharedFields) {
	width := 0
	for _, e := range events {
		width = max(width, len(e.Instance))
	}
	var previous wasabiridge.Millis
	for i, e := range events {
		elapsed := ""
		if i > 0 {
			elapsed = elapsedText(e.At - previous)
		}
		previous = e.At
		fmt.Fprintf(w, "%s %8s  %-*s  %s\n", e.At.Time().Format(clockLayout), elapsed, width, e.Instance, describe(e, c))
	}
}

func elapsedText(d wasabiridge.Millis) string {
	if d >= 100*wasabiridge.Second {
		return fmt.Sprintf("+%ds", d/wasabiridge.Second)
	}
	return fmt.Sprintf("+%dms", d)
}

// describe returns the description of an event: its kind, and the fields that
// are set and not shared. A kind without a format is printed under its own name.
func describe(e wasabiridge.TimelineEvent, c sharedFields) string {
	f, known := eventFormats[e.Kind]
	if !known {
		f = eventFormat{text: strings.ReplaceAll(string(e.Kind), "_", " ")}
		if e.Value != 0 {
			f.unit = "value"
		}
	}
	var parts []string
	if e.Rule != c.rule || e.Kind == wasabiridge.EventMatched {
		parts = appendField(parts, "rule ", string(e.Rule))
	}
	parts = appendField(parts, "on ", string(e.Backend))
	if number := c.attempts[e.Attempt]; number != 0 {
		parts = append(parts, fmt.Sprintf("attempt %d", number))
	} else if e.Attempt != 0 {
		parts = append(parts, fmt.Sprintf("attempt %d", e.Attempt))
	}
	if cause := strings.ReplaceAll(e.Cause, "_", " "); !strings.HasSuffix(f.text, cause) {
		parts = append(parts, f.causePrefix+cause)
	}
	if f.unit != "" && e.Value != 0 {
		parts = append(parts, fmt.Sprintf("%d %s", e.Value, f.unit))
	}
	if e.Account != c.account {
		parts = appendField(parts, "account ", string(e.Account))
	}
	if e.Request != c.request {
		parts = appendField(parts, "request ", string(e.Request))
	}
	return strings.TrimRight(fmt.Sprintf("%-22s %s", f.text, strings.Join(parts, ", ")), " ")
}

// appendField appends a labelled value to parts, unless the value is empty.
func appendField(parts []string, label, value string) []string {
	if value == "" {
		return parts
	}
	return append(parts, label+value)
}
