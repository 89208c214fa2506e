package wasabicommand

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
)

func (a *app) quotasCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "quotas",
		Short: "Show the use of client accounts against their limits",
		Long: `Show the use of client accounts against their limits, as one router sees them.

LEFT is what an account can use at once now; below zero, the account is in debt.
USED is what each instance has admitted since its start; a question mark marks
an instance that does not respond. REFUSED counts the requests that this router
refused.
Limits are set by the configuration.`,
		Example: "  wasabictl quotas\n  wasabictl quotas --json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			report, err := client.Quotas(c.Context())
			if err != nil {
				return err
			}
			return a.show(report, func() error { return a.showQuotas(report) })
		},
	}
}

func (a *app) showQuotas(r wasabiridge.QuotaReport) error {
	t := newTable("ACCOUNT", "UNIT", "RATE", "BURST", "LEFT", "REFUSED", "INSTANCE", "USED")
	for _, q := range r.Accounts {
		for i, u := range q.Used {
			used := fmt.Sprint(u.Used)
			if u.Unresponsive {
				used += "?"
			}
			if i > 0 {
				t.add("", "", "", "", "", "", u.Instance, used)
				continue
			}
			t.add(q.Account, q.Limit.Unit, q.Limit.Rate, q.Limit.Burst, int64(q.Left), q.Refused, u.Instance, used)
		}
	}
	return a.print(t)
}
