// Command rules validates a configuration, explains which rule a request matches and why
// earlier rules do not match, and shows the error for an invalid configuration.
//
//	go run ./examples/rules
package main

import (
	"fmt"
	"log"

	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

const text = `{
  "accounts": [
    {"id": "liftwell", "key_hashes": [], "pools": ["answers", "dispatch"]},
  ],
  "pools": [
    {"id": "answers", "backends": [{"id": "answer-1", "kind": "engine", "zone": "pos", "url": "http://127.0.0.1:9001"}]},
    {"id": "dispatch", "backends": [{"id": "dispatch-1", "kind": "engine", "zone": "pos", "url": "http://127.0.0.1:9002"}]},
  ],
  "rules": [
    // Prompts with complete manuals go to the large replicas.
    {"id": "manuals", "when": {"min_prompt_tokens": 10000}, "then": {"pool": "answers", "retry": true}},
    {"id": "calls", "when": {"path": "/v1/*"}, "then": {"pool": "dispatch", "priority": 1}},
  ],
}`

func main() {
	cfg, err := wasabirule.Parse([]byte(text))
	if err != nil {
		log.Fatal(err)
	}
	for _, tokens := range []int{31_000, 200} {
		e := wasabioperator.Explain(cfg, wasabioperator.ExplainRequest{
			Account: "liftwell", Method: "POST", Path: "/v1/chat/completions", PromptTokens: tokens,
		})
		fmt.Printf("A prompt of %d tokens matches rule %q.\n", tokens, e.Rule)
		for _, line := range e.Lines {
			fmt.Printf("  %s: %t %s\n", line.Rule, line.Matches, line.Why)
		}
	}
	_, err = wasabirule.Parse([]byte(`{"rules": [{"id": "a", "then": {"pol": "answers"}}]}`))
	fmt.Printf("\nThe error for an unknown field gives its position:\n%v\n", err)
}
