package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabilog"
	"github.com/wasabiridge/wasabiridge/internal/wasabinode"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
	"github.com/wasabiridge/wasabiridge/platform"
)

// serveHosted serves on the users' platform. The first SIGTERM or SIGINT starts the
// drain; further ones have no effect. SIGHUP reloads the settings.
func serveHosted(s wasabisettings.Settings, file string) error {
	clock := wasabiclock.Boot()
	log := wasabilog.NewRing(os.Stdout)
	defer func() { _ = log.Close() }()
	parts := platform.Connect(platform.Options{Store: s.Hosted.Store, Clock: clock, Instance: s.Instance, Dial: dialReplicas})
	var node *wasabinode.Node
	var err error
	parts.ObserveWith(func(e wasabiridge.Event) { node.Observe(e) })
	node, err = wasabinode.New(wasabinode.Options{Settings: s, Clock: clock, Log: log, DroppedLogLines: log.Dropped, Platform: wasabinode.Platform{
		Protocol: parts.Callers, Runner: parts.Replicas, Source: parts.Store, Table: parts.Store, Engines: parts.Orders, Caches: parts.Caches, Migrator: parts.Moves, Numberings: parts.Replicas,
		Directory: platform.Directory, Ready: platform.Ready, Features: platform.FeaturesOf(s.Hosted.Rules),
	}})
	if err != nil {
		return err
	}
	parts.Replicas.Limit, parts.Replicas.Servers = node.ConnectionLimit, node.SoftwareServers
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	go watch(node, file, signals)
	return node.Run()
}

// fileInterval is the interval at which the settings file is polled, as it may change
// without a signal.
const fileInterval = 2 * time.Second

// watch drains the node at the first SIGTERM or SIGINT, and reloads the settings at
// SIGHUP or when the modification time of the file changes. Settings that cannot be
// loaded are reported on standard error, and those in force stay.
func watch(node *wasabinode.Node, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(fileInterval)
	defer ticker.Stop()
	seen := modified(file)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				node.Drain()
				continue
			}
		case <-ticker.C:
			if modified(file).Equal(seen) {
				continue
			}
		}
		seen = modified(file)
		s, err := wasabisettings.Load(file)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		node.Reload(s)
	}
}

// modified returns the modification time of a file, or the zero time if it cannot be
// read.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
