package main

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge/internal/wasabidemo"
)

// newDemoCommand returns the command that runs routers, backend servers and the platform
// in one process, and sends requests through them.
func newDemoCommand() *cobra.Command {
	var stay bool
	c := &cobra.Command{
		Use:          "demo",
		Short:        "Run two routers, engines, a service and a platform in one process",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return wasabidemo.Run(ctx, wasabidemo.Options{Out: c.OutOrStdout(), Stay: stay})
		},
	}
	c.Flags().BoolVar(&stay, "stay", false, "keep everything running and print addresses, keys and curl lines")
	return c
}
