// Package wasabicommand is the operators' command line.
//
// Every command prints a table for people, or JSON for programs with --json.
// Answers go to the standard output and everything else to the standard error,
// so that output can be piped. The exit code tells what happened; see Exit.
//
// # Usage
//
//	code := wasabicommand.Run(ctx, os.Args[1:], wasabicommand.Streams{
//		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Env: os.Getenv,
//	})
//	os.Exit(int(code))
package wasabicommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclient"
)

// Exit is the exit code of the program.
type Exit int

// Exit codes.
const (
	ExitOK Exit = 0
	// ExitFailed is any failure without a code of its own.
	ExitFailed Exit = 1
	// ExitInvalid means that the command line, a file or a configuration is
	// wrong. Nothing changed.
	ExitInvalid Exit = 2
	// ExitNoRouter means that no router answers. Nothing changed.
	ExitNoRouter Exit = 3
	// ExitUnauthorized means that the key is missing or not known.
	ExitUnauthorized Exit = 4
	// ExitConflict means that another operator was faster. Nothing changed.
	ExitConflict Exit = 5
	// ExitUnknown means that a change was sent and its answer is lost. Look
	// before sending it again.
	ExitUnknown Exit = 6
	// ExitNotFound means that the thing named does not exist.
	ExitNotFound Exit = 7
	// ExitUnavailable means that the router cannot reach what it needs, such
	// as the platform's store. Nothing changed.
	ExitUnavailable Exit = 8
	// ExitNotReached means that what was waited or checked for is not so: a
	// configuration is not in force everywhere, or a target is not met.
	ExitNotReached Exit = 9
)

// ErrNotReached says that what was waited or checked for is not so.
var ErrNotReached = wasabiridge.Errors.NewType("not_reached")

// exits ties error types to exit codes.
var exits = []struct {
	is   *errorx.Type
	code Exit
}{
	{wasabiridge.ErrInvalid, ExitInvalid},
	{wasabiclient.ErrNoRouter, ExitNoRouter},
	{wasabiclient.ErrUnauthorized, ExitUnauthorized},
	{wasabiridge.ErrConflict, ExitConflict},
	{wasabiridge.ErrOutcomeUnknown, ExitUnknown},
	{wasabiridge.ErrNotFound, ExitNotFound},
	{wasabiridge.ErrUnavailable, ExitUnavailable},
	{ErrNotReached, ExitNotReached},
}

// Streams connect a command to its surroundings.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Env reads a variable of the environment.
	Env func(name string) string
}

// app is what all commands share.
type app struct {
	Streams
	flags settings
	json  bool
	wait  time.Duration
}

// Run carries out a command line and returns the exit code.
func Run(ctx context.Context, args []string, s Streams) Exit {
	root := New(s)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(s.Err, "wasabictl:", messageOf(err))
	return exitOf(err)
}

func exitOf(err error) Exit {
	for _, e := range exits {
		if errorx.IsOfType(err, e.is) {
			return e.code
		}
	}
	if errorx.Cast(err) == nil {
		// The command line library reports wrong arguments as plain errors.
		return ExitInvalid
	}
	return ExitFailed
}

func messageOf(err error) string {
	typed := errorx.Cast(err)
	if typed == nil || typed.Message() == "" {
		return err.Error()
	}
	if cause := typed.Cause(); cause != nil {
		return typed.Message() + ": " + messageOf(cause)
	}
	return typed.Message()
}

const rootHelp = `wasabictl drives the routers of wasabiridge.

Where the routers are and which key to use comes from flags, then from the
environment (WASABICTL_ADDRESS, WASABICTL_KEY, WASABICTL_OPERATOR,
WASABICTL_CA_FILE), then from a settings file (WASABICTL_SETTINGS, or
wasabictl.json in the user's directory for settings):

  {
    // Any router will do; the first that answers is used.
    "addresses": ["127.0.0.1:9100", "127.0.0.2:9100"],
    "key_file": "/home/ann/.wasabi-key",
    "operator": "ann"
  }

Exit codes: 0 done, 1 failed, 2 wrong input, 3 no router answers, 4 key not
known, 5 another operator was faster, 6 sent but the answer is lost, 7 not
found, 8 the router cannot reach its platform, 9 waited or checked in vain.`

// New returns the root command.
func New(s Streams) *cobra.Command {
	a := &app{Streams: s}
	root := &cobra.Command{
		Use:   "wasabictl",
		Short: "Drive the routers of wasabiridge",
		Long:  rootHelp,
		Example: `  wasabictl status
  wasabictl config get > config.json
  wasabictl config put config.json --wait
  wasabictl timeline --request 01JDXK4T7Q2M
  wasabictl outcomes --quarter 2026Q4 --html report.html`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetIn(s.In)
	root.SetOut(s.Out)
	root.SetErr(s.Err)
	flags := root.PersistentFlags()
	flags.StringSliceVar(&a.flags.Addresses, "address", nil, "operators' address of a router; may be given more than once")
	flags.StringVar(&a.flags.Key, "key", "", "operator's key (others on this machine may see it; prefer --key-file)")
	flags.StringVar(&a.flags.KeyFile, "key-file", "", "file that holds the operator's key")
	flags.StringVar(&a.flags.Operator, "operator", "", "your name, for the history of configurations")
	flags.StringVar(&a.flags.CAFile, "ca-file", "", "certificates to trust for https addresses")
	flags.StringVar(&a.flags.path, "settings", "", "settings file")
	flags.DurationVar(&a.wait, "timeout", 0, "give up after this time (default 2m)")
	flags.BoolVar(&a.json, "json", false, "print JSON")
	root.AddCommand(
		a.configCommand(), a.rulesCommand(), a.accountsCommand(), a.quotasCommand(), a.backendsCommand(), a.statusCommand(),
		a.timelineCommand(), a.outcomesCommand(), a.rolloutCommand(), a.drainCommand(), a.metricsCommand(),
		a.keyCommand(), a.capacityCommand(),
	)
	return root
}

// group returns a command that only holds others.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return c.Help()
	}}
	c.AddCommand(commands...)
	return c
}
