// Command demo runs two routers, engines, a plain service and a platform in one
// process, sends prompts that share long prefixes and a booking, and prints
// the results.
//
//	go run ./examples/demo
package main

import (
	"context"
	"log"
	"os"

	"github.com/wasabiridge/wasabiridge/internal/wasabidemo"
)

func main() {
	if err := wasabidemo.Run(context.Background(), wasabidemo.Options{Out: os.Stdout}); err != nil {
		log.Fatal(err)
	}
}
