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

// newRegressCommand returns the command that runs deployments on the users' bench and
// fails if the score of one is below its floor.
func newRegressCommand() *cobra.Command {
	var f regressFlags
	c := &cobra.Command{
		Use:           "regress [SITE...]",
		Short:         "Run deployments on the users' bench and compare their scores with floors",
		Long:          "Runs the named deployments, or all that are not retired, prints a line for each, and fails if one is below its floor by more than the tolerance.",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, names []string) error { return f.run(c, names) },
	}
	c.Flags().StringVar(&f.bench, "bench", "", "path of the bench's program")
	c.Flags().StringVar(&f.sites, "sites", "", "directory with the descriptions of the deployments")
	c.Flags().StringVar(&f.floors, "floors", "deploy/regression/floors.jsonc", "deployments and their floors, JSON with comments")
	c.Flags().StringVar(&f.why, "why", "Regression run", "reason for the run, for the bench's journal")
	c.Flags().IntVar(&f.jobs, "jobs", 3, "number of days to run in parallel")
	return c
}

func (f regressFlags) run(c *cobra.Command, names []string) error {
	if f.bench == "" || f.sites == "" {
		return wasabiridge.ErrInvalid.New("regress: --bench and --sites are required")
	}
	floors, err := wasabiregression.Load(f.floors)
	if err != nil {
		return err
	}
	var sites []wasabiregression.Site
	if sites, err = floors.Select(names); err != nil {
		return err
	}
	below := 0
	for _, site := range sites {
		var score wasabiregression.Score
		if score, err = f.play(c.Context(), site, c.ErrOrStderr()); err != nil {
			return err
		}
		v := floors.Check(site, score)
		fmt.Fprintln(c.OutOrStdout(), v)
		if len(v.Failures) > 0 {
			below++
		}
	}
	if below > 0 {
		return fmt.Errorf("regress: %d of %d deployments are below their floors", below, len(sites))
	}
	return nil
}

// play scores a deployment. The bench also exits with an error if the deployment misses
// its gate, so the exit code matters only if no scores were printed.
func (f regressFlags) play(ctx context.Context, site wasabiregression.Site, log io.Writer) (wasabiregression.Score, error) {
	bench := exec.CommandContext(ctx, f.bench, "score", filepath.Join(f.sites, site.File), "--jobs", strconv.Itoa(f.jobs), "--why", f.why)
	bench.Stderr = log
	output, failed := bench.Output()
	score, err := wasabiregression.ParseScore(string(output))
	if err != nil && failed != nil {
		return score, wasabiridge.ErrUnavailable.Wrap(failed, "regress: %s: %v", site.Name(), err)
	}
	return score, err
}
