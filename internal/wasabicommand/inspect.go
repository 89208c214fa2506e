package wasabicommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiclock"
)

func (a *app) accountsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "accounts",
		Short:   "List client accounts and the pools that they may use",
		Example: "  wasabictl accounts --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			body, err := client.Accounts(c.Context())
			if err != nil {
				return err
			}
			return a.show(body, func() error {
				t := newTable("ACCOUNT", "SHARE", "KEYS", "POOLS")
				for _, account := range body.Accounts {
					share := account.Share
					if share == 0 {
						share = 1
					}
					t.add(account.ID, share, account.Keys, joinPools(account.Pools))
				}
				return a.print(t)
			})
		},
	}
}

func (a *app) backendsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "backends",
		Short: "Show the backend servers as one router sees them",
		Long: `Show the backend servers as one router sees them.

TRUST is the router's confidence in its estimate of the server's cache, from 0
to 1. A dash means that the router does not report the value.
INCARNATION changes when an engine is restarted with an empty cache.`,
		Example: "  wasabictl backends\n  wasabictl backends --address 127.0.0.2:9100 --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			body, err := client.Backends(c.Context())
			if err != nil {
				return err
			}
			return a.show(body, func() error {
				t := newTable("BACKEND", "POOL", "ZONE", "STATE", "RUNNING", "WAITING", "LIMIT", "TRUST", "INCARNATION", "WEIGHTS")
				for _, b := range body.Backends {
					t.add(b.Backend, b.Pool, b.Zone, backendState(b), b.Running, b.Waiting,
						valueOrDash("%d", b.Limit, b.Limit > 0), valueOrDash("%.2f", b.Trust, b.Trust > 0), b.Incarnation, b.Weights)
				}
				return a.print(t)
			})
		},
	}
}

// valueOrDash formats a value, or returns a dash if the router did not report
// it. A zero would look like a server that may get no requests, or whose cache
// estimate is worthless.
func valueOrDash(format string, value any, reported bool) string {
	if !reported {
		return "-"
	}
	return fmt.Sprintf(format, value)
}

func backendState(b wasabiridge.BackendStatus) string {
	switch {
	case b.Lost:
		return "lost"
	case b.Leaving:
		return "leaving"
	default:
		return "serving"
	}
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show a router and its membership view",
		Example: "  wasabictl status",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			s, err := client.Status(c.Context())
			if err != nil {
				return err
			}
			return a.show(s, func() error { return a.showInstance(s) })
		},
	}
}

func (a *app) showInstance(s wasabiridge.InstanceStatus) error {
	store := orDash(s.Store)
	if s.Store == wasabiridge.StoreUnreachable {
		store += "; requests are served without it"
	}
	t := newTable("instance", string(s.Instance))
	t.add("zone", strings.TrimSpace(string(s.Zone)+" "+string(s.Region)))
	t.add("configuration", s.Config)
	t.add("running for", age(s.Started, wasabiclock.System().Now()))
	t.add("open requests", s.OpenRequests)
	t.add("leaving", yesNo(s.Leaving))
	t.add("platform's store", store)
	if err := a.print(t); err != nil || len(s.Members) == 0 {
		return err
	}
	fmt.Fprintln(a.Out)
	members := newTable("KNOWN INSTANCE", "ZONE", "STATE", "CONFIGURATION")
	for _, m := range s.Members {
		members.add(m.Instance, orDash(string(m.Zone)), memberState(m), m.Config)
	}
	return a.print(members)
}

func memberState(m wasabiridge.MemberStatus) string {
	switch {
	case m.Suspect:
		return "suspect"
	case m.Leaving:
		return "leaving"
	default:
		return "alive"
	}
}

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Drain one router: it completes its requests and leaves",
		Long: `Drain one router: it completes its requests and leaves.

Give exactly one router with --address. Of several, the first one that responds
would be drained.`,
		Example: "  wasabictl drain --address 127.0.0.2:9100",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(a.flags.Addresses) != 1 {
				return wasabiridge.ErrInvalid.New("give exactly one router with --address, so that no other one is drained by mistake; got %d", len(a.flags.Addresses))
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			if err := client.Drain(c.Context()); err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "%s is leaving.\n", a.flags.Addresses[0])
			return nil
		},
	}
}

func (a *app) metricsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "metrics",
		Short:   "Print the metrics of one router as JSON",
		Example: "  wasabictl metrics",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			data, err := client.Metrics(c.Context())
			if err != nil {
				return err
			}
			var pretty bytes.Buffer
			if err := json.Indent(&pretty, data, "", "  "); err != nil {
				return wasabiridge.ErrInvalid.Wrap(err, "metrics of the router are not valid JSON")
			}
			fmt.Fprintln(a.Out, strings.TrimSpace(pretty.String()))
			return nil
		},
	}
}
