// Package wasabicommand implements wasabictl, the command line of operators.
//
// Every command prints text, or JSON with --json. Results go to the standard
// output and everything else, such as warnings and errors, to the standard
// error, so that the output can be piped. The exit code is one of the values of
// Exit.
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
	// ExitFailed means any failure without a specific exit code.
	ExitFailed Exit = 1
	// ExitInvalid means that the command line, a file or a configuration is
	// invalid. Nothing was changed.
	ExitInvalid Exit = 2
	// ExitNoRouter means that no router responds. Nothing was changed.
	ExitNoRouter Exit = 3
	// ExitUnauthorized means that the key is missing or unknown.
	ExitUnauthorized Exit = 4
	// ExitConflict means that another operator has changed the configuration
	// since the version that was edited. Nothing was changed.
	ExitConflict Exit = 5
	// ExitUnknown means that a change was sent and its response was lost. Check
	// the current state before sending the change again.
	ExitUnknown Exit = 6
	// ExitNotFound means that a named object, such as a version or a rollout,
	// does not exist.
	ExitNotFound Exit = 7
	// ExitUnavailable means that the router cannot reach what it needs, such
	// as the platform's store. Nothing was changed.
	ExitUnavailable Exit = 8
	// ExitNotReached means that a wait or check did not succeed: a configuration
	// is not in force everywhere in time, or a target is not met.
	ExitNotReached Exit = 9
)

// ErrNotReached is the error of a wait or check that did not succeed.
var ErrNotReached = wasabiridge.Errors.NewType("not_reached")

// exitCodes maps error types to exit codes. The first match applies.
var exitCodes = []struct {
	errorType *errorx.Type
	code      Exit
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

// Streams are the standard streams and the environment of a command. All fields
// must be set.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Env returns the value of an environment variable, empty if it is not set.
	Env func(name string) string
}

// app holds the streams and the global flags that all commands share.
type app struct {
	Streams
	flags settings
	json  bool
	// timeout bounds one call to a router. Zero means the default of
	// wasabiclient.
	timeout time.Duration
}

// Run executes a command line, without the name of the program, and returns the
// exit code. It prints an error to s.Err.
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

// exitOf returns the exit code for an error.
func exitOf(err error) Exit {
	for _, e := range exitCodes {
		if errorx.IsOfType(err, e.errorType) {
			return e.code
		}
	}
	if errorx.Cast(err) == nil {
		// cobra reports invalid arguments as plain errors.
		return ExitInvalid
	}
	return ExitFailed
}

// messageOf returns the messages of an error and its causes, without the names
// of their errorx types.
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

The addresses of the routers and the key are taken from flags, then from the
environment (WASABICTL_ADDRESS, WASABICTL_KEY, WASABICTL_OPERATOR,
WASABICTL_CA_FILE), then from a settings file (WASABICTL_SETTINGS, or
wasabictl.json in the user's configuration directory):

  {
    // Any routers; the first one that responds is used.
    "addresses": ["127.0.0.1:9100", "127.0.0.2:9100"],
    "key_file": "/home/ann/.wasabi-key",
    "operator": "ann"
  }

Exit codes: 0 done, 1 failed, 2 wrong input, 3 no router answers, 4 key not
known, 5 another operator was faster, 6 sent but the answer is lost, 7 not
found, 8 the router cannot reach its platform, 9 a wait or check did not
succeed.`

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
	flags.StringSliceVar(&a.flags.Addresses, "address", nil, "operators' address of a router; can be repeated")
	flags.StringVar(&a.flags.Key, "key", "", "operator's key (other users of this machine can see it; prefer --key-file)")
	flags.StringVar(&a.flags.KeyFile, "key-file", "", "file with the operator's key")
	flags.StringVar(&a.flags.Operator, "operator", "", "your name, recorded in the configuration history")
	flags.StringVar(&a.flags.CAFile, "ca-file", "", "certificates to trust for https addresses")
	flags.StringVar(&a.flags.path, "settings", "", "settings file")
	flags.DurationVar(&a.timeout, "timeout", 0, "give up after this time (default 2m)")
	flags.BoolVar(&a.json, "json", false, "print JSON")
	root.AddCommand(
		a.configCommand(), a.rulesCommand(), a.accountsCommand(), a.quotasCommand(), a.sharesCommand(), a.backendsCommand(), a.statusCommand(),
		a.timelineCommand(), a.outcomesCommand(), a.rolloutCommand(), a.drainCommand(), a.metricsCommand(),
		a.keyCommand(), a.capacityCommand(),
	)
	return root
}

// group returns a command that only contains other commands. Run without one of
// them, it prints its help.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return c.Help()
	}}
	c.AddCommand(commands...)
	return c
}
