//go:build soak

package main

import (
	"os"
	"time"

	"github.com/wasabiridge/wasabiridge/platform/soak"
	"github.com/wasabiridge/wasabiridge/platform/standin"
)

// linksInterval is how often the file with the state of the links is read.
const linksInterval = 20 * time.Millisecond

// init lets the file that the environment names set the state of the links to replicas.
func init() {
	file := os.Getenv(soak.LinksVariable)
	if file == "" {
		return
	}
	var links standin.Links
	dialReplicas = links.Dial
	go func() {
		before := standin.LinksWork
		for {
			if text, err := os.ReadFile(file); err == nil && len(text) > 0 && standin.LinkState(text) != before {
				before = standin.LinkState(text)
				links.Set(before)
			}
			time.Sleep(linksInterval)
		}
	}()
}
