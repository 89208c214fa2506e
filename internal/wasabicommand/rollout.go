package wasabicommand

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabioperator"
)

func (a *app) rolloutCommand() *cobra.Command {
	return group("rollout", "Roll out new weights to a pool",
		a.rolloutList(), a.rolloutStart(),
		a.rolloutAction("pause", "Pause after the loads that are in flight"),
		a.rolloutAction("resume", "Resume a paused rollout"),
		a.rolloutAction("rollback", "Roll back to the earlier weights, as a new version"))
}

func (a *app) rolloutList() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List rollouts", Example: "  wasabictl rollout list", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			body, err := client.Rollouts(c.Context())
			if err != nil {
				return err
			}
			return a.showRollouts(body, body.Rollouts...)
		},
	}
}

func (a *app) rolloutStart() *cobra.Command {
	var (
		pool, model, adapter string
		weights              uint64
	)
	c := &cobra.Command{
		Use: "start", Short: "Start a rollout", Args: cobra.NoArgs,
		Example: "  wasabictl rollout start --pool answers --model lift-8b --weights 12",
		RunE: func(c *cobra.Command, _ []string) error {
			return a.rollout(c.Context(), func(ctx context.Context, s rolloutClient) (wasabiridge.Rollout, error) {
				return s.StartRollout(ctx, wasabiridge.Rollout{
					Pool: wasabiridge.PoolID(pool), Model: wasabiridge.ModelID(model),
					Adapter: wasabiridge.AdapterID(adapter), Weights: wasabiridge.WeightsVersion(weights),
				})
			})
		},
	}
	c.Flags().StringVar(&pool, "pool", "", "pool of replicas")
	c.Flags().StringVar(&model, "model", "", "model")
	c.Flags().StringVar(&adapter, "adapter", "", "adapter on top of the model")
	c.Flags().Uint64Var(&weights, "weights", 0, "version of the weights (default: the newest published)")
	for _, name := range []string{"pool", "model"} {
		if err := c.MarkFlagRequired(name); err != nil {
			panic(err) // The flag is defined a few lines above.
		}
	}
	return c
}

// rolloutAction returns a command that applies an action to one rollout.
func (a *app) rolloutAction(action, short string) *cobra.Command {
	return &cobra.Command{
		Use: action + " ID", Short: short, Args: cobra.ExactArgs(1),
		Example: "  wasabictl rollout " + action + " answers-12",
		RunE: func(c *cobra.Command, args []string) error {
			return a.rollout(c.Context(), func(ctx context.Context, s rolloutClient) (wasabiridge.Rollout, error) {
				return s.ApplyRolloutAction(ctx, args[0], action)
			})
		},
	}
}

// rolloutClient is the part of the client that the rollout commands use.
type rolloutClient interface {
	StartRollout(ctx context.Context, r wasabiridge.Rollout) (wasabiridge.Rollout, error)
	ApplyRolloutAction(ctx context.Context, id, action string) (wasabiridge.Rollout, error)
}

func (a *app) rollout(ctx context.Context, do func(context.Context, rolloutClient) (wasabiridge.Rollout, error)) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	rollout, err := do(ctx, client)
	if err != nil {
		return err
	}
	return a.showRollouts(rollout, rollout)
}

func (a *app) showRollouts(value any, rollouts ...wasabiridge.Rollout) error {
	if body, listed := value.(wasabioperator.RolloutsBody); listed && len(body.Rollouts) == 0 && !a.json {
		fmt.Fprintln(a.Out, "No rollouts.")
		return nil
	}
	return a.show(value, func() error {
		t := newTable("ID", "POOL", "MODEL", "ADAPTER", "WEIGHTS", "STATE", "REPLICAS", "BLOCKED")
		for _, r := range rollouts {
			t.add(r.ID, r.Pool, r.Model, orDash(string(r.Adapter)), r.Weights, r.State, fmt.Sprintf("%d/%d", r.Done, r.Total), orDash(r.Blocked))
		}
		return a.print(t)
	})
}
