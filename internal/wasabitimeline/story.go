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
}

var sentences = map[wasabiridge.TimelineKind]sentence{
	wasabiridge.EventArrived:        {"arrived", "prompt tokens"},
	wasabiridge.EventMatched:        {"matched rule", ""},
	wasabiridge.EventClaimed:        {"claim", ""},
	wasabiridge.EventQueued:         {"queued", "ms expected"},
	wasabiridge.EventPlaced:         {"placed", "tokens expected in cache"},
	wasabiridge.EventSent:           {"attempt sent", ""},
	wasabiridge.EventFirstToken:     {"first token", "ms after arrival"},
	wasabiridge.EventBroken:         {"attempt broken", "tokens delivered"},
	wasabiridge.EventResumed:        {"resumed", "tokens already delivered"},
	wasabiridge.EventRetried:        {"retried", ""},
	wasabiridge.EventHedged:         {"hedged", ""},
	wasabiridge.EventRefused:        {"refused", "ms until a retry"},
	wasabiridge.EventEnded:          {"ended", "tokens out"},
	wasabiridge.EventConfigAdopted:  {"configuration adopted", "is its version"},
	wasabiridge.EventBackendLost:    {"backend server lost", ""},
	wasabiridge.EventBackendLeaving: {"backend server leaving", ""},
	wasabiridge.EventBackendReborn:  {"backend server reborn", "is its incarnation"},
}

// WriteStory prints events for people, one on a line: time of day, time since
// the line before, instance, and what happened. The columns are aligned.
func WriteStory(w io.Writer, events []wasabiridge.TimelineEvent) {
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
		fmt.Fprintf(w, "%s %8s  %-*s  %s\n", e.At.Time().Format(clockLayout), step, width, e.Instance, Describe(e))
	}
}

func stepText(d wasabiridge.Millis) string {
	if d >= 100*wasabiridge.Second {
		return fmt.Sprintf("+%ds", d/wasabiridge.Second)
	}
	return fmt.Sprintf("+%dms", d)
}

// Describe tells an event as one line of text without its time.
func Describe(e wasabiridge.TimelineEvent) string {
	s, known := sentences[e.Kind]
	if !known {
		s = sentence{text: strings.ReplaceAll(string(e.Kind), "_", " ")}
		if e.Value != 0 {
			s.unit = "value"
		}
	}
	parts := []string{fmt.Sprintf("%-22s", s.text)}
	parts = appendField(parts, "rule ", string(e.Rule))
	parts = appendField(parts, "on ", string(e.Backend))
	if e.Attempt != 0 {
		parts = append(parts, fmt.Sprintf("attempt %d", e.Attempt))
	}
	parts = appendField(parts, "", e.Cause)
	if s.unit != "" && e.Value != 0 {
		parts = append(parts, fmt.Sprintf("%d %s", e.Value, s.unit))
	}
	parts = appendField(parts, "account ", string(e.Account))
	parts = appendField(parts, "request ", string(e.Request))
	return strings.TrimRight(parts[0]+" "+strings.Join(parts[1:], ", "), " ")
}

func appendField(parts []string, label, value string) []string {
	if value == "" {
		return parts
	}
	return append(parts, label+value)
}
