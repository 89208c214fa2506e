package wasabidemo

import (
	"fmt"
	"strings"
)

const (
	manualBytes  = 12 << 10
	historyBytes = 4 << 10
)

// nestedPrompts returns prompts that share nested prefixes: the text of a manual,
// then the service history of one model, then a question. Prompts with the same
// manual share its text, and those with the same model its history as well.
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

// text generates a document of the given size in bytes.
func text(title string, size int) string {
	var b strings.Builder
	for line := 1; b.Len() < size; line++ {
		fmt.Fprintf(&b, "%s, section %d: check rail, seat and footrest before the next run.\n", title, line)
	}
	return b.String()[:size]
}
