package wasabicommand

import (
	"fmt"
	"math"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
)

func (a *app) sharesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "shares",
		Short: "Show how pools that are short of capacity are shared",
		Long: `Show how pools that are short of capacity are shared among client accounts, as
one router sees them.

All figures of work are milliseconds of computing in a second. PRESSURE is what
is offered as a part of CAPACITY. LEVEL is what one account of the rank gets at
most. WAITING requests wait here for a server with capacity. REFUSED counts the
requests that this router refused since its start. The second table lists the
accounts that ask for more than their share.

On a platform where operators have no listener of their own, use the address of
the metrics, which accepts any key.`,
		Example: "  wasabictl shares\n  wasabictl shares --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			report, err := client.Shares(c.Context())
			if err != nil {
				return err
			}
			return a.show(report, func() error { return a.showShares(report) })
		},
	}
}

func (a *app) showShares(r wasabiridge.ShareReport) error {
	if !r.Enabled {
		fmt.Fprintln(a.Err, "The settings of", r.Instance, "do not ask for sharing.")
	}
	pools := newTable("POOL", "SHARED", "PRESSURE", "CAPACITY", "RANK", "OFFERED", "SERVED", "LEVEL", "WAITING", "REFUSED")
	accounts := newTable("POOL", "RANK", "ACCOUNT", "OFFERED", "SHARE", "REFUSED")
	for _, p := range r.Pools {
		shared := "no"
		if p.Shared {
			shared = "yes"
		}
		if len(p.Ranks) == 0 {
			pools.add(p.Pool, shared, "-", int64(p.Capacity), "-", "-", "-", "-", "-", "-")
		}
		for _, k := range p.Ranks {
			pools.add(p.Pool, shared, fmt.Sprintf("%.0f%%", math.Round(100*p.Pressure)), int64(p.Capacity), int(k.Priority), int64(k.Offered), int64(k.Admitted), int64(k.Level), k.Waiting, k.Refused)
			for _, c := range k.Accounts {
				accounts.add(p.Pool, int(k.Priority), c.Account, int64(c.Offered), int64(c.Share), c.Refused)
			}
		}
	}
	if err := a.print(pools); err != nil {
		return err
	}
	return a.print(accounts)
}
