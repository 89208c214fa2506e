package wasabicommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclient"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
	"github.com/wasabiridge/wasabiridge/internal/wasabirule"
)

// Limits of the configuration commands.
const (
	defaultWait  = 30 * time.Second
	pollInterval = 250 * time.Millisecond
	// historyDepth is how many versions are searched for an earlier one.
	historyDepth = 1000
)

// baseMarker starts the first line that "config get" prints. "config put" reads
// the version that was edited from this line.
const baseMarker = "// wasabictl: edited from version "

var basePattern = regexp.MustCompile(`^// wasabictl: edited from version ([0-9]+)\s*$`)

func (a *app) configCommand() *cobra.Command {
	return group("config", "Read and replace the configuration",
		a.configCheck(), a.configGet(), a.configPut(), a.configHistory(), a.configStatus())
}

func (a *app) configCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a configuration without sending it",
		Example: "  wasabictl config check config.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			text, _, err := a.readConfig(args[0])
			if err != nil {
				return err
			}
			var cfg wasabiridge.Config
			if cfg, err = wasabirule.Parse(text); err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "%s is valid: %d client accounts, %d pools, %d rules, %d targets.\n",
				args[0], len(cfg.Accounts), len(cfg.Pools), len(cfg.Rules), len(cfg.Targets))
			return nil
		},
	}
}

// readConfig reads a file, or the standard input for "-". If the first line has
// the base version, it removes the line and returns the version, otherwise a
// nil base.
func (a *app) readConfig(path string) (text []byte, base *wasabiridge.ConfigVersion, err error) {
	if path == "-" {
		text, err = io.ReadAll(a.In)
	} else {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, nil, wasabiridge.ErrInvalid.Wrap(err, "read configuration")
	}
	first, rest, _ := strings.Cut(string(text), "\n")
	match := basePattern.FindStringSubmatch(first)
	if match == nil {
		return text, nil, nil
	}
	number, err := strconv.ParseUint(match[1], 10, 64)
	if err != nil {
		return nil, nil, wasabiridge.ErrInvalid.Wrap(err, "configuration: line 1")
	}
	version := wasabiridge.ConfigVersion(number)
	return []byte(rest), &version, nil
}

func (a *app) configGet() *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Print the configuration in force, for editing",
		Example: "  wasabictl config get > config.json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			document, err := client.Config(c.Context())
			if err != nil {
				return err
			}
			return a.show(document, func() error {
				fmt.Fprintf(a.Out, "%s%d\n%s", baseMarker, document.Version, document.Text)
				if !strings.HasSuffix(document.Text, "\n") {
					fmt.Fprintln(a.Out)
				}
				return nil
			})
		},
	}
}

func (a *app) configPut() *cobra.Command {
	var (
		base    int64
		wait    bool
		maxWait time.Duration
	)
	c := &cobra.Command{
		Use:   "put FILE",
		Short: "Replace the configuration",
		Long: `Replace the configuration by a file, which is checked completely first.

The version that was edited must still be the newest one. It is in the first
line of the output of "config get"; otherwise give it with --base (0 for the
very first configuration). When another operator was faster, nothing changes,
the change of the other operator is shown, and the exit code is 5.`,
		Example: `  wasabictl config get > config.json
  wasabictl config put config.json --wait`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, edited, err := a.readConfig(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("base") {
				version := wasabiridge.ConfigVersion(base)
				edited = &version
			}
			if edited == nil || base < 0 {
				return wasabiridge.ErrInvalid.New("the version that was edited is unknown: start from \"wasabictl config get\" or give the version with --base")
			}
			if _, err = wasabirule.Parse(text); err != nil {
				return err
			}
			return a.put(c.Context(), *edited, text, wait, maxWait)
		},
	}
	c.Flags().Int64Var(&base, "base", 0, "version that was edited")
	c.Flags().BoolVar(&wait, "wait", false, "wait until the configuration is in force everywhere")
	c.Flags().DurationVar(&maxWait, "wait-for", defaultWait, "how long to wait")
	return c
}

func (a *app) put(ctx context.Context, base wasabiridge.ConfigVersion, text []byte, wait bool, maxWait time.Duration) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	version, err := client.PutConfig(ctx, base, text)
	if errorx.IsOfType(err, wasabiridge.ErrConflict) {
		a.showConflict(ctx, client, base, err)
	}
	if err != nil {
		return err
	}
	if err := a.show(wasabioperator.VersionBody{Version: version}, func() error {
		fmt.Fprintf(a.Out, "Version %d is accepted.\n", version)
		return nil
	}); err != nil || !wait {
		return err
	}
	return a.waitFor(ctx, client, version, maxWait)
}

