package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
	"github.com/wasabiridge/wasabiridge/internal/wasabiplatform"
)

// shutdownTime is the time-out for calls in flight when the command ends.
const shutdownTime = 2 * time.Second

// newPlatformCommand returns the command that simulates the platform: table, objects,
// weights and the list of instances at one address.
func newPlatformCommand() *cobra.Command {
	var (
		listen string
		lag    int64
	)
	c := &cobra.Command{
		Use:   "platform",
		Short: "Simulate the platform's table, objects, weights and instance list",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return servePlatform(c, listen, wasabiridge.Millis(lag))
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().Int64Var(&lag, "lag-ms", 0, "delay of changes in the instance list, in ms")
	return c
}

func servePlatform(c *cobra.Command, address string, lag wasabiridge.Millis) error {
	var (
		listener net.Listener
		err      error
	)
	if listener, err = net.Listen("tcp", address); err != nil {
		return wasabiridge.ErrUnavailable.Wrap(err, "listen on %s", address)
	}
	standIn := wasabiplatform.NewStandIn(wasabiplatform.StandInOptions{Clock: wasabiclock.System(), Lag: lag})
	server := &http.Server{Handler: standIn.Handler(), ReadHeaderTimeout: shutdownTime}
	fmt.Fprintf(c.OutOrStdout(), "http://%s\n", listener.Addr())
	stop := context.AfterFunc(c.Context(), func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
		defer cancel()
		// Calls that take longer are aborted, which is acceptable for a simulation.
		_ = server.Shutdown(ctx)
	})
	defer stop()
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return wasabiridge.ErrUnavailable.Wrap(err, "serve the simulated platform")
	}
	return nil
}
