package main

import (
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabiservice"
)

// backend is a simulated backend server.
type backend interface {
	Start(address string) error
	URL() string
	Close()
}

// newEngineCommand returns the command that simulates a model engine.
func newEngineCommand() *cobra.Command {
	o := wasabiengine.Options{Clock: wasabiclock.System()}
	var listen string
	c := &cobra.Command{
		Use: "engine", Short: "Simulate a model engine", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveBackend(c, wasabiengine.New(o), listen)
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar((*string)(&o.Spec.ID), "id", "engine-1", "name of the backend server")
	f.StringVar((*string)(&o.Model), "model", "stand-in", "name of the model")
	f.IntVar(&o.Spec.BlockTokens, "block-tokens", 2048, "tokens per cache block")
	f.IntVar(&o.Spec.CacheBlocks, "cache-blocks", 256, "capacity of the prefix cache in blocks")
	f.IntVar(&o.Spec.Slots, "slots", 256, "concurrent requests")
	f.IntVar(&o.Spec.QueueLimit, "queue", 1024, "requests in the queue of the engine")
	f.Int64Var((*int64)(&o.Spec.Prefill), "prefill-ms", 0, "time to compute one block of a prompt, in ms")
	f.Int64Var((*int64)(&o.Spec.Decode), "decode-ms", 0, "time between two tokens of an idle engine, in ms")
	f.Int64Var((*int64)(&o.MaxLoadAge), "load-lag-ms", 0, "delay of load reports, in ms")
	f.Int64Var((*int64)(&o.EventDelay), "event-delay-ms", 0, "delay of cache events, in ms")
	f.Int64Var((*int64)(&o.LoadTime), "load-time-ms", int64(wasabiridge.Second), "time to load weights, in ms")
	f.BoolVar(&o.IgnoresFencing, "ignores-fencing", false, "accept orders with any fencing number")
	return c
}

// newServiceCommand returns the command that simulates a plain service.
func newServiceCommand() *cobra.Command {
	var listen, id string
	c := &cobra.Command{
		Use: "service", Short: "Simulate a plain service that takes bookings", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveBackend(c, wasabiservice.New(wasabiridge.BackendServerID(id)), listen)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&id, "id", "bookings-1", "name of the backend server")
	return c
}

// serveBackend starts a backend server, prints its URL, and serves until SIGINT or
// SIGTERM.
func serveBackend(c *cobra.Command, b backend, listen string) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer b.Close()
	if err := b.Start(listen); err != nil {
		return err
	}
	fmt.Fprintln(c.OutOrStdout(), b.URL())
	<-ctx.Done()
	return nil
}
