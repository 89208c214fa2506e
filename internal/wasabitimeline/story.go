package wasabitimeline

import (
	"fmt"
	"io"
	"strings"

	"github.com/wasabiridge/wasabiridge"
)

// clockLayout shows the time of day of an event in UTC.
const clockLayout = "15:04:05.000"

// sentence tells what an event of a kind says about its value.
type sentence struct {
	text string
	// unit follows the value; an empty unit hides the value.
	unit string
	// why stands before the cause.
	why string
}

var sentences = map[wasabiridge.TimelineKind]sentence{
	wasabiridge.EventArrived:        {text: "arrived"},
	wasabiridge.EventMatched:        {text: "matched", unit: "prompt tokens"},
	wasabiridge.EventClaimed:        {text: "claim"},
	wasabiridge.EventQueued:         {text: "queued", unit: "ms expected"},
	wasabiridge.EventPlaced:         {text: "placed", unit: "tokens expected in cache", why: "chosen as "},
	wasabiridge.EventSent:           {text: "attempt sent"},
	wasabiridge.EventFirstToken:     {text: "first token", unit: "ms after arrival"},
	wasabiridge.EventBroken:         {text: "attempt broken", unit: "tokens delivered"},
	wasabiridge.EventResumed:        {text: "resumed", unit: "tokens expected in cache", why: "chosen as "},
	wasabiridge.EventRetried:        {text: "retried", unit: "tokens expected in cache", why: "chosen as "},
	wasabiridge.EventHedged:         {text: "hedged", unit: "tokens expected in cache", why: "chosen as "},
	wasabiridge.EventRefused:        {text: "refused", unit: "ms until a retry"},
	wasabiridge.EventEnded:          {text: "ended", unit: "tokens out"},
	wasabiridge.EventConfigAdopted:  {text: "configuration adopted", unit: "is its version"},
	wasabiridge.EventBackendLost:    {text: "backend server lost"},
	wasabiridge.EventBackendLeaving: {text: "backend server leaving"},
	wasabiridge.EventBackendReborn:  {text: "backend server reborn", unit: "is its incarnation"},
}

// common holds what all events of a story share, so that lines leave it out.
type common struct {
	request wasabiridge.RequestID
	account wasabiridge.ClientAccountID
	rule    wasabiridge.RuleID
	// attempts numbers the attempts of the request from 1, because their
	// identifiers are too long to be told apart at a glance.
	attempts map[wasabiridge.AttemptID]int
}

func commonOf(events []wasabiridge.TimelineEvent) (common, bool) {
	c := common{attempts: map[wasabiridge.AttemptID]int{}}
	for _, e := range events {
		if c.request == "" {
			c.request = e.Request
		}
		if e.Request == "" || e.Request != c.request {
			return common{}, false
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

// WriteStory prints events for people. When all belong to one request, a
// heading names it, its client account and rule, and the lines leave them out.
func WriteStory(w io.Writer, events []wasabiridge.TimelineEvent) {
	c, single := commonOf(events)
	if single {
		parts := appendField([]string{"request " + string(c.request)}, "account ", string(c.account))
		fmt.Fprintln(w, strings.Join(appendField(parts, "rule ", string(c.rule)), ", "))
	}
	writeLines(w, events, c)
}

// WriteLines prints events for people, one on a line: time of day, time since
// the line before, instance, and what happened. The columns are aligned.
func WriteLines(w io.Writer, events []wasabiridge.TimelineEvent) {
	writeLines(w, events, common{})
}

func writeLines(w io.Writer, events []wasabiridge.TimelineEvent, c common) {
	width := 0
	for _, e := range events {
		width = max(width, len(e.Instance))
	}
	var last wasabiridge.Millis
	for i, e := range events {
		step := ""
		if i > 0 {
			step = stepText(e.At - last)
		}
		last = e.At
		fmt.Fprintf(w, "%s %8s  %-*s  %s\n", e.At.Time().Format(clockLayout), step, width, e.Instance, describe(e, c))
	}
}

func stepText(d wasabiridge.Millis) string {
	if d >= 100*wasabiridge.Second {
		return fmt.Sprintf("+%ds", d/wasabiridge.Second)
	}
	return fmt.Sprintf("+%dms", d)
}

// describe tells an event as one line of text without its time.
func describe(e wasabiridge.TimelineEvent, c common) string {
	s, known := sentences[e.Kind]
	if !known {
		s = sentence{text: strings.ReplaceAll(string(e.Kind), "_", " ")}
		if e.Value != 0 {
			s.unit = "value"
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
	if cause := strings.ReplaceAll(e.Cause, "_", " "); !strings.HasSuffix(s.text, cause) {
		parts = append(parts, s.why+cause)
	}
	if s.unit != "" && e.Value != 0 {
		parts = append(parts, fmt.Sprintf("%d %s", e.Value, s.unit))
	}
	if e.Account != c.account {
		parts = appendField(parts, "account ", string(e.Account))
	}
	if e.Request != c.request {
		parts = appendField(parts, "request ", string(e.Request))
	}
	return strings.TrimRight(fmt.Sprintf("%-22s %s", s.text, strings.Join(parts, ", ")), " ")
}

func appendField(parts []string, label, value string) []string {
	if value == "" {
		return parts
	}
	return append(parts, label+value)
}