// showConflict prints the version that another operator has put since the base
// version, and the differences to the base.
func (a *app) showConflict(ctx context.Context, client *wasabiclient.Client, base wasabiridge.ConfigVersion, conflict error) {
	document, known := wasabiclient.ConflictingConfig(conflict)
	if !known {
		return
	}
	a.warn("you edited version %d, but version %d by %s of %s is the newest now.", base, document.Version, document.Author, formatTime(document.At))
	history, err := client.History(ctx, historyDepth)
	if err != nil {
		a.warn("the history cannot be read: %s", messageOf(err))
		return
	}
	for _, d := range history.Documents {
		if d.Version == base {
			fmt.Fprint(a.Err, difference(d, document))
			a.warn("merge your edit with this change: \"wasabictl config get\" prints the newest version.")
			return
		}
	}
}

// difference returns a unified diff of two versions.
func difference(from, to wasabioperator.DocumentBody) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from.Text), FromFile: fmt.Sprintf("version %d", from.Version),
		B: difflib.SplitLines(to.Text), ToFile: fmt.Sprintf("version %d by %s", to.Version, to.Author),
		Context: 2,
	})
	if err != nil {
		return ""
	}
	return text
}

func (a *app) configHistory() *cobra.Command {
	var limit, show int
	c := &cobra.Command{
		Use:   "history",
		Short: "List accepted configurations, newest first",
		Example: `  wasabictl config history
  wasabictl config history --show 7 > old.json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			if show > 0 {
				limit = historyDepth
			}
			history, err := client.History(c.Context(), limit)
			if err != nil {
				return err
			}
			if show > 0 {
				return a.showVersion(history, wasabiridge.ConfigVersion(show))
			}
			return a.show(history, func() error {
				t := newTable("VERSION", "ACCEPTED", "BYTES", "AUTHOR")
				for _, d := range history.Documents {
					t.add(d.Version, formatTime(d.At), len(d.Text), d.Author)
				}
				return a.print(t)
			})
		},
	}
	c.Flags().IntVar(&limit, "limit", 20, "number of versions to list")
	c.Flags().IntVar(&show, "show", 0, "print the text of this version")
	return c
}

func (a *app) showVersion(history wasabioperator.HistoryBody, version wasabiridge.ConfigVersion) error {
	for _, d := range history.Documents {
		if d.Version == version {
			return a.show(d, func() error {
				fmt.Fprint(a.Out, d.Text)
				return nil
			})
		}
	}
	return wasabiridge.ErrNotFound.New("version %d is not among the last %d", version, historyDepth)
}

func (a *app) configStatus() *cobra.Command {
	var (
		wait    bool
		maxWait time.Duration
		version uint64
	)
	c := &cobra.Command{
		Use:   "status",
		Short: "Show which configuration is in force at each instance",
		Example: `  wasabictl config status
  wasabictl config status --wait --version 8`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			if wait {
				return a.waitFor(c.Context(), client, wasabiridge.ConfigVersion(version), maxWait)
			}
			status, err := client.ConfigStatus(c.Context())
			if err != nil {
				return err
			}
			return a.showStatus(status)
		},
	}
	c.Flags().BoolVar(&wait, "wait", false, "wait until a version is in force everywhere")
	c.Flags().Uint64Var(&version, "version", 0, "version to wait for (default: the version of the router)")
	c.Flags().DurationVar(&maxWait, "wait-for", defaultWait, "how long to wait")
	return c
}

func (a *app) showStatus(status wasabioperator.ConfigStatusBody) error {
	return a.show(status, func() error {
		t := newTable("INSTANCE", "VERSION", "REACHED")
		for _, i := range status.Instances {
			t.add(i.Instance, versionText(i), yesNo(i.Reached))
		}
		return a.print(t)
	})
}

func versionText(i wasabiridge.InstanceConfig) string {
	if i.Version == 0 {
		return "-"
	}
	return strconv.FormatUint(uint64(i.Version), 10)
}

// waitFor polls until the version or a later one is in force at all instances,
// and reports ErrNotReached after maxWait. An instance that cannot be reached
// counts as not having the version. The wait ends between polls only: if the end
// of a short wait aborted a poll, the table of instances would be empty.
func (a *app) waitFor(ctx context.Context, client *wasabiclient.Client, version wasabiridge.ConfigVersion, maxWait time.Duration) error {
	deadline := time.NewTimer(maxWait)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last wasabioperator.ConfigStatusBody
	for {
		status, err := client.ConfigStatus(ctx)
		if err == nil {
			last = status
			version = versionToAwait(version, status.Version)
			if inForce(status, version) {
				return a.showStatus(status)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline.C:
			if err := a.showStatus(last); err != nil {
				return err
			}
			return ErrNotReached.New("version %d is not in force everywhere after %s", version, maxWait)
		case <-ticker.C:
		}
	}
}

// versionToAwait returns the wanted version, or the current one if none is wanted.
func versionToAwait(wanted, current wasabiridge.ConfigVersion) wasabiridge.ConfigVersion {
	if wanted == 0 {
		return current
	}
	return wanted
}

// inForce reports whether all instances were reached and have the version or a
// later one.
func inForce(status wasabioperator.ConfigStatusBody, version wasabiridge.ConfigVersion) bool {
	for _, i := range status.Instances {
		if !i.Reached || i.Version < version {
			return false
		}
	}
	return version > 0 && len(status.Instances) > 0
}
