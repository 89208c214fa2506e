// Command config shows a conflict between two operators who edit the same version of
// the configuration: the second put is rejected and reports the changes of the first.
//
//	go run ./examples/config
package main

import (
	"context"
	"fmt"
	"log"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiconfig"
	"github.com/wasabiridge/wasabiridge/internal/wasabitable"
)

const text = `{
  "accounts": [{"id": "liftwell", "key_hashes": [], "pools": ["answers"]}],
  "pools": [{"id": "answers", "backends": [{"id": "answer-1", "kind": "engine", "zone": "pos", "url": "http://127.0.0.1:9001"}]}],
  "rules": [{"id": "manuals", "when": {"min_prompt_tokens": 1000}, "then": {"pool": "answers"}}],
}`

// noPeers is the membership of an instance without peers.
type noPeers struct{}

func (noPeers) Members() []wasabiridge.Member { return nil }
func (noPeers) Announce(int)                  {}

func main() {
	clock := wasabiclock.System()
	controller := wasabiconfig.NewController(wasabiconfig.Options{
		Self: "pos-1", Incarnation: 1, Clock: clock, Membership: noPeers{},
		Table:   wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock}),
		Adopted: func(cfg wasabiridge.Config) { fmt.Printf("in force: version %d\n", cfg.Version) },
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go controller.Run(ctx)
	put(ctx, controller, 0, "ann", text)
	put(ctx, controller, 1, "bob", strings.Replace(text, "1000", "2000", 1))
	put(ctx, controller, 1, "ann", strings.Replace(text, "manuals", "long", 1))
}

// put sends an edit of version base and prints the outcome.
func put(ctx context.Context, controller *wasabiconfig.Controller, base wasabiridge.ConfigVersion, author, text string) {
	version, err := controller.Put(ctx, base, []byte(text), author)
	switch {
	case errorx.IsOfType(err, wasabiridge.ErrConflict):
		fmt.Printf("%s edited version %d and got a conflict: %s\n", author, base, errorx.Cast(err).Message())
	case err != nil:
		log.Fatal(err)
	default:
		fmt.Printf("%s edited version %d: accepted as version %d\n", author, base, version)
	}
}
