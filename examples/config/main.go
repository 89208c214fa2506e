// Command config shows two operators who edit the same version of the
// configuration: the second one is told what the first one changed.
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

// alone is the membership of an instance without peers.
type alone struct{}

func (alone) Members() []wasabiridge.Member { return nil }
func (alone) Announce(int)                  {}

func main() {
	clock := wasabiclock.System()
	keeper := wasabiconfig.NewKeeper(wasabiconfig.Options{
		Self: "pos-1", Incarnation: 1, Clock: clock, Membership: alone{},
		Table:   wasabitable.NewMemory(wasabitable.MemoryOptions{Clock: clock}),
		Adopted: func(cfg wasabiridge.Config) { fmt.Printf("in force: version %d\n", cfg.Version) },
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go keeper.Run(ctx)
	put(ctx, keeper, 0, "ann", text)
	put(ctx, keeper, 1, "bob", strings.Replace(text, "1000", "2000", 1))
	put(ctx, keeper, 1, "ann", strings.Replace(text, "manuals", "long", 1))
}

func put(ctx context.Context, keeper *wasabiconfig.Keeper, base wasabiridge.ConfigVersion, author, text string) {
	version, err := keeper.Put(ctx, base, []byte(text), author)
	switch {
	case errorx.IsOfType(err, wasabiridge.ErrConflict):
		fmt.Printf("%s edited version %d and lost the race: %s\n", author, base, errorx.Cast(err).Message())
	case err != nil:
		log.Fatal(err)
	default:
		fmt.Printf("%s edited version %d: version %d is accepted\n", author, base, version)
	}
}
