package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabinode"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/platform"
)

// serveHosted serves on the users' platform. The first SIGTERM or SIGINT makes
// the node leave; further ones change nothing.
func serveHosted(s wasabisettings.Settings) error {
	clock := wasabiclock.Boot()
	parts := platform.Connect(platform.Options{Store: s.Hosted.Store, Clock: clock, Instance: s.Instance})
	var node *wasabinode.Node
	var err error
	node, err = wasabinode.New(wasabinode.Options{Settings: s, Clock: clock, Log: os.Stdout, Platform: wasabinode.Platform{
		Protocol: parts.Callers, Runner: parts.Replicas, Source: parts.Store, Table: parts.Store, Engines: parts.Orders,
		Directory: platform.Directory, Ready: platform.Ready,
	}})
	if err != nil {
		return err
	}
	parts.Replicas.Limit = node.ConnectionLimit
	parts.Replicas.Observe = func(e wasabiridge.Event) { node.Observe(e) }
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				node.Drain()
			}
		}
	}()
	return node.Run()
}
