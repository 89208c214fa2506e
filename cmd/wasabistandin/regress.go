package main

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/wasabiridge/wasabiridge"
	"github.com/wasabiridge/wasabiridge/internal/wasabiregression"
)

type regressFlags struct {
	bench  string
	sites  string
	floors string
	why    string
	jobs   int
}

// newRegressCommand returns the command that plays deployments on the bench of the
// users and fails when one has fallen.
func newRegressCommand() *cobra.Command {
	var f regressFlags
	c := &cobra.Command{
		Use:           "regress [SITE...]",
		Short:         "Play deployments on the users' bench and compare their scores with floors",
		Long:          "Plays the named deployments, or all that are not retired, prints a line for each, and fails when one is below its floor by more than the tolerance.",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, names []string) error { return f.run(c, names) },
	}
	c.Flags().StringVar(&f.bench, "bench", "", "the bench's program")
	c.Flags().StringVar(&f.sites, "sites", "", "the folder of the descriptions of all deployments")
	c.Flags().StringVar(&f.floors, "floors", "deploy/regression/floors.jsonc", "JSON with comments: deployments and their floors")
	c.Flags().StringVar(&f.why, "why", "Regression run", "a line for the bench's journal")
	c.Flags().IntVar(&f.jobs, "jobs", 3, "how many days are played side by side")
	return c
}

func (f regressFlags) run(c *cobra.Command, names []string) error {
	if f.bench == "" || f.sites == "" {
		return wasabiridge.ErrInvalid.New("regress: --bench and --sites are needed")
	}
	floors, err := wasabiregression.Load(f.floors)
	if err != nil {
		return err
	}
	var sites []wasabiregression.Site
	if sites, err = floors.Chosen(names); err != nil {
		return err
	}
	fell := 0
	for _, site := range sites {
		var score wasabiregression.Score
		if score, err = f.play(c.Context(), site, c.ErrOrStderr()); err != nil {
			return err
		}
		v := floors.Judge(site, score)
		fmt.Fprintln(c.OutOrStdout(), v)
		if len(v.Fallen) > 0 {
			fell++
		}
	}
	if fell > 0 {
		return fmt.Errorf("regress: %d of %d deployments fell", fell, len(sites))
	}
	return nil
}

// play scores one deployment. The bench fails when its gate does, so that its end
// counts only when it printed no table.
func (f regressFlags) play(ctx context.Context, site wasabiregression.Site, log io.Writer) (wasabiregression.Score, error) {
	bench := exec.CommandContext(ctx, f.bench, "score", filepath.Join(f.sites, site.File), "--jobs", strconv.Itoa(f.jobs), "--why", f.why)
	bench.Stderr = log
	output, failed := bench.Output()
	score, err := wasabiregression.Read(string(output))
	if err != nil && failed != nil {
		return score, wasabiridge.ErrUnavailable.Wrap(failed, "regress: %s: %v", site.Name(), err)
	}
	return score, err
}
