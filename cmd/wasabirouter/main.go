// Command wasabirouter is the router daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// version is set by the linker for releases.
var version = "dev"

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	code := 0
	root := &cobra.Command{
		Use:           "wasabirouter",
		Short:         "Router for language-model traffic",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRunCommand(&code), newCheckCommand(&code))
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return max(code, exitFailed)
	}
	return code
}

// newCheckCommand returns the command that validates a settings file.
func newCheckCommand(code *int) *cobra.Command {
	return settingsCommand("check", "Check a settings file", code, func(wasabisettings.Settings, string) error {
		fmt.Println("The settings are valid.")
		return nil
	})
}

// newRunCommand returns the command that serves callers until the process is drained.
func newRunCommand(code *int) *cobra.Command {
	return settingsCommand("run", "Serve callers", code, serve)
}

// settingsCommand returns a command that loads the settings file and passes it to do. If
// the file cannot be loaded, it sets the exit code to exitSettings.
func settingsCommand(use, short string, code *int, do func(wasabisettings.Settings, string) error) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var s wasabisettings.Settings
			var err error
			if s, err = wasabisettings.Load(file); err != nil {
				*code = exitSettings
				return err
			}
			return do(s, file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file, JSON with comments")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return cmd
}

// serve runs the daemon. The first SIGTERM or SIGINT starts the drain; further ones
// have no effect, so that a supervisor that repeats the signal does not break off
// streams.
func serve(s wasabisettings.Settings, file string) error {
	if target := s.MemoryTarget(); target > 0 {
		debug.SetMemoryLimit(target)
	}
	if s.Hosted != nil {
		return serveHosted(s, file)
	}
	var d *wasabidaemon.Daemon
	var err error
	if d, err = wasabidaemon.New(wasabidaemon.Options{Settings: s, Log: os.Stderr}); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		for range signals {
			_ = d.Drain(context.Background())
		}
	}()
	return d.Run()
}
