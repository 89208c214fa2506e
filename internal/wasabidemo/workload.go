package wasabidemo

import (
	"fmt"
	"strings"
)

const (
	manualBytes  = 12 << 10
	historyBytes = 4 << 10
)

// nestedPrompts are the questions of technicians: a manual, then the history
// of one model, then the question. Prompts of one manual share its text, and
// prompts of one model its history too.
func nestedPrompts() []string {
	questions := []string{"What does fault code E4 mean?", "Why does the seat stop half way?", "Which part do I order?"}
	var prompts []string
	for _, question := range questions {
		for manual := range 2 {
			for model := range 3 {
				prompts = append(prompts, text(fmt.Sprintf("Manual %d", manual+1), manualBytes)+
					text(fmt.Sprintf("Service history of model %d-%d", manual+1, model+1), historyBytes)+question)
			}
		}
	}
	return prompts
}

// text makes up a document of the given length.
func text(title string, size int) string {
	var b strings.Builder
	for line := 1; b.Len() < size; line++ {
		fmt.Fprintf(&b, "%s, section %d: check rail, seat and footrest before the next run.\n", title, line)
	}
	return b.String()[:size]
}
