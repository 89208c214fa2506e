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

// backend is a stand-in of a backend server.
type backend interface {
	Start(address string) error
	URL() string
	Close()
}

// newEngineCommand returns the command that stands in for one model engine.
func newEngineCommand() *cobra.Command {
	o := wasabiengine.Options{Clock: wasabiclock.System()}
	var listen string
	c := &cobra.Command{
		Use: "engine", Short: "Stand in for a model engine", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveBackend(c, wasabiengine.New(o), listen)
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar((*string)(&o.Spec.ID), "id", "engine-1", "name of the backend server")
	f.StringVar((*string)(&o.Model), "model", "stand-in", "name of the model")
	f.IntVar(&o.Spec.BlockTokens, "block-tokens", 2048, "tokens of one cache block")
	f.IntVar(&o.Spec.CacheBlocks, "cache-blocks", 256, "blocks that the prefix cache holds")
	f.IntVar(&o.Spec.Slots, "slots", 256, "requests that run at once")
	f.IntVar(&o.Spec.QueueLimit, "queue", 1024, "requests that wait inside the engine")
	f.Int64Var((*int64)(&o.Spec.Prefill), "prefill-ms", 0, "time to compute one block of a prompt")
	f.Int64Var((*int64)(&o.Spec.Decode), "decode-ms", 0, "time between two tokens of an idle engine")
	f.Int64Var((*int64)(&o.LoadLag), "load-lag-ms", 0, "how old load reports may be")
	f.Int64Var((*int64)(&o.EventDelay), "event-delay-ms", 0, "how late cache events are sent")
	f.Int64Var((*int64)(&o.LoadTime), "load-time-ms", int64(wasabiridge.Second), "time to load weights")
	f.BoolVar(&o.IgnoresFencing, "ignores-fencing", false, "carry out orders of any fencing number")
	return c
}

// newServiceCommand returns the command that stands in for a plain service.
func newServiceCommand() *cobra.Command {
	var listen, id string
	c := &cobra.Command{
		Use: "service", Short: "Stand in for a plain service that takes bookings", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return serveBackend(c, wasabiservice.New(wasabiridge.BackendServerID(id)), listen)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&id, "id", "bookings-1", "name of the backend server")
	return c
}

// serveBackend serves until the process is asked to end.
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
